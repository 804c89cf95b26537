#include "cornelstall/runtime/connection/deadline_socket.hpp"

#include <netinet/tcp.h>

namespace cornelstall
{

namespace
{

using boost::asio::ip::tcp;

/// Keep-alive probing starts after this idle time. The connection fails after three unanswered probes.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_max_probes = 3;
/// The connection fails when sent data is not acknowledged for this long. It survives shorter network partitions.
constexpr int user_timeout_ms = 8000;

using keepalive_idle_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keepalive_interval_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keepalive_max_probes_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

deadline_socket::deadline_socket(tcp::socket socket)
    : socket_(std::move(socket)), deadline_timer_(socket_.get_executor())
{}

bool peer_has_closed(deadline_socket& connection)
{
    char byte = 0;
    boost::system::error_code failed;
    // Readiness can be reported when there is no data. A blocking read would then block the process's only thread.
    connection.socket_.non_blocking(true, failed);
    const auto peeked =
        connection.socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, failed);
    if (failed == boost::asio::error::would_block)
    {
        return false;
    }
    return failed || peeked == 0;
}

void set_close_deadline(deadline_socket& connection, time_point deadline)
{
    connection.deadline_timer_.expires_at(deadline);
    connection.deadline_timer_.async_wait(
        [weak = connection.weak_from_this(), deadline](const boost::system::error_code& cancelled) {
            const auto locked = weak.lock();
            // The deadline may have been changed after this handler was queued; the socket must then stay open.
            if (!cancelled && locked && locked->deadline_timer_.expiry() == deadline)
            {
                locked->expired_ = true;
                close_socket(*locked);
            }
        });
}

void clear_close_deadline(deadline_socket& connection)
{
    connection.deadline_timer_.expires_at(time_point::max());
}

void close_socket(deadline_socket& connection)
{
    boost::system::error_code ignored;
    connection.socket_.close(ignored);
}

bool ended_in_order(const deadline_socket& connection)
{
    // A write fails with this error when the peer had ended its data before the connection failed.
    return !connection.write_failed_ || connection.write_failed_ == boost::asio::error::broken_pipe;
}

void set_tcp_options(tcp::socket& socket)
{
    boost::system::error_code ignored;  // if the socket has failed, its next operation reports the error
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keepalive_idle_option(keepalive_idle_s), ignored);
    socket.set_option(keepalive_interval_option(keepalive_interval_s), ignored);
    socket.set_option(keepalive_max_probes_option(keepalive_max_probes), ignored);
    socket.set_option(user_timeout_option(user_timeout_ms), ignored);
}

}  // namespace cornelstall
