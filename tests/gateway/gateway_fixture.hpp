#pragma once

#include <charconv>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>

#include "gateway/fake_server.hpp"

namespace cornelstall::tests
{

/// @brief Messages of a front end that is not the platform's: fields named X-…
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
        const auto prompt = message["X-Prompt"];
        std::int64_t tokens = 0;
        if (std::from_chars(prompt.data(), prompt.data() + prompt.size(), tokens).ec == std::errc{})
        {
            request.prompt_ = token_count{tokens};
        }
        const auto left = message["X-Left"];
        std::int64_t value = 0;
        if (std::from_chars(left.data(), left.data() + left.size(), value).ec == std::errc{})
        {
            request.time_left_ = milliseconds{value};
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
    return protocol;
}

/// @brief A gateway on loopback with servers that a test scripts.
class gateway_fixture
{
  public:
    gateway_fixture()
        : state_(settings(), test_protocol(), io_.get_executor()),
          acceptor_(listen_on(io_.get_executor(), "127.0.0.1:0"))
    {
        state_.server_list_.listed_ = true;
        spawn(state_.executor_, "accept_callers", accept_callers(state_, acceptor_));
    }

    static gateway_settings settings()
    {
        gateway_settings values;
        values.name_ = "vm-1";
        values.retry_budget_.extra_ = 1000;
        return values;
    }

    /// @brief Puts one route of service "s" in force; its servers are engines when @a engine is given.
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

    std::shared_ptr<fake_server> add_server(std::function<scripted_response(const fake_server::request&)> script)
    {
        auto server = std::make_shared<fake_server>(state_.executor_, std::move(script));
        spawn(state_.executor_, "serve_script", serve_script(server));
        listed_server entry;
        entry.id_ = server_id{"server-" + std::to_string(servers_.size())};
        entry.service_ = service_id{"s"};
        entry.address_ = socket_address{server->address()};
        entry.slots_ = 4;
        upsert_listed_server(state_.directory_, entry, log_offset{servers_.size()}, std::chrono::steady_clock::now());
        servers_.push_back(server);
        return server;
    }

    /// @brief Sends @a request and reads until the connection ends or @a until holds for what was read.
    std::string send_raw_request(const std::string& request, std::function<bool(const std::string&)> until = nullptr)
    {
        auto read = std::make_shared<std::string>();
        auto ended = std::make_shared<bool>(false);
        spawn(state_.executor_, "ask",
              exchange_bytes(acceptor_.local_endpoint(), request, read, ended, std::move(until)));
        run_until([ended] { return *ended; });
        return *read;
    }

    /// @brief Runs the tasks until @a done holds; gives up after a time that no test needs.
    bool run_until(const std::function<bool()>& done)
    {
        const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (!done() && std::chrono::steady_clock::now() < give_up)
        {
            io_.run_one_for(milliseconds{20});
        }
        return done();
    }

    boost::asio::io_context io_{1};
    gateway_state state_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<fake_server>> servers_;

  private:
    static task<> exchange_bytes(boost::asio::ip::tcp::endpoint where, std::string request,
                                 std::shared_ptr<std::string> read, std::shared_ptr<bool> ended,
                                 std::function<bool(const std::string&)> until)
    {
        boost::asio::ip::tcp::socket socket(co_await boost::asio::this_coro::executor);
        boost::system::error_code failed;
        co_await socket.async_connect(where, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        co_await boost::asio::async_write(socket, boost::asio::buffer(request),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        std::vector<char> bytes(4096);
        while (!failed && !(until && until(*read)))
        {
            const auto size = co_await socket.async_read_some(
                boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            read->append(bytes.data(), size);
        }
        *ended = true;
    }
};

/// @brief A request of method @a method that ends the caller's connection.
inline std::string request_text(const std::string& method, const std::string& extra = {}, const std::string& body = {})
{
    return method + " /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
}

/// @brief A plain answer with the mark of a genuine server.
inline scripted_response plain_response(const std::string& status, const std::string& body,
                                        const std::string& extra = {})
{
    return {"HTTP/1.1 " + status + "\r\nX-Id: q1\r\nX-Seal: s\r\n" + extra +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            false};
}

/// @brief The head of a stream, and events @a first to @a last.
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

/// @brief The end of a chunked answer.
inline const std::string last_chunk{"0\r\n\r\n"};

}  // namespace cornelstall::tests
