#include "connection/proxy.hpp"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

namespace cornelstall::soak
{

namespace
{

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

/// Interval at which held bytes and resets are looked at.
constexpr milliseconds look_interval{10};
constexpr milliseconds connect_limit{1000};
constexpr std::size_t piece_bytes = 8192;

enum class direction
{
    requests,
    answers
};

struct relay
{
    relay(std::shared_ptr<proxy> by, tcp::socket client, tcp::socket target)
        : by_(std::move(by)),
          client_(std::move(client)),
          target_(std::move(target)),
          silenced_(by_->link_.silenced_),
          reset_(by_->link_.reset_)
    {}

    std::shared_ptr<proxy> by_;
    tcp::socket client_;
    tcp::socket target_;
    std::uint64_t silenced_;  ///< of the link when the connection was opened
    std::uint64_t reset_;
    int open_directions_ = 2;
};

void close_both(relay& pair, bool reset)
{
    boost::system::error_code ignored;  // either side may be closed already
    for (auto* const socket : {&pair.client_, &pair.target_})
    {
        if (reset)
        {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        socket->close(ignored);
    }
}

bool is_silenced(const relay& pair)
{
    return pair.by_->link_.silenced_ != pair.silenced_;
}

bool is_held(const relay& pair, direction way)
{
    const auto& link = pair.by_->link_;
    return is_silenced(pair) || (way == direction::requests ? link.hold_requests_ : link.hold_answers_);
}

task<> relay_one_way(std::shared_ptr<relay> pair, direction way)
{
    auto& from = way == direction::requests ? pair->client_ : pair->target_;
    auto& to = way == direction::requests ? pair->target_ : pair->client_;
    std::array<char, piece_bytes> piece{};
    boost::system::error_code failed;
    while (!failed)
    {
        const auto size =
            co_await from.async_read_some(boost::asio::buffer(piece), redirect_error(use_awaitable, failed));
        if (pair->by_->link_.delay_ > milliseconds{0})
        {
            co_await sleep_for(pair->by_->link_.delay_);
        }
        while (is_held(*pair, way) && pair->client_.is_open() && !(failed && is_silenced(*pair)))
        {
            co_await sleep_for(look_interval);
        }
        if (size > 0)
        {
            boost::system::error_code unwritten;
            co_await boost::asio::async_write(to, boost::asio::buffer(piece.data(), size),
                                              redirect_error(use_awaitable, unwritten));
            failed = unwritten ? unwritten : failed;
        }
    }
    if (failed != boost::asio::error::eof)
    {
        close_both(*pair, true);
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (--pair->open_directions_ == 0)
    {
        close_both(*pair, false);
    }
}

/// Resets the connection when the link says so.
task<> watch_reset(std::shared_ptr<relay> pair)
{
    while (pair->open_directions_ > 0)
    {
        if (pair->by_->link_.reset_ != pair->reset_)
        {
            close_both(*pair, true);
            co_return;
        }
        co_await sleep_for(look_interval);
    }
}

task<> serve_connection(std::shared_ptr<proxy> by, std::shared_ptr<tcp::socket> client)
{
    const auto connection =
        co_await connect_to(by->executor_, by->target_.get(), std::chrono::steady_clock::now() + connect_limit);
    if (!connection)
    {
        boost::system::error_code ignored;
        client->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        client->close(ignored);
        co_return;
    }
    clear_close_deadline(*connection);
    const auto pair = std::make_shared<relay>(by, std::move(*client), std::move(connection->socket_));
    spawn(by->executor_, "relay_requests", relay_one_way(pair, direction::requests));
    spawn(by->executor_, "relay_answers", relay_one_way(pair, direction::answers));
    spawn(by->executor_, "watch_reset", watch_reset(pair));
}

task<> accept_connections(std::shared_ptr<proxy> by)
{
    boost::system::error_code failed;
    while (failed != boost::asio::error::operation_aborted)
    {
        auto client = std::make_shared<tcp::socket>(by->executor_);
        co_await by->acceptor_.async_accept(*client, redirect_error(use_awaitable, failed));
        if (!failed && !by->link_.refuse_)
        {
            spawn(by->executor_, "serve_connection", serve_connection(by, client));
        }
    }
}

}  // namespace

proxy::proxy(executor where, socket_address target)
    : executor_(std::move(where)), acceptor_(listen_on(executor_, "127.0.0.1:0")), target_(std::move(target))
{}

socket_address proxy::address() const
{
    return socket_address{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
}

std::shared_ptr<proxy> start_proxy(const executor& where, const socket_address& target)
{
    auto started = std::make_shared<proxy>(where, target);
    spawn(where, "accept_connections", accept_connections(started));
    return started;
}

}  // namespace cornelstall::soak
