#pragma once

#include <charconv>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>

#include "gateway/fake_server.hpp"
#include "log_positions.hpp"

namespace cornelstall::tests
{

/// @brief A protocol with header fields of its own (`X-…`) in place of the platform's, so that the gateway is tested
/// without the platform package.
inline gateway_protocol test_protocol()
{
    namespace http = boost::beast::http;
    gateway_protocol protocol;
    protocol.read_request_ = [](const fake_server::request& message) {
        caller_request request;
        request.id_ = request_id{std::string(message["X-Id"])};
        request.host_ = std::string(message[http::field::host]);
        request.path_ = std::string(message.target());
        request.key_ = std::string(message["X-Key"]);
        const auto prompt_tokens = message["X-Prompt"];
        std::int64_t tokens = 0;
        if (std::from_chars(prompt_tokens.data(), prompt_tokens.data() + prompt_tokens.size(), tokens).ec ==
            std::errc{})
        {
            request.prompt_ = token_count{tokens};
        }
        const auto parts = message["X-Parts"];
        std::ranges::for_each(
            parts, [&request](char part) { request.prompt_parts_.emplace_back(static_cast<std::uint64_t>(part)); });
        const auto time_left = message["X-Left"];
        std::int64_t time_left_ms = 0;
        if (std::from_chars(time_left.data(), time_left.data() + time_left.size(), time_left_ms).ec == std::errc{})
        {
            request.time_left_ = milliseconds{time_left_ms};
        }
        return request;
    };
    protocol.write_forward_fields_ = [](const forward_details& details, http::fields& fields) {
        fields.set("X-Server", details.server_.get());
        fields.set("X-Left", std::to_string(details.time_left_.count()));
        if (details.resume_after_)
        {
            fields.set("X-After", std::to_string(*details.resume_after_));
        }
        std::string reservations;
        for (const auto& helper : details.helpers_)
        {
            reservations += helper.reservation_ + ";";
        }
        fields.set("X-Helpers", reservations);
    };
    protocol.read_answer_ = [](const http::response_header<>& head) {
        server_answer answer;
        answer.status_ = head.result_int();
        answer.request_id_ = request_id{std::string(head["X-Id"])};
        answer.did_not_run_ = head.find("X-Not-Run") != head.end();
        answer.authentic_ = head.find("X-Seal") != head.end();
        answer.leaving_ = head.find("X-Leaving") != head.end();
        const auto limit = head["X-Limit"];
        std::int64_t per_second = 0;
        answer.limit_.stated_ = head.find("X-Limit") != head.end();
        if (std::from_chars(limit.data(), limit.data() + limit.size(), per_second).ec == std::errc{})
        {
            answer.limit_.limit_ = request_rate{static_cast<double>(per_second)};
        }
        const auto pause = head["X-Pause"];
        std::int64_t pause_ms = 0;
        if (std::from_chars(pause.data(), pause.data() + pause.size(), pause_ms).ec == std::errc{})
        {
            answer.retry_after_ = milliseconds{pause_ms};
        }
        return answer;
    };
    protocol.strip_answer_fields_ = [](http::fields& fields) {
        fields.erase(http::field::connection);
    };
    protocol.write_gateway_fields_ = [](const caller_request& request, http::fields& fields) {
        fields.set("X-Id", request.id_.get());
    };
    protocol.write_memory_order_ = [](const memory_order& order) {
        http::request<http::string_body> message(http::verb::post, "/memory", 11);
        message.set("X-Order", order.release_ ? "release" : "reserve");
        message.set("X-Reservation", order.reservation_);
        return message;
    };
    protocol.read_order_result_ = [](unsigned status) {
        return status == 200   ? memory_order_result::done
               : status == 409 ? memory_order_result::refused
                               : memory_order_result::unknown;
    };
    protocol.write_memory_query_ = [] {
        return http::request<http::string_body>(http::verb::get, "/memory", 11);
    };
    protocol.read_memory_use_ = [](unsigned, const std::string& body, const std::string& reservation) {
        return body == "unused " + reservation ? memory_use::unused
               : body == "used " + reservation ? memory_use::used
                                               : memory_use::unknown;
    };
    return protocol;
}

/// @brief An I/O context whose suspended tasks can be destroyed before what they refer to.
struct fixture_context : boost::asio::io_context
{
    using execution_context::shutdown;
    using io_context::io_context;
};

/// @brief A gateway on the loopback interface with fake backend servers.
class gateway_fixture
{
  public:
    gateway_fixture()
        : state_(settings(), test_protocol(), io_.get_executor()),
          acceptor_(listen_on(io_.get_executor(), "127.0.0.1:0"))
    {
        state_.server_list_.listed_ = true;
        state_.directory_.evacuations_.known_ = true;
        spawn(state_.executor_, "accept_callers", accept_callers(state_, acceptor_));
    }
    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;
    gateway_fixture(gateway_fixture&&) = delete;
    gateway_fixture& operator=(gateway_fixture&&) = delete;
    ~gateway_fixture()
    {
        // The tasks of open requests refer to the state.
        io_.shutdown();
    }

