#pragma once

#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Memory of one engine that is reserved for one send of a request.
struct memory_lease
{
    memory_lease(gateway_state& state, listed_server server, std::string reservation, token_count tokens)
        : state_(state),
          server_(std::move(server)),
          reservation_(std::move(reservation)),
          tokens_(tokens),
          wake_(state.executor_)
    {}

    gateway_state& state_;
    listed_server server_;
    std::string reservation_;
    token_count tokens_;
    boost::asio::steady_timer wake_;
    bool ended_ = false;         ///< the send is over
    time_point doubtful_until_;  ///< an order without an answer may still be carried out until then
};

/// @brief Reserves the memory and keeps it until end_lease(). Until the engine has confirmed the release, and as long
/// as an order without an answer may still be carried out, the release is repeated.
/// @return done when the memory is reserved
[[nodiscard]] task<memory_order_result> begin_lease(std::shared_ptr<memory_lease> lease);

/// @brief Releases the memory.
void end_lease(memory_lease& lease);

}  // namespace cornelstall
