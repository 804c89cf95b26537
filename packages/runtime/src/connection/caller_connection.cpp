#include "cornelstall/runtime/connection/caller_connection.hpp"

#include <algorithm>
#include <limits>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include "connection/caller_exchange.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;
using boost::system::error_code;

constexpr milliseconds slow_caller_pause{20};
/// How often a body that waits for room looks for a stalled one.
constexpr milliseconds room_check_interval{100};
constexpr milliseconds busy_retry_after{1000};
constexpr int ms_per_second = 1000;
constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
/// Small enough that the allocator keeps the blocks of a body that was read for the next one.
constexpr std::size_t body_block_bytes = 65'536;

[[noreturn]] void refuse_large(byte_count limit)
{
    throw request_error(115, refusal_reason::body_too_large, outcome::did_not_run,
                        "the body is larger than " + std::to_string(limit.get()) +
                            " bytes; shorten it or ask the operators to raise limits.max_body_bytes");
}

[[noreturn]] void refuse_slow(milliseconds time)
{
    throw request_error(
        116, refusal_reason::slow_sender, outcome::did_not_run,
        "the body did not arrive within " + std::to_string(time.count()) + " ms; send it faster or shorten it");
}

[[noreturn]] void refuse_body_for_room()
{
    throw request_error(124, refusal_reason::queue_full, outcome::did_not_run,
                        "this VM reads as many bytes of bodies as it can; retry later", busy_retry_after);
}

[[noreturn]] void refuse_framing(const error_code& failed)
{
    throw request_error(133, refusal_reason::malformed_request, outcome::did_not_run,
                        "the body is no valid HTTP (" + failed.message() + "); correct its framing");
}

/// A body in blocks. Growing one string would need twice its memory or more.
struct body_blocks
{
    std::vector<std::string> blocks_;
    std::size_t size_ = 0;
};

void append(body_blocks& body, std::string_view text)
{
    body.size_ += text.size();
    while (!text.empty())
    {
        if (body.blocks_.empty() || body.blocks_.back().size() == body_block_bytes)
        {
            body.blocks_.emplace_back();
        }
        auto& last = body.blocks_.back();
        const auto count = std::min(text.size(), body_block_bytes - last.size());
        if (last.capacity() < last.size() + count)
        {
            last.reserve(std::min(body_block_bytes, std::max(last.size() + count, 2 * last.capacity())));
        }
        last.append(text.substr(0, count));
        text.remove_prefix(count);
    }
}

std::string join(body_blocks body)
{
    if (body.blocks_.size() == 1)
    {
        return std::move(body.blocks_.front());
    }
    std::string whole;
    whole.reserve(body.size_);
    std::ranges::for_each(body.blocks_, [&whole](std::string& block) {
        whole += block;
        std::string{}.swap(block);
    });
    return whole;
}

/// Parses body bytes that have arrived.
/// @return the part of the shared block that they fill
std::string_view parse_arrived(caller_exchange& exchange, error_code& failed)
{
    auto& block = exchange.traffic_->body_block_;
    auto& buffer = exchange.channel_->buffer_;
    auto& target = exchange.parser_.get().body();
    target.data = block.data();
    target.size = block.size();
    buffer.consume(exchange.parser_.put(buffer.data(), failed));
    if (failed == http::error::need_more || failed == http::error::need_buffer)
    {
        failed = {};
    }
    return {block.data(), block.size() - target.size};
}

/// Counts a body among those that are read, for as long as the object lives.
class reading_body
{
  public:
    explicit reading_body(caller_exchange& exchange)
        : traffic_(exchange.traffic_), id_(begin_body(traffic_->bodies_, clock::now()))
    {
        traffic_->readers_[id_] = exchange.weak_from_this();
    }
    ~reading_body()
    {
        traffic_->readers_.erase(id_);
        end_body(traffic_->bodies_, id_);
        traffic_->bodies_changed_.notify();
    }
    reading_body(const reading_body&) = delete;
    reading_body& operator=(const reading_body&) = delete;
    reading_body(reading_body&&) = delete;
    reading_body& operator=(reading_body&&) = delete;

    [[nodiscard]] body_id id() const
    {
        return id_;
    }

  private:
    std::shared_ptr<caller_traffic> traffic_;
    body_id id_;
};

/// Gives up the body that stalls while others wait for its memory.
void refuse_stalled_body(caller_traffic& traffic)
{
    const auto stalled = find_stalled_body(traffic.bodies_, clock::now());
    const auto found = stalled ? traffic.readers_.find(*stalled) : traffic.readers_.end();
    const auto exchange = found == traffic.readers_.end() ? nullptr : found->second.lock();
    if (exchange && !exchange->body_refused_)
    {
        exchange->body_refused_ = true;
        cancel_operation(*exchange->channel_);
    }
}

