#include "cornelstall/gateway/connection/status_listener.hpp"

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
using boost::asio::ip::tcp;

/// Time to receive the next request on a connection. The load balancer polls once a second and counts a missing
/// response as a failed check.
constexpr std::chrono::seconds request_timeout{20};
/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr milliseconds accept_retry_delay{50};
constexpr std::size_t max_request_bytes = 8192;

task<> answer_questions(std::shared_ptr<deadline_socket> connection,
                        std::function<status_response(const std::string&)> handler)
{
    boost::system::error_code failed;
    connection->buffer_.max_size(max_request_bytes);
    while (!failed)
    {
        http::request<http::string_body> request;
        set_close_deadline(*connection, std::chrono::steady_clock::now() + request_timeout);
        co_await http::async_read(connection->socket_, connection->buffer_, request,
                                  redirect_error(use_awaitable, failed));
        if (failed)
        {
            break;
        }
        auto result = handler(std::string(request.target()));
        http::response<http::string_body> response(static_cast<http::status>(result.status_), 11);
        response.set(http::field::content_type, "text/plain");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(result.body_);
        response.prepare_payload();
        co_await http::async_write(connection->socket_, response, redirect_error(use_awaitable, failed));
        if (!request.keep_alive())
        {
            break;
        }
    }
    close_socket(*connection);
}

}  // namespace

task<> serve_status(executor where, tcp::acceptor& acceptor, std::function<status_response(const std::string&)> handler)
{
    while (acceptor.is_open())
    {
        boost::system::error_code failed;
        auto socket = co_await acceptor.async_accept(redirect_error(use_awaitable, failed));
        if (failed == boost::asio::error::operation_aborted)
        {
            break;
        }
        if (failed)
        {
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        spawn(where, "answer_questions",
              answer_questions(std::make_shared<deadline_socket>(std::move(socket)), handler));
    }
}

}  // namespace cornelstall
