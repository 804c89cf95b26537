#include "cornelstall/gateway/connection/http_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/runtime/connection/answer_rules.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

}  // namespace

task<client_response> call(http_client client, http::request<http::string_body> request, milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto connection = co_await connect_to(client.executor_, client.address_, deadline);
    if (!connection)
    {
        co_return client_response{};
    }
    set_close_deadline(*connection, deadline);
    request.set(http::field::host, client.address_);
    request.keep_alive(false);
    request.prepare_payload();
    boost::system::error_code failed;
    co_await http::async_write(connection->socket_, request, redirect_error(use_awaitable, failed));
    http::response_parser<http::string_body> parser;
    parser.body_limit(client.max_body_.get());
    if (!failed)
    {
        // Beast 1.74 reports a Content-Length above the limit only here. When head and body are read at once, it
        // reserves the stated length instead, and the allocation fails with an exception that ends the process.
        failed = co_await receive_answer_head(connection->socket_, connection->buffer_, parser);
    }
    if (!failed)
    {
        co_await http::async_read(connection->socket_, connection->buffer_, parser,
                                  redirect_error(use_awaitable, failed));
    }
    clear_close_deadline(*connection);
    close_socket(*connection);
    if (failed || !is_final(parser.get().result_int()))
    {
        co_return client_response{};
    }
    auto response = parser.release();
    client_response received{response.result_int(), {}, std::move(response.body())};
    received.head_ = std::move(response.base());
    co_return received;
}

task<client_response> call(http_client client, std::string method, std::string target, std::string body,
                           std::string content_type, milliseconds timeout)
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
