#include "connection/caller_channel.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>

namespace cornelstall
{

namespace
{

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t discard_block_bytes = 16'384;

void set_deadline(caller_channel& channel, time_point deadline)
{
    channel.expired_ = false;
    channel.deadline_timer_.expires_at(deadline);
    channel.deadline_timer_.async_wait([weak = channel.weak_from_this(), deadline](const error_code& cancelled) {
        const auto locked = weak.lock();
        // The deadline may have been changed after this handler was queued.
        if (!cancelled && locked && locked->deadline_timer_.expiry() == deadline)
        {
            locked->expired_ = true;
            cancel_operation(*locked);
        }
    });
}

/// Ends the deadline of an operation that has ended with @a failed.
error_code clear_deadline(caller_channel& channel, error_code failed)
{
    channel.deadline_timer_.expires_at(time_point::max());
    return failed && channel.expired_ ? error_code(boost::asio::error::timed_out) : failed;
}

/// Why no operation may begin, if so.
error_code begin_operation(caller_channel& channel, time_point deadline)
{
    if (channel.closed_)
    {
        return boost::asio::error::operation_aborted;
    }
    if (std::chrono::steady_clock::now() >= deadline)
    {
        return boost::asio::error::timed_out;
    }
    set_deadline(channel, deadline);
    return {};
}

/// Takes a block of what has arrived. Not part of a coroutine, whose frame would hold the block while it waits.
error_code discard_arrived(tcp::socket& socket)
{
    std::array<char, discard_block_bytes> block;  // NOLINT: filled by the read, and not looked at
    error_code failed;
    (void)socket.read_some(boost::asio::buffer(block), failed);
    return failed == boost::asio::error::would_block ? error_code{} : failed;
}

}  // namespace

caller_channel::caller_channel(tcp::socket socket, boost::asio::ssl::context* tls, std::size_t max_buffered)
    : socket_(std::move(socket)), deadline_timer_(socket_.get_executor()), buffer_(max_buffered)
{
    error_code ignored;  // if the socket has failed, its next operation reports the error
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    if (tls != nullptr)
    {
        tls_.emplace(socket_, *tls);
    }
}

void enter(caller_channel& channel, caller_phase phase)
{
    channel.phase_ = phase;
    channel.phase_begin_ = std::chrono::steady_clock::now();
}

task<error_code> shake_hands(std::shared_ptr<caller_channel> channel, time_point deadline)
{
    auto failed = begin_operation(*channel, deadline);
    if (failed || !channel->tls_)
    {
        co_return clear_deadline(*channel, failed);
    }
    co_await channel->tls_->async_handshake(boost::asio::ssl::stream_base::server,
                                            redirect_error(use_awaitable, failed));
    co_return clear_deadline(*channel, failed);
}

task<error_code> wait_for_bytes(std::shared_ptr<caller_channel> channel, time_point deadline)
{
    if (channel->buffer_.size() > 0)
    {
        co_return error_code{};
    }
    channel->buffer_.shrink_to_fit();
    if (channel->tls_)
    {
        // Bytes may wait inside the TLS stream, where the socket does not show them.
        constexpr std::size_t first_read_bytes = 1024;
        co_return co_await read_more(channel, first_read_bytes, deadline);
    }
    auto failed = begin_operation(*channel, deadline);
    if (!failed)
    {
        co_await channel->socket_.async_wait(tcp::socket::wait_read, redirect_error(use_awaitable, failed));
    }
    co_return clear_deadline(*channel, failed);
}

task<error_code> read_more(std::shared_ptr<caller_channel> channel, std::size_t limit, time_point deadline)
{
    const auto room = std::min(limit, channel->buffer_.max_size() - channel->buffer_.size());
    if (room == 0)
    {
        co_return boost::asio::error::no_buffer_space;
    }
    auto failed = begin_operation(*channel, deadline);
    if (failed)
    {
        co_return failed;
    }
    const auto block = channel->buffer_.prepare(room);
    std::size_t count = 0;
    if (channel->tls_)
    {
        count = co_await channel->tls_->async_read_some(block, redirect_error(use_awaitable, failed));
    }
    else
    {
        count = co_await channel->socket_.async_read_some(block, redirect_error(use_awaitable, failed));
    }
    channel->buffer_.commit(count);
    co_return clear_deadline(*channel, failed);
}

task<error_code> send_text(std::shared_ptr<caller_channel> channel, std::string text, milliseconds stall_limit)
{
    error_code failed;
    std::size_t sent = 0;
    while (!failed && sent < text.size())
    {
        failed = begin_operation(*channel, std::chrono::steady_clock::now() + stall_limit);
        if (failed)
        {
            break;
        }
        const auto rest = boost::asio::buffer(text.data() + sent, text.size() - sent);
        if (channel->tls_)
        {
            sent += co_await channel->tls_->async_write_some(rest, redirect_error(use_awaitable, failed));
        }
        else
        {
            sent += co_await channel->socket_.async_write_some(rest, redirect_error(use_awaitable, failed));
        }
        failed = clear_deadline(*channel, failed);
    }
    co_return failed;
}

task<> close_after_answer(std::shared_ptr<caller_channel> channel, milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    if (channel->tls_)
    {
        auto failed = begin_operation(*channel, deadline);
        if (!failed)
        {
            // Fails when the caller goes on sending, which it may.
            co_await channel->tls_->async_shutdown(redirect_error(use_awaitable, failed));
        }
        (void)clear_deadline(*channel, failed);
    }
    channel->buffer_.clear();
    channel->buffer_.shrink_to_fit();
    error_code failed;
    channel->socket_.shutdown(tcp::socket::shutdown_send, failed);
    while (!failed)
    {
        failed = begin_operation(*channel, deadline);
        if (failed)
        {
            break;
        }
        co_await channel->socket_.async_wait(tcp::socket::wait_read, redirect_error(use_awaitable, failed));
        failed = clear_deadline(*channel, failed);
        if (!failed)
        {
            failed = discard_arrived(channel->socket_);
        }
    }
    close(*channel);
}

void cancel_operation(caller_channel& channel)
{
    error_code ignored;
    channel.socket_.cancel(ignored);
}

void close(caller_channel& channel)
{
    channel.closed_ = true;
    error_code ignored;
    channel.socket_.close(ignored);
}

}  // namespace cornelstall
