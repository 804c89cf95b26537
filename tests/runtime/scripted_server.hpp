#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "runtime/peer_fixture.hpp"

namespace cornelstall::testing
{

/// @brief What a server does with a request.
struct scripted_answer
{
    std::string bytes_;         ///< sent unchanged, head included
    bool early_ = false;        ///< sent when the head of the request has arrived; its body is not read
    bool end_sending_ = false;  ///< after the bytes, end the sending side in order
    bool reset_ = false;        ///< after the bytes, reset the connection
    bool keep_open_ = false;    ///< after the bytes, wait for the caller to close
};

/// @brief A server on loopback that answers each request with the same script.
class scripted_server
{
  public:
    scripted_server(boost::asio::io_context& io, scripted_answer answer)
        : answer_(std::make_shared<const scripted_answer>(std::move(answer))),
          acceptor_(io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        if (answer_->early_)
        {
            // So little of a long body fits into its buffers that the caller still writes it when the answer comes.
            constexpr int receive_buffer_bytes = 4096;
            acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        }
        boost::asio::co_spawn(io, accept(acceptor_, answer_), boost::asio::detached);
    }

    [[nodiscard]] socket_address address() const
    {
        return loopback(acceptor_.local_endpoint().port());
    }

    [[nodiscard]] std::string url() const
    {
        return "http://" + address().get();
    }

  private:
    using socket = boost::asio::ip::tcp::socket;

    static task<> accept(boost::asio::ip::tcp::acceptor& acceptor, std::shared_ptr<const scripted_answer> answer)
    {
        boost::system::error_code failed;
        while (!failed)
        {
            auto accepted =
                co_await acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            if (!failed)
            {
                boost::asio::co_spawn(acceptor.get_executor(), serve(std::move(accepted), answer),
                                      boost::asio::detached);
            }
        }
    }

    static task<> serve(socket accepted, std::shared_ptr<const scripted_answer> answer)
    {
        namespace http = boost::beast::http;
        boost::system::error_code failed;
        boost::beast::flat_buffer buffer;
        http::request_parser<http::string_body> request;
        request.body_limit(boost::none);
        if (answer->early_)
        {
            co_await http::async_read_header(accepted, buffer, request,
                                             boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
        else
        {
            co_await http::async_read(accepted, buffer, request,
                                      boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
        co_await boost::asio::async_write(accepted, boost::asio::buffer(answer->bytes_),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (answer->end_sending_)
        {
            accepted.shutdown(socket::shutdown_send, failed);
        }
        if (answer->reset_)
        {
            co_await sleep_for(answer->end_sending_ ? 0ms : 50ms);
            accepted.set_option(boost::asio::socket_base::linger(true, 0), failed);
        }
        char byte = 0;
        while (answer->keep_open_ && !failed)
        {
            co_await accepted.async_read_some(boost::asio::buffer(&byte, 1),
                                              boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
    }

    std::shared_ptr<const scripted_answer> answer_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace cornelstall::testing
