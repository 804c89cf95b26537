#pragma once

#include <algorithm>
#include <array>

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "gateway/placed_requests.hpp"
#include "log_positions.hpp"

namespace cornelstall::tests
{

/// @brief Later than the start times of all servers of the fixture, which are unknown.
inline constexpr std::uint64_t first_start_ms = 1000;
/// @brief Longer than a test waits for the release of memory.
inline constexpr milliseconds long_timeout{60'000};

inline route long_route(request_kind kind = request_kind::non_idempotent)
{
    route matched;
    matched.kind_ = kind;
    matched.max_attempts_ = 2;
    matched.timeout_ = long_timeout;
    matched.latency_target_ = milliseconds{1200};
    return matched;
}

/// @brief A request whose prompt needs 1.5 times the memory of one engine.
inline std::string long_request(const std::string& tokens = "150000")
{
    return request_text("POST", "X-Prompt: " + tokens + "\r\n", "prompt");
}

inline bool is_order(const fake_server::request& message, const std::string& order)
{
    return message["X-Order"] == order;
}

inline int order_count(const fake_server& server, const std::string& order)
{
    return static_cast<int>(std::ranges::count_if(server.received_requests_,
                                                  [&order](const auto& message) { return is_order(message, order); }));
}

inline int order_count(const gateway_fixture& gateway, const std::string& order)
{
    int found = 0;
    std::ranges::for_each(gateway.servers_, [&](const auto& server) { found += order_count(*server, order); });
    return found;
}

/// @brief Applies a record of the server list.
inline void change_entry(gateway_fixture& gateway, const listed_server& entry, bool removed)
{
    server_list_change change;
    change.at_ = gateway.state_.server_list_.next_;
    change.server_ = entry;
    change.removed_ = removed;
    apply_change(gateway.state_, change);
    gateway.state_.server_list_.next_ = change.at_.next();
}

inline void set_start_times(gateway_fixture& gateway)
{
    gateway.state_.server_list_.next_ = at_offset(gateway.servers_.size());
    const auto entries = gateway.state_.directory_.servers_;
    std::ranges::for_each(entries, [&gateway](const auto& entry) {
        auto listed = entry.second.listed_;
        listed.started_at_ms_ = first_start_ms;
        change_entry(gateway, listed, false);
    });
}

inline listed_server entry_of(const gateway_fixture& gateway, const fake_server& server)
{
    const auto address = server.address();
    const auto& servers = gateway.state_.directory_.servers_;
    const auto found = std::ranges::find_if(
        servers, [&address](const auto& entry) { return entry.second.listed_.address_.get() == address; });
    REQUIRE(found != servers.end());
    return found->second.listed_;
}

/// @brief A caller that stays connected, and what it has received.
struct waiting_caller
{
    explicit waiting_caller(gateway_fixture& gateway, const std::string& request) : socket_(gateway.io_)
    {
        socket_.connect(gateway.acceptor_.local_endpoint());
        boost::asio::write(socket_, boost::asio::buffer(request));
        socket_.non_blocking(true);
    }

    /// True when all that the caller is sent has arrived and the connection has been closed.
    bool has_answer()
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code failed;
        while (!failed)
        {
            received_.append(bytes.data(), socket_.read_some(boost::asio::buffer(bytes), failed));
        }
        return failed != boost::asio::error::would_block;
    }

    boost::asio::ip::tcp::socket socket_;
    std::string received_;
};

/// @brief Three engines, a joint prefill on two of them, and the caller that waits for it.
struct joint_prefill_fixture
{
    /// @param memory_use what the engines say about the use of the memory that they were last asked to reserve; empty
    /// when they say nothing
    explicit joint_prefill_fixture(const std::function<scripted_response()>& answer, const std::string& memory_use = {})
    {
        gateway_.state_.settings_.max_unused_memory_ = milliseconds{2400};
        gateway_.activate_route(long_route(), small_engine());
        for (int index = 0; index < 3; ++index)
        {
            auto reserved = std::make_shared<std::string>();
            gateway_.add_server([answer, memory_use, reserved](const auto& message) {
                if (is_order(message, "reserve"))
                {
                    *reserved = std::string(message["X-Reservation"]);
                }
                const bool is_query = message.method() == boost::beast::http::verb::get;
                return message.target() == "/r/x"
                           ? answer()
                           : plain_response("200 OK", is_query ? memory_use + " " + *reserved : "");
            });
        }
        set_start_times(gateway_);
    }

