#include <netinet/tcp.h>

#include <charconv>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"

namespace cornelstall
{

namespace
{

using boost::asio::ip::tcp;

/// Keep-alive probes begin after this silence and end a connection three probes later.
constexpr int probe_after_s = 5;
constexpr int probe_interval_s = 2;
constexpr int probe_count = 3;
/// Data that nobody acknowledged for this long ends a connection; longer than a short partition.
constexpr int unacknowledged_ms = 8000;
constexpr int listen_backlog = 512;
constexpr int address_error = 420;

using probe_after = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using probe_interval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using probe_limit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using acknowledge_limit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

deadline_socket::deadline_socket(tcp::socket socket) : socket_(std::move(socket)), limit_(socket_.get_executor()) {}

bool peer_has_closed(deadline_socket& connection)
{
    char byte = 0;
    boost::system::error_code failed;
    // Readiness may be reported without data, and a blocking read would then stop the whole process.
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
    connection.limit_.expires_at(deadline);
    connection.limit_.async_wait(
        [weak = connection.weak_from_this(), deadline](const boost::system::error_code& cancelled) {
            const auto limited = weak.lock();
            // A handler that was already queued when the limit was moved must not close the socket.
            if (!cancelled && limited && limited->limit_.expiry() == deadline)
            {
                limited->expired_ = true;
                close_socket(*limited);
            }
        });
}

void set_conditional_deadline(deadline_socket& connection, time_point give_up, time_point deadline,
                              std::function<bool()> may_give_up)
{
    connection.limit_.expires_at(give_up);
    connection.limit_.async_wait([weak = connection.weak_from_this(), give_up, deadline,
                                  may_give_up = std::move(may_give_up)](const boost::system::error_code& cancelled) {
        const auto limited = weak.lock();
        if (cancelled || !limited || limited->limit_.expiry() != give_up)
        {
            return;
        }
        if (!may_give_up())
        {
            set_close_deadline(*limited, deadline);
            return;
        }
        limited->expired_ = true;
        close_socket(*limited);
    });
}

void clear_close_deadline(deadline_socket& connection)
{
    connection.limit_.expires_at(time_point::max());
}

void close_socket(deadline_socket& connection)
{
    boost::system::error_code ignored;
    connection.socket_.close(ignored);
}

void watch_for_silence(tcp::socket& socket)
{
    boost::system::error_code ignored;  // a socket that is gone already fails at its next use
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(probe_after(probe_after_s), ignored);
    socket.set_option(probe_interval(probe_interval_s), ignored);
    socket.set_option(probe_limit(probe_count), ignored);
    socket.set_option(acknowledge_limit(unacknowledged_ms), ignored);
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
    set_close_deadline(*connection, deadline);
    boost::system::error_code failed;
    co_await connection->socket_.async_connect(*endpoint,
                                               boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    if (failed || connection->expired_)
    {
        co_return nullptr;
    }
    watch_for_silence(connection->socket_);
    co_return connection;
}

tcp::acceptor listen_on(const executor& where, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw process_error(address_error, "'" + address + "' is no IP number and port; correct the listen address");
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
    catch (const boost::system::system_error& problem)
    {
        throw process_error(address_error, "cannot listen on " + address + " (" + problem.code().message() +
                                               "); free the port or change the address");
    }
}

}  // namespace cornelstall
