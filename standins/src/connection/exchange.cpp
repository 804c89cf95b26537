#include "connection/exchange.hpp"

#include <array>
#include <functional>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace cornelstall::standins
{

namespace
{

std::string status_line(http_status status)
{
    const auto code = static_cast<unsigned>(status);
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(code));
    return "HTTP/1.1 " + std::to_string(code) + " " + std::string(reason.data(), reason.size()) + "\r\n";
}

std::string to_hex(std::size_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t base = 16;
    std::string text;
    do
    {
        text.insert(text.begin(), digits[value % base]);
        value /= base;
    } while (value != 0);
    return text;
}

}  // namespace

std::uint64_t query_number(const http_call& call, const std::string& name, std::uint64_t otherwise)
{
    const auto found = call.query_.find(name);
    return found == call.query_.end() ? otherwise : std::stoull(found->second);
}

std::string_view path_after(const http_call& call, std::string_view prefix)
{
    const std::string_view path = call.path_;
    return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string_view{};
}

exchange::exchange(std::shared_ptr<tcp::socket> socket, http_call call, unsigned number_on_connection)
    : socket_(std::move(socket)), call_(std::move(call)), number_on_connection_(number_on_connection)
{}

awaitable<void> exchange::write(std::string data)
{
    if (silenced())
    {
        co_await stay_silent();
    }
    co_await boost::asio::async_write(*socket_, boost::asio::buffer(data), boost::asio::use_awaitable);
}

awaitable<void> exchange::reply_bytes(http_status status, std::string_view content_type, std::string body,
                                      std::string_view extra_head)
{
    if (lose_answer_)
    {
        cut();
        co_return;
    }
    std::string answer = status_line(status);
    answer.append("Content-Type: ").append(content_type).append("\r\n").append(extra_head);
    answer.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    co_await write(answer + body);
}

awaitable<void> exchange::reply(http_status status, json body, std::string_view extra_head)
{
    co_await reply_bytes(status, "application/json", body.dump(), extra_head);
}

awaitable<void> exchange::refuse(http_status status, std::string_view code, std::string_view message,
                                 std::string_view extra_head)
{
    const json body{{"error", {{"code", code}, {"message", message}}}};
    co_await reply(status, body, extra_head);
}

awaitable<void> exchange::begin_stream(std::string_view content_type, std::function<void()> on_peer_gone,
                                       std::string_view extra_head)
{
    if (lose_answer_)
    {
        cut();
    }
    std::string head = status_line(http_status::ok) + "Content-Type: ";
    head.append(content_type).append("\r\n").append(extra_head).append("Transfer-Encoding: chunked\r\n\r\n");
    co_await write(std::move(head));
    streaming_ = std::make_shared<bool>(true);
    socket_->async_wait(tcp::socket::wait_read, [socket = socket_, gone = std::move(on_peer_gone),
                                                 streaming = streaming_](const boost::system::error_code& failure) {
        // After the end of the stream, bytes that arrive are the next request, which another read may have taken.
        boost::system::error_code ignored;
        if (!failure && *streaming && socket->available(ignored) == 0)
        {
            socket->close(ignored);
            gone();
        }
    });
}

awaitable<void> exchange::send(std::string_view data)
{
    std::string chunk = to_hex(data.size());
    chunk.append("\r\n").append(data).append("\r\n");
    co_await write(std::move(chunk));
}

awaitable<void> exchange::end_stream()
{
    *streaming_ = false;
    co_await write("0\r\n\r\n");
}

void exchange::cut()
{
    boost::system::error_code ignored;
    socket_->close(ignored);
}

awaitable<void> exchange::stay_silent()
{
    std::array<char, 4096> discarded{};
    boost::system::error_code failure;
    while (!failure)
    {
        co_await socket_->async_read_some(boost::asio::buffer(discarded),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    }
    cut();
}

}  // namespace cornelstall::standins
