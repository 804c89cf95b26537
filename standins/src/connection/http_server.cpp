#include "connection/http_server.hpp"

#include <algorithm>
#include <cctype>

#include <cpprest/base_uri.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cornelstall::standins
{

namespace
{

namespace http = boost::beast::http;

constexpr milliseconds accept_pause{100};
/// In bytes; a prompt of a million tokens takes about 4 MiB.
constexpr std::uint64_t largest_body = std::uint64_t{64} << 20U;

std::string lower_case(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_call to_call(http::request<http::string_body>&& request)
{
    http_call call;
    call.method_ = std::string(request.method_string());
    const std::string target(request.target());
    const std::size_t mark = target.find('?');
    call.path_ = web::uri::decode(target.substr(0, mark));
    if (mark != std::string::npos)
    {
        std::ranges::transform(
            web::uri::split_query(target.substr(mark + 1)), std::inserter(call.query_, call.query_.end()),
            [](const auto& parameter) {
                return std::pair{web::uri::decode(parameter.first), web::uri::decode(parameter.second)};
            });
    }
    std::ranges::transform(request, std::inserter(call.headers_, call.headers_.end()), [](const auto& field) {
        return std::pair{lower_case(std::string(field.name_string())), std::string(field.value())};
    });
    call.keep_alive_ = request.keep_alive();
    call.body_ = std::move(request.body());
    return call;
}

awaitable<void> serve_connection(std::shared_ptr<tcp::socket> socket, call_handler handler,
                                 std::shared_ptr<const std::uint64_t> silence_epoch)
{
    const std::uint64_t opened_at = *silence_epoch;
    boost::beast::flat_buffer buffer;
    boost::system::error_code failure;
    for (unsigned number = 1; socket->is_open(); ++number)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(largest_body);
        co_await http::async_read(*socket, buffer, parser,
                                  boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure)
        {
            co_return;
        }
        exchange current{socket, to_call(parser.release()), number};
        current.silence_when(silence_epoch, opened_at);
        try
        {
            co_await handler(current);
        }
        catch (const boost::system::system_error&)
        {
            current.cut();  // the peer closed the connection
        }
        if (!current.call().keep_alive_)
        {
            current.cut();
        }
    }
}

}  // namespace

tcp::acceptor listen_on(boost::asio::io_context& context, const socket_address& address)
{
    try
    {
        const std::string& text = address.get();
        const std::size_t colon = text.rfind(':');
        const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
        return {context, tcp::endpoint{boost::asio::ip::make_address(text.substr(0, colon)), port}};
    }
    catch (const std::exception& cause)
    {
        throw process_error(
            490, "cannot listen on '" + address.get() + "' (" + cause.what() + "); give a free address as ip:port");
    }
}

awaitable<void> accept_connections(tcp::acceptor acceptor, call_handler handler,
                                   std::shared_ptr<const std::uint64_t> silence_epoch)
{
    for (;;)
    {
        boost::system::error_code failure;
        auto socket = std::make_shared<tcp::socket>(acceptor.get_executor());
        co_await acceptor.async_accept(*socket, boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure)
        {
            // Without a pause the loop would spin while no file descriptor is free.
            boost::asio::steady_timer pause{acceptor.get_executor(), accept_pause};
            co_await pause.async_wait(boost::asio::use_awaitable);
            continue;
        }
        socket->set_option(tcp::no_delay{true}, failure);
        boost::asio::co_spawn(acceptor.get_executor(), serve_connection(socket, handler, silence_epoch),
                              boost::asio::detached);
    }
}

}  // namespace cornelstall::standins
