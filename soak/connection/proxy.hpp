#pragma once

#include <memory>

#include "cornelstall/gateway/connection/backend_socket.hpp"

namespace cornelstall::soak
{

/// @brief What a proxy does to the connections that it relays.
struct link_state
{
    milliseconds delay_{0};       ///< of every piece, in both directions
    bool hold_requests_ = false;  ///< bytes towards the target wait until this ends
    bool hold_answers_ = false;   ///< bytes towards the client wait until this ends
    bool refuse_ = false;         ///< new connections are closed at once
    std::uint64_t silenced_ = 0;  ///< connections opened before the last change relay nothing any more
    std::uint64_t reset_ = 0;     ///< connections opened before the last change are reset
};

/// @brief Relays connections on loopback from its address to a target that may change, with faults.
struct proxy
{
    proxy(executor where, socket_address target);

    executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    socket_address target_;
    link_state link_;

    [[nodiscard]] socket_address address() const;
};

/// @brief Starts to relay; the tasks end with the executor.
[[nodiscard]] std::shared_ptr<proxy> start_proxy(const executor& where, const socket_address& target);

}  // namespace cornelstall::soak
