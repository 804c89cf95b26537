#include "connection/caller_session.hpp"

#include <algorithm>
#include <string_view>

#include <cpprest/base_uri.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "cornelstall/runtime/process/log_event.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using clock = std::chrono::steady_clock;

constexpr event_kind accept_failed{2050, "caller_accept_failed"};
constexpr event_kind exchange_failed{2051, "caller_exchange_failed"};
constexpr event_kind connections_full{2052, "caller_connections_full"};

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr milliseconds accept_retry_delay{50};
/// For which what a caller still sends after a refusal is discarded, so that it can read the refusal.
constexpr milliseconds discard_time{5000};
/// A connection whose request has not begun is closed in favour of a new one only after this time.
constexpr milliseconds least_opening_time{1000};
constexpr milliseconds full_log_interval{1000};
constexpr std::size_t head_block_bytes = 4096;
constexpr std::string_view head_end = "\r\n\r\n";

/// Counts a connection among the open ones, for as long as the object lives.
class open_channel
{
  public:
    open_channel(std::shared_ptr<caller_traffic> traffic, std::shared_ptr<caller_channel> channel)
        : traffic_(std::move(traffic)), channel_(std::move(channel))
    {
        traffic_->channels_.insert(channel_);
    }
    ~open_channel()
    {
        traffic_->channels_.erase(channel_);
        traffic_->channels_changed_.notify();
    }
    open_channel(const open_channel&) = delete;
    open_channel& operator=(const open_channel&) = delete;
    open_channel(open_channel&&) = delete;
    open_channel& operator=(open_channel&&) = delete;

  private:
    std::shared_ptr<caller_traffic> traffic_;
    std::shared_ptr<caller_channel> channel_;
};

