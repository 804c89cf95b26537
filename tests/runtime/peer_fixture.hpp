#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include "cornelstall/runtime.hpp"

/// @file
/// Helpers for tests of peers: they run the Asio thread's work on the test's own thread until a condition holds.

namespace cornelstall::testing
{

using namespace std::chrono_literals;

/// Far above anything that a loaded machine needs, so that a test fails only when the condition never holds.
inline constexpr std::chrono::seconds generous{30};

/// @brief Runs @a io until @a condition holds.
/// @return false when it did not hold within the bound
inline bool run_until(boost::asio::io_context& io, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + generous;
    io.restart();
    while (!condition() && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(20ms);
        io.restart();
    }
    return condition();
}

/// @brief What a task has returned or thrown.
template <class Result>
struct task_end
{
    std::optional<Result> value_;
    int error_id_ = 0;

    [[nodiscard]] bool ended() const
    {
        return value_.has_value() || error_id_ != 0;
    }
};

template <class Result>
task<> record_end(task<Result> work, std::shared_ptr<task_end<Result>> end)
{
    try
    {
        end->value_ = co_await std::move(work);
    }
    catch (const error& problem)
    {
        end->error_id_ = problem.id();
    }
}

/// @brief Starts @a work and gives access to its end.
template <class Result>
std::shared_ptr<task_end<Result>> start(boost::asio::io_context& io, task<Result> work)
{
    auto end = std::make_shared<task_end<Result>>();
    spawn(io.get_executor(), "test", record_end(std::move(work), end));
    return end;
}

inline socket_address loopback(int port)
{
    return socket_address{"127.0.0.1:" + std::to_string(port)};
}

/// @brief A TCP forwarder on loopback. After `go_silent`, the connections that are open then stay open but carry
/// nothing any more; new ones work.
class tcp_forwarder
{
  public:
    tcp_forwarder(boost::asio::io_context& io, int target) : state_(std::make_shared<shared_state>(io, target))
    {
        spawn(io.get_executor(), "forwarder", accept_all(state_));
    }

    ~tcp_forwarder()
    {
        state_->acceptor_.close();
        go_silent();
    }
    tcp_forwarder(const tcp_forwarder&) = delete;
    tcp_forwarder& operator=(const tcp_forwarder&) = delete;
    tcp_forwarder(tcp_forwarder&&) = delete;
    tcp_forwarder& operator=(tcp_forwarder&&) = delete;

    [[nodiscard]] int port() const
    {
        return state_->acceptor_.local_endpoint().port();
    }

    [[nodiscard]] int connections() const
    {
        return state_->connections_;
    }

    void go_silent()
    {
        ++state_->silenced_;
    }

    /// @brief While cut, connections can be opened but carry nothing.
    void set_cut(bool cut)
    {
        state_->is_cut_ = cut;
        go_silent();
    }

  private:
    using tcp = boost::asio::ip::tcp;

    struct shared_state
    {
        shared_state(boost::asio::io_context& io, int target)
            : where_(io.get_executor()),
              acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
              target_(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(target))
        {}

        executor where_;
        tcp::acceptor acceptor_;
        tcp::endpoint target_;
        int connections_ = 0;
        int silenced_ = 0;
        bool is_cut_ = false;
    };
    using state_ptr = std::shared_ptr<shared_state>;
    using socket_ptr = std::shared_ptr<tcp::socket>;

    static task<> accept_all(state_ptr state)
    {
        for (;;)
        {
            boost::system::error_code failure;
            auto accepted = std::make_shared<tcp::socket>(co_await boost::asio::this_coro::executor);
            co_await state->acceptor_.async_accept(*accepted,
                                                   boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
            {
                co_return;
            }
            auto target = std::make_shared<tcp::socket>(co_await boost::asio::this_coro::executor);
            co_await target->async_connect(state->target_,
                                           boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            ++state->connections_;
            spawn(state->where_, "forward", copy(state, accepted, target, state->silenced_));
            spawn(state->where_, "forward", copy(state, target, accepted, state->silenced_));
        }
    }

    static task<> copy(state_ptr state, socket_ptr from, socket_ptr to, int silenced_before)
    {
        std::array<char, 4096> buffer{};
        boost::system::error_code failure;
        while (!failure)
        {
            const std::size_t size = co_await from->async_read_some(
                boost::asio::buffer(buffer), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (!failure && state->silenced_ == silenced_before && !state->is_cut_)
            {
                co_await boost::asio::async_write(*to, boost::asio::buffer(buffer.data(), size),
                                                  boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            }
        }
        if (state->silenced_ == silenced_before)
        {
            to->close(failure);
        }
    }

    state_ptr state_;
};

}  // namespace cornelstall::testing
