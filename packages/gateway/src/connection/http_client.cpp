#include "cornelstall/gateway/connection/http_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

/// Longer responses fail. Pages of the platform's log are smaller than this.
constexpr std::uint64_t max_response_body_bytes = 16ULL * 1024 * 1024;

void drop_connection(http_client& client)
{
    if (client.connection_)
    {
        close_socket(*client.connection_);
        client.connection_.reset();
    }
}

/// Connects unless the connection is already open.
/// @return false when connecting failed
task<bool> connect(std::shared_ptr<http_client> client, time_point deadline)
{
    if (!client->connection_ || !client->connection_->socket_.is_open())
    {
        client->connection_ = co_await connect_to(client->executor_, client->address_, deadline);
    }
    co_return client->connection_ != nullptr;
}

}  // namespace

task<client_response> call(std::shared_ptr<http_client> client, http::request<http::string_body> request,
                           milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const bool connected = co_await connect(client, deadline);
    if (!connected)
    {
        co_return client_response{};
    }
    const auto connection = client->connection_;
    set_close_deadline(*connection, deadline);
    request.set(http::field::host, client->address_);
    request.prepare_payload();
    boost::system::error_code failed;
    co_await http::async_write(connection->socket_, request, redirect_error(use_awaitable, failed));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_body_bytes);
    if (!failed)
    {
        co_await http::async_read(connection->socket_, connection->buffer_, parser,
                                  redirect_error(use_awaitable, failed));
    }
    if (failed)
    {
        drop_connection(*client);
        co_return client_response{};
    }
    clear_close_deadline(*connection);
    auto response = parser.release();
    if (!response.keep_alive() || connection->buffer_.size() > 0)
    {
        drop_connection(*client);
    }
    co_return client_response{response.result_int(), std::move(response.body())};
}

task<client_response> call(std::shared_ptr<http_client> client, std::string method, std::string target,
                           std::string body, std::string content_type, milliseconds timeout)
{
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    if (!content_type.empty())
    {
        request.set(http::field::content_type, content_type);
    }
    request.body() = std::move(body);
    auto response = co_await call(std::move(client), std::move(request), timeout);
    co_return response;
}

}  // namespace cornelstall
