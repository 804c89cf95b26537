#pragma once

#include "cornelstall/gateway/connection/caller_socket.hpp"

namespace cornelstall
{

/// @brief A connection to a backend server; lives for one send of one request.
using backend_socket = deadline_socket;

/// @brief Connects to @a address.
/// @return null when that did not succeed until @a deadline
[[nodiscard]] task<std::shared_ptr<backend_socket>> connect_to(executor where, std::string address,
                                                               time_point deadline);

/// @brief Splits `ip:port`.
/// @return nothing when @a address is not of that form
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

}  // namespace cornelstall
