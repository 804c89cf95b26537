#include <netinet/tcp.h>

#include <charconv>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/runtime/connection/answer_rules.hpp"

namespace cornelstall
{

namespace
{

using boost::asio::ip::tcp;

constexpr int listen_backlog = 512;
constexpr int listen_address_error_id = 420;
/// An attempt to connect whose end is noticed this long after its deadline says nothing: the process was paused.
constexpr milliseconds max_attempt_lateness{100};

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
    connection->buffer_.max_size(max_unparsed_answer_bytes);
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
