#pragma once

#include "connection/http_server.hpp"

#include <thread>

#include <boost/asio/io_context.hpp>

#include "process/faults.hpp"

namespace cornelstall::standins::detail
{

/// @brief The process part common to all stand-ins: one thread that owns all state, the listener and the fault plan.
struct host
{
    explicit host(const socket_address& address);
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;
    host(host&&) = delete;
    host& operator=(host&&) = delete;

    /// @brief Starts to accept and to run tasks; @a handler answers the calls that are not about control.
    void start(call_handler handler);

    /// @brief Stops the thread; open connections are closed when the host is destroyed.
    void stop();

    boost::asio::io_context context_{1};
    tcp::acceptor acceptor_;
    socket_address address_;
    fault_plan faults_;
    counters counters_;
    std::function<void(const http_call&)> on_read_;      ///< sees each call, also those that faults leave unanswered
    std::function<json()> details_;                      ///< what `GET /control/counters` shows beside the counters
    std::function<awaitable<bool>(exchange&)> control_;  ///< answers further control calls; false when unknown
    std::shared_ptr<void> state_;  ///< the stand-in's own state; its timers need the context, so it is destroyed first
    std::thread thread_;

  private:
    awaitable<void> answer(exchange& current, const call_handler& handler);
    awaitable<void> answer_control(exchange& current);
};

}  // namespace cornelstall::standins::detail
