#pragma once

#include <memory>

#include "cornelstall/value.hpp"

/// @brief Stand-ins of the outside systems, for tests and measurements on loopback.
namespace cornelstall::standins
{

namespace detail
{
struct host;
}  // namespace detail

/// @brief A stand-in that serves from a thread of its own until it is stopped or destroyed.
class running_standin
{
  public:
    explicit running_standin(std::unique_ptr<detail::host> host);
    ~running_standin();
    running_standin(running_standin&&) noexcept;
    running_standin& operator=(running_standin&&) noexcept;
    running_standin(const running_standin&) = delete;
    running_standin& operator=(const running_standin&) = delete;

    /// @brief The address that it listens on; shows the port that the system chose when port 0 was asked for.
    [[nodiscard]] const socket_address& address() const noexcept;

    /// @brief Closes the listener and all connections, as the death of the process would. Further calls do nothing.
    void stop();

  private:
    std::unique_ptr<detail::host> host_;
    socket_address address_;
};

/// @brief Catches SIGINT and SIGTERM from its construction on.
class stop_signal
{
  public:
    stop_signal();
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;

    /// @brief Waits, without using the processor, until one of the signals has arrived.
    void wait() const;

  private:
    struct waiter;
    std::unique_ptr<waiter> waiter_;
};

}  // namespace cornelstall::standins
