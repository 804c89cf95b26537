#include "connection/server_connection.hpp"

#include <array>
#include <limits>

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/runtime/connection/answer_rules.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
namespace ssl = boost::asio::ssl;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

constexpr unsigned short http_port = 80;
constexpr unsigned short https_port = 443;

/// Calls @a action with the stream that carries HTTP.
template <class Action>
auto with_stream(server_connection& connection, const Action& action)
{
    return connection.tls_ ? action(connection.tls_->stream_) : action(connection.transport_->socket_);
}

std::string text_of(const web::uri& url)
{
    return url.to_string();
}

/// Why an operation on @a connection has failed after it was established.
connection_error failure_of(const server_connection& connection, const std::string& what)
{
    if (connection.transport_->expired_)
    {
        return {http_timed_out, "no answer from " + text_of(connection.url_) + " in time; retry on a new connection"};
    }
    return {http_cut, "connection to " + text_of(connection.url_) + " broke: " + what};
}

connection_error connect_failure_of(const server_connection& connection, const std::string& what)
{
    if (connection.transport_->expired_)
    {
        return failure_of(connection, what);
    }
    return {http_connect_failed,
            "no connection to " + text_of(connection.url_) + " (" + what + "); check that the server runs there"};
}

web::uri parse_url(const std::string& url)
{
    try
    {
        web::uri parsed(url);
        return parsed;
    }
    catch (const web::uri_exception& malformed)
    {
        throw connection_error(http_connect_failed, "'" + url + "' is not a URL (" + malformed.what() + ")");
    }
}

unsigned short port_of(const web::uri& url)
{
    const auto default_port = url.scheme() == "https" ? https_port : http_port;
    return url.port() > 0 ? static_cast<unsigned short>(url.port()) : default_port;
}

/// The endpoints of the host of @a url; host names are resolved.
task<std::vector<tcp::endpoint>> resolve(web::uri url, boost::system::error_code& failed)
{
    const auto port = port_of(url);
    boost::system::error_code not_numeric;
    const auto address = boost::asio::ip::make_address(url.host(), not_numeric);
    if (!not_numeric)
    {
        co_return std::vector{tcp::endpoint(address, port)};
    }
    tcp::resolver resolver(co_await boost::asio::this_coro::executor);
    const auto found =
        co_await resolver.async_resolve(url.host(), std::to_string(port), redirect_error(use_awaitable, failed));
    std::vector<tcp::endpoint> endpoints;
    std::ranges::transform(found, std::back_inserter(endpoints), [](const auto& entry) { return entry.endpoint(); });
    co_return endpoints;
}

task<> begin_tls(std::shared_ptr<server_connection> connection)
{
    connection->tls_ = std::make_unique<tls_layer>(connection->transport_->socket_);
    auto& stream = connection->tls_->stream_;
    const std::string host = connection->url_.host();
    boost::system::error_code failed;
    connection->tls_->context_.set_default_verify_paths(failed);
    stream.set_verify_mode(ssl::verify_peer);
    stream.set_verify_callback(ssl::host_name_verification(host));
    // Servers with several certificates choose one by this name.
    SSL_set_tlsext_host_name(stream.native_handle(), host.c_str());
    co_await stream.async_handshake(ssl::stream_base::client, redirect_error(use_awaitable, failed));
    if (failed)
    {
        throw connect_failure_of(*connection, failed.message());
    }
}

}  // namespace

server_connection::server_connection(web::uri url, const boost::asio::any_io_executor& where)
    : url_(std::move(url)), transport_(std::make_shared<deadline_socket>(tcp::socket(where)))
{
    transport_->buffer_.max_size(max_unparsed_answer_bytes);
}

task<std::shared_ptr<server_connection>> connect_to_server(std::string url, time_point deadline)
{
    const auto connection =
        std::make_shared<server_connection>(parse_url(url), co_await boost::asio::this_coro::executor);
    auto& transport = *connection->transport_;
    set_close_deadline(transport, deadline);
    boost::system::error_code failed;
    const auto endpoints = co_await resolve(connection->url_, failed);
    if (!failed)
    {
        co_await boost::asio::async_connect(transport.socket_, endpoints, redirect_error(use_awaitable, failed));
    }
    if (failed || transport.expired_)
    {
        throw connect_failure_of(*connection, failed.message());
    }
    set_tcp_options(transport.socket_);
    if (connection->url_.scheme() == "https")
    {
        co_await begin_tls(connection);
    }
    co_return connection;
}

void start_sending(const std::shared_ptr<server_connection>& connection, http::request<http::string_body> request)
{
    connection->request_ = std::move(request);
    connection->request_.set(http::field::host,
                             connection->url_.authority().host() + ":" + std::to_string(port_of(connection->url_)));
    connection->request_.keep_alive(false);
    connection->request_.prepare_payload();
    with_stream(*connection, [&connection](auto& stream) {
        http::async_write(stream, connection->request_,
                          [connection](const boost::system::error_code& failed, std::size_t) {
                              connection->transport_->write_failed_ = failed;
                          });
    });
}

task<> receive_head(std::shared_ptr<server_connection> connection)
{
    auto& transport = *connection->transport_;
    unsigned status = 0;
    for (int skipped = 0; !is_final(status) && skipped <= max_interim_answers; ++skipped)
    {
        auto& answer = connection->answer_.emplace();
        answer.header_limit(max_unparsed_answer_bytes);
        answer.body_limit(std::numeric_limits<std::uint64_t>::max());
        answer.skip(connection->request_.method() == http::verb::head);
        const auto read = [&](auto& stream) {
            return receive_answer_head(stream, transport.buffer_, answer);
        };
        const auto failed = co_await with_stream(*connection, read);
        if (failed)
        {
            throw failure_of(*connection, failed.message());
        }
        status = answer.get().result_int();
        if (!is_final(status) && !is_interim(status))
        {
            break;
        }
    }
    if (!is_final(status))
    {
        throw failure_of(*connection, "the status " + std::to_string(status) + " is not that of an answer");
    }
}

task<std::size_t> receive_body(std::shared_ptr<server_connection> connection, std::span<char> bytes)
{
    auto& transport = *connection->transport_;
    auto& answer = *connection->answer_;
    std::size_t size = 0;
    while (size == 0 && !answer.is_done())
    {
        answer.get().body().data = bytes.data();
        answer.get().body().size = bytes.size();
        boost::system::error_code failed;
        const auto read = [&](auto& stream) {
            return http::async_read_some(stream, transport.buffer_, answer, redirect_error(use_awaitable, failed));
        };
        co_await with_stream(*connection, read);
        size = bytes.size() - answer.get().body().size;
        if (failed && failed != http::error::need_buffer)
        {
            throw failure_of(*connection, failed.message());
        }
    }
    if (is_cut_short(answer, transport))
    {
        throw failure_of(*connection, transport.write_failed_.message());
    }
    co_return size;
}

}  // namespace cornelstall
