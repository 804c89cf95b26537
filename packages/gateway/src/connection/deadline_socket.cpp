#include <netinet/tcp.h>

#include <charconv>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"

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
constexpr int listen_backlog = 512;
/// Bounds the head of an answer, the size line and extensions of a chunk, and the trailer. A server that sends more is
/// not speaking HTTP, and the read fails.
constexpr std::size_t max_unparsed_bytes = 65'536;
constexpr int listen_address_error_id = 420;
/// An attempt to connect whose end is noticed this long after its deadline says nothing: the process was paused.
constexpr milliseconds max_attempt_lateness{100};

using keepalive_idle_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keepalive_interval_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keepalive_max_probes_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

connection_attempt classify_attempt(const boost::system::error_code& failed, bool expired, time_point deadline)
{
    namespace error = boost::asio::error;
    if (!failed)
    {
        return connection_attempt::accepted;
    }
    if (failed == error::connection_refused || failed == error::connection_reset)
    {
        return connection_attempt::refused;
    }
    const bool no_route = failed == error::host_unreachable || failed == error::network_unreachable;
    const bool in_time = std::chrono::steady_clock::now() < deadline + max_attempt_lateness;
    const bool unanswered = (expired && in_time) || no_route || failed == error::timed_out;
    return unanswered ? connection_attempt::unanswered : connection_attempt::not_made;
}

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

std::optional<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    unsigned short port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code malformed;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), malformed);
    if (malformed || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

task<std::shared_ptr<backend_socket>> connect_to(executor where, std::string address, time_point deadline)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        co_return nullptr;
    }
    auto connection = std::make_shared<backend_socket>(tcp::socket(where));
    connection->buffer_.max_size(max_unparsed_bytes);
    set_close_deadline(*connection, deadline);
    boost::system::error_code failed;
    co_await connection->socket_.async_connect(*endpoint,
                                               boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    if (failed || connection->expired_)
    {
        co_return nullptr;
    }
    set_tcp_options(connection->socket_);
    co_return connection;
}

task<connection_attempt> try_connection(executor where, std::string address, time_point deadline)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        co_return connection_attempt::not_made;
    }
    const auto connection = std::make_shared<backend_socket>(tcp::socket(where));
    set_close_deadline(*connection, deadline);
    boost::system::error_code failed;
    co_await connection->socket_.async_connect(*endpoint,
                                               boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    co_return classify_attempt(failed, connection->expired_, deadline);
}

milliseconds time_since_data(backend_socket& connection)
{
    boost::system::error_code failed;
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool has_bytes = connection.socket_.available(failed) > 0 || failed;
    if (has_bytes || ::getsockopt(connection.socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    {
        return milliseconds{0};
    }
    return milliseconds{info.tcpi_last_data_recv};
}

task<bool> refuses_connections(executor where, std::string address, time_point deadline)
{
    const auto attempt = co_await try_connection(where, std::move(address), deadline);
    co_return attempt == connection_attempt::refused;
}

tcp::acceptor listen_on(const executor& where, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw process_error(listen_address_error_id,
                            "listen address '" + address + "' is not of the form IP:port; correct the listen address");
    }
    try
    {
        tcp::acceptor acceptor(where);
        acceptor.open(endpoint->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*endpoint);
        acceptor.listen(listen_backlog);
        return acceptor;
    }
    catch (const boost::system::system_error& failure)
    {
        throw process_error(listen_address_error_id, "cannot listen on " + address + " (" + failure.code().message() +
                                                         "); free the port or change the listen address");
    }
}

}  // namespace cornelstall
