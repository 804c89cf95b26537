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

/// The balancer asks once a second and takes no answer for a miss.
constexpr std::chrono::seconds question_limit{20};
constexpr milliseconds accept_pause{50};
constexpr std::size_t largest_question = 8192;

task<> answer_questions(std::shared_ptr<deadline_socket> connection,
                        std::function<status_response(const std::string&)> answer)
{
    boost::system::error_code failed;
    connection->buffer_.max_size(largest_question);
    while (!failed)
    {
        http::request<http::string_body> question;
        set_close_deadline(*connection, std::chrono::steady_clock::now() + question_limit);
        co_await http::async_read(connection->socket_, connection->buffer_, question,
                                  redirect_error(use_awaitable, failed));
        if (failed)
        {
            break;
        }
        auto said = answer(std::string(question.target()));
        http::response<http::string_body> reply(static_cast<http::status>(said.status_), 11);
        reply.set(http::field::content_type, "text/plain");
        reply.keep_alive(question.keep_alive());
        reply.body() = std::move(said.body_);
        reply.prepare_payload();
        co_await http::async_write(connection->socket_, reply, redirect_error(use_awaitable, failed));
        if (!question.keep_alive())
        {
            break;
        }
    }
    close_socket(*connection);
}

}  // namespace

task<> serve_status(executor where, tcp::acceptor& acceptor, std::function<status_response(const std::string&)> answer)
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
            co_await sleep_for(accept_pause);
            continue;
        }
        spawn(where, "answer_questions",
              answer_questions(std::make_shared<deadline_socket>(std::move(socket)), answer));
    }
}

}  // namespace cornelstall
