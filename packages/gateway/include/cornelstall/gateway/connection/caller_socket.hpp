#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "cornelstall/runtime/connection/deadline_socket.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

struct gateway_state;

/// @brief A caller's connection. Carries one request after another.
using caller_socket = deadline_socket;

/// @brief Accepts connections on @a acceptor until it is closed and serves each in its own task.
[[nodiscard]] task<> accept_callers(gateway_state& state, boost::asio::ip::tcp::acceptor& acceptor);

/// @brief Accepts the connections that wait in the queue of @a acceptor, without waiting for more. Closing an acceptor
/// resets those that are still in its queue.
void accept_waiting_callers(gateway_state& state, boost::asio::ip::tcp::acceptor& acceptor);

/// @brief Closes the callers' connections on which no request is in progress.
void close_idle_callers(gateway_state& state);

/// @brief Listens on @a address, given as `IP:port`.
/// @throws process_error (id 420) when the address is malformed or cannot be bound
[[nodiscard]] boost::asio::ip::tcp::acceptor listen_on(const executor& where, const std::string& address);

}  // namespace cornelstall
