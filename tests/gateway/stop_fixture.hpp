#pragma once

#include <atomic>
#include <csignal>
#include <thread>

#include "free_port.hpp"
#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

namespace cornelstall::tests
{

/// @brief A table whose only route leads to service "s".
inline std::shared_ptr<const routing_table> one_route(request_kind kind = request_kind::idempotent,
                                                      milliseconds timeout = milliseconds{3000})
{
    route matched;
    matched.kind_ = kind;
    matched.host_ = "h";
    matched.path_prefix_ = "/r/";
    matched.timeout_ = timeout;
    matched.services_ = {{service_id{"s"}, 1.0}};
    auto table = std::make_shared<routing_table>();
    table->version_ = configuration_version{1};
    add_route(*table, matched);
    table->services_[service_id{"s"}] = service_description{service_id{"s"}, "/health", 100, std::nullopt};
    return table;
}

/// @brief Starts a server in the gateway's own thread and lists it.
inline void add_server(gateway_state& state, std::vector<std::shared_ptr<fake_server>>& servers,
                       const scripted_response& response = plain_response("200 OK", "whole answer"))
{
    auto server = std::make_shared<fake_server>(state.executor_, [response](const auto&) { return response; });
    spawn(state.executor_, "accept_connections", accept_connections(server));
    listed_server entry;
    entry.id_ = server_id{"server-0"};
    entry.service_ = service_id{"s"};
    entry.address_ = socket_address{server->address()};
    entry.slots_ = 1000;
    upsert_listed_server(state.directory_, entry, at_offset(1), std::chrono::steady_clock::now());
    state.server_list_.listed_ = true;
    state.directory_.evacuations_.known_ = true;
    servers.push_back(server);
}

/// @brief Settings of a gateway on free ports of the loopback interface.
inline gateway_settings loopback_settings()
{
    gateway_settings settings;
    settings.name_ = "vm-1";
    settings.ip_ = "127.0.0.1";
    settings.listen_ = free_address();
    settings.readiness_listen_ = free_address();
    settings.load_port_ = parse_endpoint(free_address().get())->port();
    settings.metrics_port_ = parse_endpoint(free_address().get())->port();
    return settings;
}

/// @brief Sends one request and returns all that comes back until the connection ends.
inline std::string receive_answer(const boost::asio::ip::tcp::endpoint& gateway, const std::string& fields)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code failed;
    socket.connect(gateway, failed);
    boost::asio::write(socket, boost::asio::buffer(request_text("POST", fields)), failed);
    std::string answer;
    std::array<char, 4096> bytes{};
    while (!failed)
    {
        const auto size = socket.read_some(boost::asio::buffer(bytes), failed);
        answer.append(bytes.data(), size);
    }
    return answer;
}

/// @brief True for a complete answer of the gateway itself.
inline bool is_whole(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 ") && answer.find("Content-Length") != std::string::npos &&
           answer.ends_with('}');
}

/// @brief A gateway process in a thread of its own, with the server "server-0". Ends when the test raises SIGTERM.
class running_gateway
{
  public:
    running_gateway(gateway_settings settings, request_kind kind, const scripted_response& response)
        : running_gateway(std::move(settings), one_route(kind, milliseconds{20'000}), response)
    {}

    running_gateway(gateway_settings settings, std::shared_ptr<const routing_table> table,
                    const scripted_response& response)
        : settings_(std::move(settings))
    {
        callbacks_.on_start_ = [this, table = std::move(table), response](gateway_state& state) {
            activate_table(state, table);
            // The server's own task keeps it, so that it ends with the gateway's context.
            std::vector<std::shared_ptr<fake_server>> servers;
            add_server(state, servers, response);
            state_ = &state;
        };
        callbacks_.on_reload_ = [this](gateway_state&) {
            ++reloads_;
        };
        process_ = std::thread([this] {
            exit_code_ = run_gateway(settings_, test_protocol(), callbacks_);
            ended_at_ = std::chrono::steady_clock::now();
        });
        while (state_ == nullptr)
        {
            std::this_thread::sleep_for(milliseconds{5});
        }
        // The signal handler is installed by the first task that runs.
        std::this_thread::sleep_for(milliseconds{100});
    }
    running_gateway(const running_gateway&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;
    running_gateway(running_gateway&&) = delete;
    running_gateway& operator=(running_gateway&&) = delete;
    ~running_gateway()
    {
        wait_for_end();
    }

    /// @brief Where callers connect.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return *parse_endpoint(settings_.listen_.get());
    }

    /// @brief Sends the stop signal.
    void stop()
    {
        stopped_at_ = std::chrono::steady_clock::now();
        std::raise(SIGTERM);
    }

    /// @brief Waits until @a after has passed since the stop signal.
    void sleep_until(milliseconds after) const
    {
        std::this_thread::sleep_until(stopped_at_.load() + after);
    }

    /// @brief Runs @a work in the gateway's thread as soon as possible. Work that sleeps blocks the loop.
    void run_next(std::function<void()> work)
    {
        boost::asio::post(state_.load()->executor_, std::move(work));
    }

    /// @brief Runs @a work in the gateway's thread when @a after has passed since the stop signal.
    void run_at(milliseconds after, std::function<void()> work)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(state_.load()->executor_);
        timer->expires_at(stopped_at_.load() + after);
        timer->async_wait([timer, work = std::move(work)](const boost::system::error_code& cancelled) {
            if (!cancelled)
            {
                work();
            }
        });
    }

    /// @brief Waits until the process has ended.
    void wait_for_end()
    {
        if (process_.joinable())
        {
            process_.join();
        }
    }

    gateway_settings settings_;
    std::atomic<int> exit_code_{-1};
    std::atomic<int> reloads_{0};
    std::atomic<time_point> stopped_at_{time_point{}};
    time_point ended_at_;

  private:
    gateway_callbacks callbacks_;
    std::atomic<gateway_state*> state_{nullptr};
    std::thread process_;
};

/// @brief A caller's connection with blocking operations.
class blocking_caller
{
  public:
    explicit blocking_caller(const boost::asio::ip::tcp::endpoint& gateway)
    {
        socket_.connect(gateway);
    }

    /// @brief Sends @a bytes unchanged.
    void send(const std::string& bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes), failed_);
    }

    /// @brief Returns what comes until the connection ends; `failed_` says how it ended.
    std::string receive()
    {
        std::string answer;
        std::array<char, 4096> bytes{};
        failed_ = {};
        while (!failed_)
        {
            const auto size = socket_.read_some(boost::asio::buffer(bytes), failed_);
            answer.append(bytes.data(), size);
        }
        return answer;
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_{io_};
    boost::system::error_code failed_;
};

}  // namespace cornelstall::tests
