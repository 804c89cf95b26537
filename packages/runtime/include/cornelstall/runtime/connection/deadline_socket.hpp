#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief A TCP connection with an optional deadline at which the socket is closed. Pending operations on the socket
/// then fail.
struct deadline_socket : std::enable_shared_from_this<deadline_socket>
{
    explicit deadline_socket(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer deadline_timer_;
    boost::beast::flat_buffer buffer_;
    bool expired_ = false;  ///< the socket was closed at its deadline
    /// Error of a write. The kernel reports a failed connection to one operation only: when that is a write, a read
    /// ends as if the peer had closed the connection in order.
    boost::system::error_code write_failed_;
};

/// @brief Closes @a connection at @a deadline. Replaces any previous deadline of the connection.
void set_close_deadline(deadline_socket& connection, time_point deadline);

/// @brief Removes the deadline of @a connection.
void clear_close_deadline(deadline_socket& connection);

/// @brief Closes the socket of @a connection and ignores errors, for example when it is already closed.
void close_socket(deadline_socket& connection);

/// @brief Returns true when the peer has closed or reset the connection. Does not block and does not consume data.
[[nodiscard]] bool peer_has_closed(deadline_socket& connection);

/// @brief True when the end of the data that was read is where the peer ended it, as far as writes on @a connection
/// have shown, and not where the connection failed.
[[nodiscard]] bool ended_in_order(const deadline_socket& connection);

/// @brief Disables Nagle's algorithm, and enables keep-alive probes and a time-out for unacknowledged data so that
/// operations on the socket fail when the peer has become unreachable.
void set_tcp_options(boost::asio::ip::tcp::socket& socket);

}  // namespace cornelstall