    static gateway_settings settings()
    {
        gateway_settings values;
        values.name_ = "vm-1";
        values.retry_budget_.extra_ = 1000;
        return values;
    }

    /// @brief Activates a routing table whose only route leads to service "s". Its servers are engines when
    /// @a engine is given.
    void activate_route(route matched, std::optional<engine_profile> engine = std::nullopt)
    {
        matched.host_ = "h";
        matched.path_prefix_ = "/r/";
        matched.services_ = {{service_id{"s"}, 1.0}};
        auto table = std::make_shared<routing_table>();
        table->version_ = configuration_version{state_.table_ ? state_.table_->version_.get() + 1 : 1};
        add_route(*table, std::move(matched));
        table->services_[service_id{"s"}] = service_description{service_id{"s"}, "/health", 100, engine};
        activate_table(state_, table);
    }

    /// @brief Starts a fake server that responds with the result of @a script, and adds it to service "s" with 4 slots.
    std::shared_ptr<fake_server> add_server(std::function<scripted_response(const fake_server::request&)> script)
    {
        auto server = std::make_shared<fake_server>(state_.executor_, std::move(script));
        spawn(state_.executor_, "accept_connections", accept_connections(server));
        listed_server entry;
        entry.id_ = server_id{"server-" + std::to_string(servers_.size())};
        entry.service_ = service_id{"s"};
        entry.address_ = socket_address{server->address()};
        entry.slots_ = 4;
        upsert_listed_server(state_.directory_, entry, at_offset(servers_.size()), std::chrono::steady_clock::now());
        servers_.push_back(server);
        return server;
    }

    /// @brief Sends @a request and returns what is received until the connection ends or @a is_complete returns true
    /// for the bytes received so far.
    std::string send_raw_request(const std::string& request,
                                 std::function<bool(const std::string&)> is_complete = nullptr)
    {
        auto received = std::make_shared<std::string>();
        auto finished = std::make_shared<bool>(false);
        spawn(state_.executor_, "send_and_receive",
              send_and_receive(acceptor_.local_endpoint(), request, received, finished, std::move(is_complete)));
        run_until([finished] { return *finished; });
        return *received;
    }

    /// @brief Runs the tasks until @a condition returns true, for at most 20 s.
    /// @return the last result of @a condition
    bool run_until(const std::function<bool()>& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (!condition() && std::chrono::steady_clock::now() < deadline)
        {
            io_.run_one_for(milliseconds{20});
        }
        return condition();
    }

    fixture_context io_{1};
    gateway_state state_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<fake_server>> servers_;

  private:
    static task<> send_and_receive(boost::asio::ip::tcp::endpoint gateway_endpoint, std::string request,
                                   std::shared_ptr<std::string> received, std::shared_ptr<bool> finished,
                                   std::function<bool(const std::string&)> is_complete)
    {
        boost::asio::ip::tcp::socket socket(co_await boost::asio::this_coro::executor);
        boost::system::error_code failed;
        co_await socket.async_connect(gateway_endpoint,
                                      boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        co_await boost::asio::async_write(socket, boost::asio::buffer(request),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        std::vector<char> bytes(4096);
        while (!failed && !(is_complete && is_complete(*received)))
        {
            const auto size = co_await socket.async_read_some(
                boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            received->append(bytes.data(), size);
        }
        *finished = true;
    }
};

/// @brief The text of a request with `Connection: close`.
inline std::string request_text(const std::string& method, const std::string& extra = {}, const std::string& body = {})
{
    return method + " /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
}

/// @brief A response with a length and with the seal of an authentic server.
inline scripted_response plain_response(const std::string& status, const std::string& body,
                                        const std::string& extra = {})
{
    return {"HTTP/1.1 " + status + "\r\nX-Id: q1\r\nX-Seal: s\r\n" + extra +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            false};
}

/// @brief The server-sent events @a first to @a last, one chunk each, after the header of the response unless @a head
/// is false.
inline std::string stream_events(int first, int last, bool head = true)
{
    std::string text = head ? "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" : "";
    for (int id = first; id <= last; ++id)
    {
        const std::string event = "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), event.size(), 16);
        text += std::string(size.data(), end.ptr) + "\r\n" + event + "\r\n";
    }
    return text;
}

/// @brief Ends a chunked response.
inline const std::string last_chunk{"0\r\n\r\n"};

}  // namespace cornelstall::tests