    /// Requests of the caller that the engines have received.
    int prompt_count()
    {
        return count_requests([](const auto& message) { return message.target() == "/r/x"; });
    }

    /// Questions about the use of memory that the engines have received.
    int query_count()
    {
        return count_requests([](const auto& message) { return message.method() == boost::beast::http::verb::get; });
    }

    int count_requests(const std::function<bool(const fake_server::request&)>& is_counted)
    {
        int found = 0;
        std::ranges::for_each(gateway_.servers_, [&](const auto& server) {
            found += static_cast<int>(std::ranges::count_if(server->received_requests_, is_counted));
        });
        return found;
    }

    /// Sends the request, and waits until the leading engine has it.
    void start()
    {
        caller_.emplace(gateway_, long_request());
        REQUIRE(gateway_.run_until([this] { return leading() != nullptr; }));
        REQUIRE(gateway_.state_.open_leases_ == 1);
    }

    std::shared_ptr<fake_server> leading()
    {
        const auto found = std::ranges::find_if(gateway_.servers_, [](const auto& server) {
            return std::ranges::any_of(server->received_requests_,
                                       [](const auto& message) { return message.target() == "/r/x"; });
        });
        return found == gateway_.servers_.end() ? nullptr : *found;
    }

    listed_server leading_entry()
    {
        return entry_of(gateway_, *leading());
    }

    /// Lets the leading engine answer no further connection, not even by a refusal, as one does whose packets are lost.
    void darken_leading()
    {
        auto& acceptor = leading()->acceptor_;
        const auto endpoint = acceptor.local_endpoint();
        boost::system::error_code ignored;
        acceptor.cancel(ignored);
        gateway_.run_until([] { return true; });
        gateway_.io_.poll();
        REQUIRE(::listen(acceptor.native_handle(), 0) == 0);
        // Connections that nobody accepts fill the queue; the kernel then drops the packets of further ones.
        for (int count = 0; count < 3; ++count)
        {
            fillers_.emplace_back(gateway_.io_, endpoint.protocol());
            fillers_.back().native_non_blocking(true);
            (void)::connect(fillers_.back().native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size()));
        }
    }

    /// Runs the tasks until @a condition holds. The server list is read all the time.
    bool run_until(const std::function<bool()>& condition)
    {
        return gateway_.run_until([&] {
            gateway_.state_.server_list_.confirmed_at_ = boot_time();
            return condition();
        });
    }

    /// True when the memory is released while the caller still waits, and the caller is told that the request may have
    /// run.
    bool ends_without_leading()
    {
        return run_until([this] { return gateway_.state_.open_leases_ == 0 && caller_->has_answer(); }) &&
               order_count(gateway_, "release") == 1 && caller_->received_.starts_with("HTTP/1.1 502");
    }

    gateway_fixture gateway_;
    std::optional<waiting_caller> caller_;
    std::vector<boost::asio::ip::tcp::socket> fillers_;
};

inline scripted_response silent_response()
{
    return {"", true};
}

/// @brief Answers after a silence that exceeds the forecast, and the time limits of all probes for a server that is
/// gone.
inline scripted_response late_response()
{
    scripted_response response{""};
    response.later_ = plain_response("200 OK", "answer").bytes_;
    response.silence_ = milliseconds{7000};
    return response;
}

}  // namespace cornelstall::tests
