#include "connection/body_reader.hpp"

#include <algorithm>

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

/// Size of the blocks in which a body is held, and of the first block of a body without a stated length. Most bodies
/// fit into one block.
constexpr std::size_t block_bytes = 16'384;
constexpr std::size_t first_chunked_block_bytes = 2048;
/// Reading pauses for at most this long for lack of memory; then the body is refused, so that its caller can try
/// another VM.
constexpr milliseconds max_memory_wait{1000};
constexpr milliseconds memory_check_interval{25};

/// Refuses the body @a id, whose task then ends.
void refuse_body(gateway_state& state, body_id id)
{
    const auto found = state.arriving_bodies_.find(id);
    if (found == state.arriving_bodies_.end())
    {
        return;
    }
    found->second->refused_ = true;
    boost::system::error_code ignored;  // fails only on a closed socket, which has nothing to cancel
    found->second->caller_->socket_.cancel(ignored);
}

/// Waits until the process has memory for @a bytes bytes of the body.
/// @return false when the body was refused
task<bool> reserve_block(arriving_body& arriving, std::size_t bytes)
{
    auto& state = arriving.state_;
    const auto give_up_at = std::chrono::steady_clock::now() + max_memory_wait;
    while (!arriving.refused_ && arriving.caller_->socket_.is_open())
    {
        const auto now = std::chrono::steady_clock::now();
        const auto growth = grow_body(state.body_memory_, arriving.body_->id(), byte_count{bytes}, now);
        if (growth.granted_)
        {
            co_return true;
        }
        if (growth.refuse_)
        {
            refuse_body(state, *growth.refuse_);
        }
        arriving.refused_ = arriving.refused_ || now >= give_up_at;
        co_await sleep_for(memory_check_interval);
    }
    co_return false;
}

/// Reads a body of @a left bytes, of which the first ones may be in the connection's buffer.
task<bool> read_sized_body(arriving_body& arriving, std::uint64_t left)
{
    auto& caller = *arriving.caller_;
    while (left > 0)
    {
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(left, block_bytes));
        const bool reserved = co_await reserve_block(arriving, size);
        if (!reserved)
        {
            co_return false;
        }
        auto& block = arriving.body_->add_block(size);
        const auto buffered = boost::asio::buffer_copy(boost::asio::buffer(block), caller.buffer_.data());
        caller.buffer_.consume(buffered);
        co_await boost::asio::async_read(caller.socket_,
                                         boost::asio::buffer(block.data() + buffered, block.size() - buffered),
                                         redirect_error(use_awaitable, arriving.failed_));
        if (arriving.failed_)
        {
            co_return false;
        }
        left -= size;
    }
    co_return true;
}

task<bool> read_chunked_body(arriving_body& arriving, caller_parser& parser)
{
    auto& caller = *arriving.caller_;
    auto size = first_chunked_block_bytes;
    while (!parser.is_done())
    {
        const bool reserved = co_await reserve_block(arriving, size);
        if (!reserved)
        {
            co_return false;
        }
        auto& block = arriving.body_->add_block(size);
        parser.get().body().data = block.data();
        parser.get().body().size = block.size();
        co_await http::async_read(caller.socket_, caller.buffer_, parser,
                                  redirect_error(use_awaitable, arriving.failed_));
        block.resize(block.size() - parser.get().body().size);
        if (arriving.failed_ && arriving.failed_ != http::error::need_buffer)
        {
            co_return false;
        }
        arriving.failed_ = {};
        size = block_bytes;
    }
    co_return true;
}

}  // namespace

arriving_body::arriving_body(gateway_state& state, std::shared_ptr<caller_socket> caller)
    : state_(state), caller_(std::move(caller)), body_(std::make_shared<request_body>(state.body_memory_))
{
    state_.arriving_bodies_[body_->id()] = this;
}

arriving_body::~arriving_body()
{
    state_.arriving_bodies_.erase(body_->id());
}

task<bool> read_body(arriving_body& arriving, caller_parser& parser)
{
    bool complete = false;
    if (parser.chunked())
    {
        complete = co_await read_chunked_body(arriving, parser);
    }
    else
    {
        complete = co_await read_sized_body(arriving, parser.content_length().value_or(0));
    }
    complete = complete && !arriving.refused_;
    if (complete)
    {
        complete_body(arriving.state_.body_memory_, arriving.body_->id());
    }
    co_return complete;
}

}  // namespace cornelstall
