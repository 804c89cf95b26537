#pragma once

#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief A reservation of KV memory on one engine for one send of a request.
struct memory_lease
{
    memory_lease(gateway_state& state, listed_server server, std::string reservation, token_count tokens)
        : state_(state),
          server_(std::move(server)),
          reservation_(std::move(reservation)),
          tokens_(tokens),
          wake_timer_(state.executor_)
    {}

    gateway_state& state_;
    listed_server server_;
    std::string reservation_;
    token_count tokens_;
    boost::asio::steady_timer wake_timer_;
    bool release_requested_ = false;          ///< the memory is not needed any more
    time_point order_pending_until_;          ///< the engine may still carry out an unanswered order until then
    std::chrono::nanoseconds held_until_{0};  ///< boot time at which the reservation expires unless it is renewed
};

/// @brief Reserves the memory and renews the reservation until end_lease(). The release is then repeated until the
/// engine has confirmed it and no unanswered order can be carried out any more.
/// @return `done` when the memory is reserved
[[nodiscard]] task<memory_order_result> begin_lease(std::shared_ptr<memory_lease> lease);

/// @brief Asks the engine whether a request uses the reserved memory.
[[nodiscard]] task<memory_use> query_memory_use(std::shared_ptr<const memory_lease> lease);

/// @brief True while the engine is known to hold the memory. A process that was paused may find that it has expired.
[[nodiscard]] bool is_held(const memory_lease& lease);

/// @brief Ends the renewal of the reservation and starts its release.
void end_lease(memory_lease& lease);

}  // namespace cornelstall
