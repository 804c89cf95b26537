#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

struct gateway_state;

/// @brief A TCP connection with a limit: when the limit passes, the socket is closed and what waits on it fails.
struct deadline_socket : std::enable_shared_from_this<deadline_socket>
{
    explicit deadline_socket(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer limit_;
    boost::beast::flat_buffer buffer_;
    bool expired_ = false;  ///< closed because the limit passed
};

/// @brief Closes @a connection at @a deadline; replaces an earlier limit.
void set_close_deadline(deadline_socket& connection, time_point deadline);

/// @brief Closes @a connection at @a give_up if @a may_give_up holds then, else at @a deadline; replaces an earlier
/// limit.
void set_conditional_deadline(deadline_socket& connection, time_point give_up, time_point deadline,
                              std::function<bool()> may_give_up);

/// @brief Removes the limit.
void clear_close_deadline(deadline_socket& connection);

/// @brief Closes the socket at once; errors of a socket that is closed already do not matter.
void close_socket(deadline_socket& connection);

/// @brief True when the peer has closed or reset the connection; does not wait and takes no data.
[[nodiscard]] bool peer_has_closed(deadline_socket& connection);

/// @brief Makes silent peers visible: keep-alive probes and a bound on unacknowledged data.
void watch_for_silence(boost::asio::ip::tcp::socket& socket);

/// @brief A caller's connection; lives for many requests.
using caller_socket = deadline_socket;

/// @brief Accepts callers on @a acceptor until it is closed, one task for each connection.
[[nodiscard]] task<> accept_callers(gateway_state& state, boost::asio::ip::tcp::acceptor& acceptor);

/// @brief Closes the connections on which no request is open.
void close_idle_callers(gateway_state& state);

/// @brief Listens on @a address, an IP number and a port.
/// @throws process_error (id 420) when the address cannot be used
[[nodiscard]] boost::asio::ip::tcp::acceptor listen_on(const executor& where, const std::string& address);

}  // namespace cornelstall
