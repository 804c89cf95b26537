#pragma once

#include "cornelstall/decisions.hpp"
#include "cornelstall/gateway/connection/caller_socket.hpp"

namespace cornelstall
{

/// @brief A connection to a backend server. Used for one attempt of one request.
using backend_socket = deadline_socket;

/// @brief Opens a TCP connection to @a address, given as `IP:port`.
/// @return null when @a address is malformed or the connection was not established by @a deadline
[[nodiscard]] task<std::shared_ptr<backend_socket>> connect_to(executor where, std::string address,
                                                               time_point deadline);

/// @brief Tries to connect to @a address and closes the connection at once.
/// @return `not_made` when the attempt says nothing about the server
[[nodiscard]] task<connection_attempt> try_connection(executor where, std::string address, time_point deadline);

/// @brief Time since the last byte of the peer arrived, or since the connection was established; 0 while received bytes
/// wait to be read.
[[nodiscard]] milliseconds time_since_data(backend_socket& connection);

/// @brief True when no process listens at @a address: the connection is refused before @a deadline.
[[nodiscard]] task<bool> refuses_connections(executor where, std::string address, time_point deadline);

/// @brief Parses an address of the form `IP:port`; host names are not resolved.
/// @return nothing when @a address does not have that form
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

}  // namespace cornelstall
