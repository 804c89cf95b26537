#include "http_service.hpp"

#include <algorithm>
#include <chrono>
#include <ranges>

#include <boost/asio/ip/udp.hpp>

namespace review
{

namespace
{

using clock = std::chrono::steady_clock;

const clock::time_point start = clock::now();

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

template <class Protocol>
bool is_free(const std::string& ip, unsigned short port)
{
    asio::io_context context;
    typename Protocol::socket socket(context);
    boost::system::error_code failed;
    socket.open(Protocol::v4(), failed);
    socket.bind({asio::ip::make_address(ip), port}, failed);
    return !failed;
}

}  // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
}

void sleep_until_ms(std::int64_t at_ms)
{
    std::this_thread::sleep_until(start + std::chrono::milliseconds{at_ms});
}

http_service::http_service(const std::string& ip, handler serve)
    : serve_(std::move(serve)), acceptor_(context_, tcp::endpoint(asio::ip::make_address(ip), 0))
{
    address_ = ip + ":" + std::to_string(acceptor_.local_endpoint().port());
    std::thread([this] { accept_connections(); }).detach();
}

void http_service::set_away(absence kind)
{
    const std::lock_guard lock(mutex_);
    away_ = kind;
    silences_ += kind == absence::silent ? 1 : 0;
    std::ranges::for_each(open_, [kind](const std::weak_ptr<tcp::socket>& entry) {
        const auto socket = entry.lock();
        if (kind == absence::reset && socket)
        {
            boost::system::error_code ignored;
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        }
    });
}

void http_service::accept_connections()
{
    while (true)
    {
        auto socket = std::make_shared<tcp::socket>(context_);
        boost::system::error_code failed;
        acceptor_.accept(*socket, failed);
        if (failed)
        {
            continue;
        }
        if (away_ == absence::reset)
        {
            reset(*socket);
            continue;
        }
        const std::lock_guard lock(mutex_);
        std::erase_if(open_, [](const std::weak_ptr<tcp::socket>& entry) { return entry.expired(); });
        open_.push_back(socket);
        std::thread([this, socket] { serve_connection(socket); }).detach();
    }
}

void http_service::serve_connection(const std::shared_ptr<tcp::socket>& socket)
{
    const int silences = silences_;
    bool silent = away_ == absence::silent;
    boost::beast::flat_buffer buffer;
    boost::system::error_code failed;
    socket->set_option(tcp::no_delay(true), failed);
    while (!failed)
    {
        request call;
        http::read(*socket, buffer, call, failed);
        if (failed)
        {
            break;
        }
        silent = silent || silences_ != silences;
        if (silent)
        {
            continue;
        }
        auto answer = serve_(call);
        silent = silences_ != silences;
        if (silent)
        {
            continue;
        }
        if (away_ == absence::reset)
        {
            break;
        }
        answer.prepare_payload();
        http::write(*socket, answer, failed);
        if (!answer.keep_alive())
        {
            break;
        }
    }
    reset(*socket);
}

response send_request(const std::string& address, const request& message, int timeout_ms)
{
    using error = boost::system::error_code;
    asio::io_context context;
    boost::beast::tcp_stream stream(context);
    boost::beast::flat_buffer buffer;
    response received;
    bool complete = false;
    stream.expires_after(std::chrono::milliseconds{timeout_ms});
    stream.async_connect(to_endpoint(address), [&](error not_connected) {
        if (not_connected)
        {
            return;
        }
        http::async_write(stream, message, [&](error not_sent, std::size_t) {
            if (not_sent)
            {
                return;
            }
            http::async_read(stream, buffer, received, [&](error not_read, std::size_t) { complete = !not_read; });
        });
    });
    context.run();
    if (!complete)
    {
        received = response{};
        received.result(0U);
    }
    return received;
}

std::vector<int> free_ports(const std::vector<std::string>& ips, std::size_t count)
{
    constexpr int first = 20000;
    constexpr int last = 30000;
    constexpr int spread = 7919;
    std::vector<int> ports;
    const auto ticks = std::chrono::system_clock::now().time_since_epoch().count();
    for (int port = first + static_cast<int>(ticks / 1000 % spread); port < last && ports.size() < count; ++port)
    {
        const bool free = std::ranges::all_of(ips, [port](const std::string& ip) {
            const auto number = static_cast<unsigned short>(port);
            return is_free<tcp>(ip, number) && is_free<asio::ip::udp>(ip, number);
        });
        if (free)
        {
            ports.push_back(port);
        }
    }
    return ports;
}

response make_response(const request& call, http::status status, std::string body)
{
    response answer(status, call.version());
    answer.keep_alive(call.keep_alive());
    answer.body() = std::move(body);
    return answer;
}

std::string field(const request& call, const std::string& name)
{
    const auto value = call[boost::string_view(name)];
    return {value.data(), value.size()};
}

}  // namespace review
