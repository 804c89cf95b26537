#pragma once

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/gateway.hpp"

namespace cornelstall::tests
{

/// @brief The response of a fake server to one request.
struct scripted_response
{
    std::string bytes_;       ///< sent unchanged, header included
    bool keep_open_ = false;  ///< wait for the gateway to close the connection after the bytes were sent
    std::string endless_{};   ///< sent again and again after the bytes until the gateway closes the connection
    milliseconds pause_{0};   ///< between two repetitions of `endless_`
    bool reset_ = false;      ///< after the bytes were received, reset the connection instead of closing it
    bool crash_ = false;      ///< after the bytes were sent, close the connection and accept no others
    std::string later_{};     ///< sent after the bytes and a silence of `silence_`
    milliseconds silence_{0};
    /// After the bytes were sent, end the sending side, so that the gateway sees the end of the connection in order. A
    /// reset with `reset_` then follows at once.
    bool end_sending_ = false;
};

/// @brief A backend server on the loopback interface that responds as a test's function says.
struct fake_server
{
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    fake_server(const executor& where, std::function<scripted_response(const request&)> script)
        : executor_(where), acceptor_(listen_on(where, "127.0.0.1:0")), script_(std::move(script))
    {}

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::function<scripted_response(const request&)> script_;
    std::vector<request> received_requests_;
    int endless_ended_ = 0;       ///< answers without end that the gateway ended by closing the connection
    int closed_by_gateway_ = 0;   ///< connections with `keep_open_` that the gateway closed
    int accepted_ = 0;            ///< connections, including those without a request
    bool answers_early_ = false;  ///< responds to the head of a request and does not read its body
};

/// @brief Lets @a server respond before it has read the body of a request. It takes so little of the body into its
/// buffers that the gateway is still writing a body of some megabytes then.
inline void answer_early(fake_server& server)
{
    constexpr int receive_buffer_bytes = 4096;
    server.acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    server.answers_early_ = true;
}

/// @brief Reads a request, or only its head when the server answers early.
inline task<std::optional<fake_server::request>> read_request(std::shared_ptr<fake_server> server,
                                                              boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code failed;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (server->answers_early_)
    {
        co_await boost::beast::http::async_read_header(socket, buffer, parser,
                                                       boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    }
    else
    {
        co_await boost::beast::http::async_read(socket, buffer, parser,
                                                boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    }
    if (failed)
    {
        co_return std::nullopt;
    }
    co_return parser.release();
}

/// @brief Reads one request from @a socket and sends the scripted response.
inline task<> serve_connection(std::shared_ptr<fake_server> server, boost::asio::ip::tcp::socket socket)
{
    const auto message = co_await read_request(server, socket);
    if (!message)
    {
        co_return;
    }
    server->received_requests_.push_back(*message);
    const auto response = server->script_(*message);
    boost::system::error_code failed;
    co_await boost::asio::async_write(socket, boost::asio::buffer(response.bytes_),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    if (!response.later_.empty())
    {
        co_await sleep_for(response.silence_);
        co_await boost::asio::async_write(socket, boost::asio::buffer(response.later_),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    }
    if (response.end_sending_)
    {
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failed);
    }
    else if (response.reset_)
    {
        co_await sleep_for(milliseconds{50});  // a reset discards bytes that the gateway has not read
    }
    if (response.reset_)
    {
        socket.set_option(boost::asio::socket_base::linger(true, 0), failed);
        socket.close(failed);
        co_return;
    }
    if (response.crash_)
    {
        server->acceptor_.close(failed);
        co_return;
    }
    while (!response.endless_.empty() && !failed)
    {
        co_await boost::asio::async_write(socket, boost::asio::buffer(response.endless_),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (response.pause_.count() > 0)
        {
            co_await sleep_for(response.pause_);
        }
    }
    server->endless_ended_ += response.endless_.empty() ? 0 : 1;
    if (response.keep_open_)
    {
        char byte = 0;
        co_await socket.async_read_some(boost::asio::buffer(&byte, 1),
                                        boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        server->closed_by_gateway_ += failed ? 1 : 0;
    }
}

/// @brief Accepts connections until the acceptor is closed and serves each in its own task.
inline task<> accept_connections(std::shared_ptr<fake_server> server)
{
    while (server->acceptor_.is_open())
    {
        boost::system::error_code failed;
        auto socket =
            co_await server->acceptor_.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (failed)
        {
            co_return;
        }
        ++server->accepted_;
        spawn(server->executor_, "serve_connection", serve_connection(server, std::move(socket)));
    }
}

}  // namespace cornelstall::tests