/// Waits until the next block of a body may be read.
/// @throws request_error (id 124) when there is no room before @a deadline
task<> wait_for_room(std::shared_ptr<caller_traffic> traffic, body_id body, time_point deadline)
{
    while (!reserve_read(traffic->bodies_, body, byte_count{read_block_bytes}, clock::now()))
    {
        if (clock::now() >= deadline)
        {
            refuse_body_for_room();
        }
        refuse_stalled_body(*traffic);
        co_await traffic->bodies_changed_.wait_until(machine_clock(),
                                                     std::min(deadline, clock::now() + room_check_interval));
    }
}

/// Throws why a read of a body failed.
void check_read(caller_exchange& exchange, const error_code& failed, milliseconds time)
{
    if (exchange.body_refused_)
    {
        refuse_body_for_room();
    }
    if (failed == boost::asio::error::timed_out)
    {
        refuse_slow(time);
    }
    if (failed == boost::asio::error::no_buffer_space)
    {
        refuse_framing(http::make_error_code(http::error::header_limit));
    }
    if (failed)
    {
        exchange.gone_ = true;
        throw request_error(117, refusal_reason::malformed_request, outcome::did_not_run,
                            "the connection ended before the body; send the whole body");
    }
}

/// Adds what has arrived of a body to @a body, for which @a reserved bytes were reserved.
/// @throws request_error ids 115 and 133
void take_arrived(caller_exchange& exchange, body_id id, byte_count reserved, byte_count limit, body_blocks& body)
{
    if (exchange.channel_->buffer_.size() == 0 || exchange.parser_.is_done())
    {
        return;
    }
    error_code failed;
    const auto text = parse_arrived(exchange, failed);
    if (failed)
    {
        refuse_framing(failed);
    }
    if (body.size_ + text.size() > limit.get())
    {
        refuse_large(limit);
    }
    append(body, text);
    settle_read(exchange.traffic_->bodies_, id, reserved, byte_count{text.size()}, clock::now());
}

/// A parsed trailer field takes far more memory than its bytes, for as long as the request lives.
/// @throws request_error id 133
void check_trailers(const caller_exchange& exchange)
{
    const auto& request = exchange.parser_.get();
    if (std::distance(request.begin(), request.end()) > exchange.traffic_->bounds_.head_lines_)
    {
        refuse_framing(http::make_error_code(http::error::header_limit));
    }
}

/// Adds @a text to what is sent.
void queue_text(caller_exchange& exchange, std::string_view text)
{
    exchange.unsent_ += text;
    exchange.traffic_->unsent_ += text.size();
    exchange.changed_.notify();
}

/// Adds @a text to a stream, as one chunk when the stream is chunked.
void queue_part(caller_exchange& exchange, const std::string& text)
{
    // A chunk without bytes would end the stream.
    if (text.empty() || !exchange.chunked_)
    {
        queue_text(exchange, text);
        return;
    }
    std::ostringstream length;
    length << std::hex << text.size() << "\r\n";
    queue_text(exchange, length.str() + text + "\r\n");
}

/// Sends what is added to the answer until it has ended.
task<> send_answer(std::shared_ptr<caller_exchange> exchange)
{
    while (!exchange->gone_ && !(exchange->ended_ && exchange->unsent_.empty()))
    {
        if (exchange->unsent_.empty())
        {
            co_await exchange->changed_.wait_until(machine_clock(), time_point::max());
            continue;
        }
        auto text = std::exchange(exchange->unsent_, {});
        exchange->sending_ = text.size();
        const auto failed =
            co_await send_text(exchange->channel_, std::move(text), exchange->traffic_->bounds_.unread_time_);
        exchange->traffic_->unsent_ -= exchange->sending_;
        exchange->sending_ = 0;
        exchange->gone_ = exchange->gone_ || failed;
    }
    exchange->sent_ = true;
    exchange->changed_.notify();
}

/// Begins an answer with @a head and starts the task that sends it.
void begin_answer(caller_exchange& exchange, http::response<http::empty_body>& head)
{
    discard_arrived_body(exchange);
    exchange.replied_ = true;
    exchange.keep_alive_ = exchange.keep_alive_ && exchange.parser_.is_done();
    if (!exchange.keep_alive_)
    {
        head.set(http::field::connection, "close");
    }
    else if (exchange.parser_.get().version() == http_1_0)
    {
        head.set(http::field::connection, "keep-alive");
    }
    std::ostringstream text;
    text << head.base();
    queue_text(exchange, text.str());
    spawn(exchange.traffic_->executor_, "send_answer", send_answer(exchange.shared_from_this()));
}

/// True when the caller is too far behind for more of its stream to be kept.
bool is_behind(const caller_exchange& exchange)
{
    const auto own = exchange.unsent_.size() + exchange.sending_;
    const auto& bounds = exchange.traffic_->bounds_;
    return own > max_unsent_bytes ||
           (own > bounds.small_unsent_.get() && exchange.traffic_->unsent_ > bounds.unsent_total_.get());
}

}  // namespace