std::string_view arrived(const caller_channel& channel)
{
    const auto bytes = channel.buffer_.data();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

[[noreturn]] void refuse_head(const std::string& problem)
{
    throw request_error(134, refusal_reason::malformed_request, outcome::did_not_run, problem);
}

/// Reads until the whole head has arrived.
/// @return its size; 0 when the connection ended
/// @throws request_error ids 134 and 135
task<std::size_t> receive_head(std::shared_ptr<caller_traffic> traffic, std::shared_ptr<caller_channel> channel)
{
    const auto& bounds = traffic->bounds_;
    const auto deadline = clock::now() + bounds.head_time_;
    std::size_t searched = 0;
    for (;;)
    {
        const auto text = arrived(*channel);
        const auto end = text.find(head_end, searched);
        if (end != std::string_view::npos)
        {
            co_return end + head_end.size();
        }
        searched = text.size() - std::min(text.size(), head_end.size() - 1);
        const auto failed = co_await read_more(channel, head_block_bytes, deadline);
        if (failed == boost::asio::error::no_buffer_space)
        {
            refuse_head("the head is larger than " + std::to_string(bounds.head_.get()) + " bytes; shorten it");
        }
        if (failed == boost::asio::error::timed_out)
        {
            throw request_error(
                135, refusal_reason::slow_sender, outcome::did_not_run,
                "the head did not arrive within " + std::to_string(bounds.head_time_.count()) + " ms; send it faster");
        }
        if (failed)
        {
            co_return 0;
        }
    }
}

bool is_only_chunked(const http::request_header<>& head)
{
    return head.count(http::field::transfer_encoding) == 1 &&
           boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

/// Parses a head of @a size bytes that has arrived.
/// @throws request_error id 134
void parse_head(caller_exchange& exchange, std::size_t size)
{
    auto& channel = *exchange.channel_;
    const auto head = arrived(channel).substr(0, size);
    if (std::ranges::count(head, '\n') > exchange.traffic_->bounds_.head_lines_)
    {
        refuse_head("the head has more than " + std::to_string(exchange.traffic_->bounds_.head_lines_) +
                    " lines; send fewer headers");
    }
    error_code failed;
    channel.buffer_.consume(exchange.parser_.put(boost::asio::buffer(head.data(), head.size()), failed));
    if (failed)
    {
        refuse_head("the head is no valid HTTP (" + failed.message() + "); correct it");
    }
    // The parser takes a request with another transfer coding for one without a body, and its body for a request.
    if (exchange.parser_.get().count(http::field::transfer_encoding) > 0 && !is_only_chunked(exchange.parser_.get()))
    {
        refuse_head("the transfer coding is not supported; use Content-Length, or chunked alone");
    }
    exchange.parser_.eager(true);
    const auto& request = exchange.parser_.get();
    exchange.keep_alive_ = exchange.parser_.keep_alive();
    exchange.continue_expected_ = http::token_list(request[http::field::expect]).exists("100-continue");
    try
    {
        const web::uri target(std::string(request.target()));
        exchange.path_ = web::uri::decode(target.path());
        exchange.path_and_query_ = target.resource().to_string();
    }
    catch (const web::uri_exception& problem)
    {
        refuse_head(std::string("the path is not valid (") + problem.what() + "); correct it");
    }
}

task<> wait_until_sent(std::shared_ptr<caller_exchange> exchange)
{
    while (exchange->replied_ && !exchange->sent_)
    {
        co_await exchange->changed_.wait_until(machine_clock(), time_point::max());
    }
}

/// Serves one request.
/// @return true when the connection can carry another one
task<bool> serve_exchange(std::shared_ptr<caller_exchange> exchange, std::shared_ptr<const caller_handlers> handlers)
{
    const auto connection = std::make_shared<caller_connection>(exchange);
    bool readable = true;
    try
    {
        const auto size = co_await receive_head(exchange->traffic_, exchange->channel_);
        readable = size > 0;
        if (readable)
        {
            enter(*exchange->channel_, caller_phase::exchange);
            parse_head(*exchange, size);
        }
    }
    catch (const request_error& problem)
    {
        readable = false;
        exchange->keep_alive_ = false;
        enter(*exchange->channel_, caller_phase::exchange);
        handlers->refuse_(*connection, problem);
    }
    if (readable)
    {
        try
        {
            co_await handlers->serve_(connection);
        }
        catch (const std::exception& problem)
        {
            // Without the answer's end, the caller cannot take the answer for whole.
            exchange->keep_alive_ = false;
            log_event(severity::error, exchange_failed, problem.what());
        }
    }
    const bool whole = exchange->ended_;
    exchange->ended_ = true;
    exchange->changed_.notify();
    co_await wait_until_sent(exchange);
    co_return whole && exchange->keep_alive_ && !exchange->gone_ && !exchange->traffic_->closing_;
}

/// Serves the requests of one connection.
task<> serve_caller(std::shared_ptr<caller_traffic> traffic, std::shared_ptr<caller_channel> channel,
                    std::unique_ptr<open_channel> /*open*/, std::shared_ptr<const caller_handlers> handlers)
{
    const auto& bounds = traffic->bounds_;
    auto failed = co_await shake_hands(channel, clock::now() + bounds.head_time_);
    bool is_unread = false;
    bool going_on = !failed;
    while (going_on)
    {
        enter(*channel, caller_phase::idle);
        failed = co_await wait_for_bytes(channel, clock::now() + bounds.idle_time_);
        if (failed)
        {
            break;
        }
        enter(*channel, caller_phase::opening);
        const auto exchange = std::make_shared<caller_exchange>(traffic, channel);
        going_on = co_await serve_exchange(exchange, handlers);
        is_unread = exchange->replied_ && !exchange->gone_ && !exchange->parser_.is_done();
    }
    enter(*channel, caller_phase::closing);
    if (is_unread)
    {
        co_await close_after_answer(channel, discard_time);
    }
    close(*channel);
}

/// Makes room for another connection: closes the one that has been without a request for longest.
/// @return false when every connection carries a request or has just begun
bool make_room(caller_traffic& traffic)
{
    const auto now = clock::now();
    const auto is_spare = [now](const std::shared_ptr<caller_channel>& channel) {
        return !channel->closed_ && channel->phase_ != caller_phase::exchange &&
               (channel->phase_ == caller_phase::idle || now - channel->phase_begin_ >= least_opening_time);
    };
    std::shared_ptr<caller_channel> longest;
    std::ranges::for_each(traffic.channels_, [&](const std::shared_ptr<caller_channel>& channel) {
        if (is_spare(channel) && (!longest || channel->phase_begin_ < longest->phase_begin_))
        {
            longest = channel;
        }
    });
    if (longest)
    {
        close(*longest);
    }
    return longest != nullptr;
}

/// Tells a caller without TLS that there is no room for its connection. The socket's empty buffer takes the text at
/// once.
void refuse_connection(tcp::socket& socket, const caller_traffic& traffic)
{
    constexpr std::string_view body =
        R"({"error":{"code":136,"message":"this VM has as many connections as it can; retry later",)"
        R"("reason":"queue_full","outcome":"did_not_run","retry_after_ms":1000}})";
    error_code ignored;
    if (!traffic.tls_)
    {
        const auto text =
            "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
            "Connection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
        socket.non_blocking(true, ignored);
        (void)socket.write_some(boost::asio::buffer(text), ignored);
    }
    socket.close(ignored);
}

/// Writes an event when connections are refused, at most one per interval.
void log_full(const caller_traffic& traffic, time_point& last)
{
    if (clock::now() - last >= full_log_interval)
    {
        last = clock::now();
        log_event(severity::warning, connections_full, "callers' connections are refused or closed early",
                  {{"connections", std::to_string(traffic.channels_.size())}});
    }
}

}  // namespace

task<> accept_callers(std::shared_ptr<caller_traffic> traffic, std::shared_ptr<tcp::acceptor> acceptor,
                      std::shared_ptr<const caller_handlers> handlers)
{
    const auto most = static_cast<std::size_t>(traffic->bounds_.connections_);
    time_point last_logged{};
    while (acceptor->is_open())
    {
        error_code failed;
        tcp::socket socket(traffic->executor_);
        co_await acceptor->async_accept(socket, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (failed == boost::asio::error::operation_aborted)
        {
            break;
        }
        if (failed)
        {
            log_event(severity::warning, accept_failed, failed.message());
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        if (traffic->channels_.size() >= most)
        {
            handlers->connection_refused_();
            log_full(*traffic, last_logged);
            if (!make_room(*traffic))
            {
                refuse_connection(socket, *traffic);
                continue;
            }
        }
        auto channel = std::make_shared<caller_channel>(std::move(socket), traffic->tls_.get(),
                                                        static_cast<std::size_t>(traffic->bounds_.head_.get()));
        auto open = std::make_unique<open_channel>(traffic, channel);
        spawn(traffic->executor_, "serve_caller", serve_caller(traffic, channel, std::move(open), handlers));
    }
}

void end_callers(caller_traffic& traffic)
{
    traffic.closing_ = true;
    std::ranges::for_each(traffic.channels_, [](const std::shared_ptr<caller_channel>& channel) {
        if (channel->phase_ == caller_phase::idle)
        {
            close(*channel);
        }
    });
}

task<> wait_for_callers(std::shared_ptr<caller_traffic> traffic)
{
    while (!traffic->channels_.empty())
    {
        co_await traffic->channels_changed_.wait_until(machine_clock(), time_point::max());
    }
}

}  // namespace cornelstall
