#include "connection/http_client.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace cornelstall::standins
{

namespace http = boost::beast::http;

awaitable<http_reply> http_get(const socket_address& server, std::string target, milliseconds limit)
{
    using boost::asio::use_awaitable;
    constexpr unsigned http_1_1 = 11;
    try
    {
        const std::string& text = server.get();
        const std::size_t colon = text.rfind(':');
        const tcp::endpoint endpoint{boost::asio::ip::make_address(text.substr(0, colon)),
                                     static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
        boost::beast::tcp_stream stream{co_await boost::asio::this_coro::executor};
        stream.expires_after(limit);
        co_await stream.async_connect(endpoint, use_awaitable);
        http::request<http::empty_body> request{http::verb::get, target, http_1_1};
        request.set(http::field::host, text);
        request.set(http::field::connection, "close");
        co_await http::async_write(stream, request, use_awaitable);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, use_awaitable);
        co_return http_reply{response.result_int(), std::move(response.body())};
    }
    catch (const std::exception&)
    {
        co_return http_reply{};
    }
}

}  // namespace cornelstall::standins