caller_traffic::caller_traffic(executor where, caller_bounds bounds)
    : executor_(std::move(where)), bounds_(bounds), body_block_(read_block_bytes)
{
    bodies_.limits_ = bounds_.bodies_;
}

caller_exchange::caller_exchange(std::shared_ptr<caller_traffic> traffic, std::shared_ptr<caller_channel> channel)
    : traffic_(std::move(traffic)), channel_(std::move(channel))
{
    // The head is bounded before it is parsed, the body where it is read.
    parser_.header_limit(static_cast<std::uint32_t>(traffic_->bounds_.head_.get()));
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
}

caller_exchange::~caller_exchange()
{
    traffic_->unsent_ -= unsent_.size() + sending_;
}

void discard_arrived_body(caller_exchange& exchange)
{
    error_code failed;
    if (exchange.parser_.is_header_done() && !exchange.parser_.is_done() && exchange.channel_->buffer_.size() > 0)
    {
        (void)parse_arrived(exchange, failed);
    }
}

caller_connection::caller_connection(std::shared_ptr<caller_exchange> exchange) : exchange_(std::move(exchange)) {}

std::string caller_connection::header(const std::string& name) const
{
    return std::string(exchange_->parser_.get()[name]);
}

std::string caller_connection::method() const
{
    return std::string(exchange_->parser_.get().method_string());
}

std::string caller_connection::path() const
{
    return exchange_->path_;
}

std::string caller_connection::path_and_query() const
{
    return exchange_->path_and_query_;
}

task<std::string> caller_connection::read_body(byte_count limit, milliseconds time)
{
    const auto exchange = exchange_;
    const auto traffic = exchange->traffic_;
    auto& parser = exchange->parser_;
    const auto announced = parser.content_length();
    if (announced && *announced > limit.get())
    {
        refuse_large(limit);
    }
    const auto deadline = clock::now() + time;
    const reading_body reading(*exchange);
    body_blocks body;
    take_arrived(*exchange, reading.id(), byte_count{0}, limit, body);
    if (exchange->continue_expected_ && !parser.is_done() && body.size_ == 0)
    {
        std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto failed = co_await send_text(exchange->channel_, std::move(interim), time);
        check_read(*exchange, failed, time);
    }
    while (!parser.is_done())
    {
        co_await wait_for_room(traffic, reading.id(), deadline);
        const auto failed = co_await read_more(exchange->channel_, read_block_bytes, deadline);
        check_read(*exchange, failed, time);
        take_arrived(*exchange, reading.id(), byte_count{read_block_bytes}, limit, body);
    }
    check_trailers(*exchange);
    exchange->channel_->buffer_.shrink_to_fit();
    co_return join(std::move(body));
}

void caller_connection::reply(int status, const std::string& body, const std::string& content_type,
                              std::optional<milliseconds> retry_after)
{
    if (exchange_->replied_)
    {
        return;
    }
    http::response<http::empty_body> head(static_cast<http::status>(status), http_1_1);
    head.set(http::field::content_type, content_type);
    head.content_length(body.size());
    if (retry_after)
    {
        const auto seconds = (retry_after->count() + ms_per_second - 1) / ms_per_second;
        head.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    begin_answer(*exchange_, head);
    if (exchange_->parser_.get().method() != http::verb::head)
    {
        queue_text(*exchange_, body);
    }
    exchange_->ended_ = true;
}

void caller_connection::start_stream()
{
    if (exchange_->replied_)
    {
        return;
    }
    exchange_->streaming_ = true;
    exchange_->chunked_ = exchange_->parser_.get().version() == http_1_1;
    exchange_->keep_alive_ = exchange_->keep_alive_ && exchange_->chunked_;
    http::response<http::empty_body> head(http::status::ok, http_1_1);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-cache");
    if (exchange_->chunked_)
    {
        head.set(http::field::transfer_encoding, "chunked");
    }
    begin_answer(*exchange_, head);
}

bool caller_connection::streaming() const noexcept
{
    return exchange_->streaming_;
}

task<bool> caller_connection::write(std::string text, time_point deadline)
{
    const auto exchange = exchange_;
    while (is_behind(*exchange) && !exchange->gone_)
    {
        if (clock::now() >= deadline)
        {
            co_return false;
        }
        co_await sleep_for(slow_caller_pause);
    }
    if (exchange->gone_ || exchange->ended_)
    {
        co_return false;
    }
    queue_part(*exchange, text);
    co_return true;
}

void caller_connection::end_stream()
{
    if (exchange_->ended_)
    {
        return;
    }
    if (exchange_->chunked_)
    {
        queue_text(*exchange_, "0\r\n\r\n");
    }
    exchange_->ended_ = true;
    exchange_->changed_.notify();
}

bool caller_connection::gone() const noexcept
{
    return exchange_->gone_;
}

}  // namespace cornelstall
