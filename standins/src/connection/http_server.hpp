#pragma once

#include "connection/exchange.hpp"

#include <functional>

#include "cornelstall/value.hpp"

namespace cornelstall::standins
{

/// @brief Answers one request.
using call_handler = std::function<awaitable<void>(exchange&)>;

/// @brief Opens a listening socket on @a address (`ip:port`; port 0 lets the system choose).
/// @throws process_error (id 490) when the address is malformed or in use
[[nodiscard]] tcp::acceptor listen_on(boost::asio::io_context& context, const socket_address& address);

/// @brief Accepts connections and serves each in a task of its own until the context stops.
/// @param silence_epoch connections opened before its last change never answer again
awaitable<void> accept_connections(tcp::acceptor acceptor, call_handler handler,
                                   std::shared_ptr<const std::uint64_t> silence_epoch);

}  // namespace cornelstall::standins
