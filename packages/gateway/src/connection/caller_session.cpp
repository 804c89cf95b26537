#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using request_parser = http::request_parser<http::string_body>;

constexpr event_kind message_refused{1020, "caller_message_refused"};
constexpr event_kind accept_failed{2030, "accept_failed"};

/// Time for which data from the caller is read and discarded before its connection is closed. Closing a connection that
/// has unread data resets it, and the caller could lose the response.
constexpr milliseconds linger_timeout{300};
/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr milliseconds accept_retry_delay{50};
constexpr std::size_t linger_read_size = 4096;
/// A caller whose message was refused and that does not read the refusal within this time is cut off.
constexpr milliseconds refusal_write_timeout{1000};
/// Buffer space beyond the header limit, for body bytes and pipelined requests that arrive with the header.
constexpr std::size_t max_pipelined_bytes = 65536;

caller_limits limits_of(const gateway_state& state)
{
    return state.table_ ? state.table_->limits_ : caller_limits{};
}

/// Waits for the first byte of the next request.
/// @return false when the caller closed the connection or the idle time-out passed
task<bool> wait_for_request(gateway_state& state, std::shared_ptr<caller_socket> caller)
{
    if (caller->buffer_.size() > 0)
    {
        co_return true;
    }
    set_close_deadline(*caller, std::chrono::steady_clock::now() + limits_of(state).idle_timeout_);
    state.idle_callers_.insert(caller);
    boost::system::error_code failed;
    co_await caller->socket_.async_wait(tcp::socket::wait_read, redirect_error(use_awaitable, failed));
    state.idle_callers_.erase(caller);
    co_return !failed && caller->socket_.is_open();
}

/// The status code for a request that could not be read.
/// @return 0 when the connection failed and no response can be sent
unsigned error_status(const boost::system::error_code& failed, bool expired)
{
    if (expired)
    {
        return 408;
    }
    if (failed == http::error::header_limit)
    {
        return 431;
    }
    if (failed == http::error::body_limit)
    {
        return 413;
    }
    return failed.category() == http::make_error_code(http::error::bad_method).category() ? 400 : 0;
}

/// Counts and logs a request that could not be read, and sends an error response if the connection is still open.
task<> refuse_message(gateway_state& state, std::shared_ptr<caller_socket> caller, boost::system::error_code failed)
{
    const unsigned status = error_status(failed, caller->expired_);
    if (status == 0 || failed == http::error::end_of_stream || failed == http::error::partial_message)
    {
        co_return;
    }
    state.metrics_.count("gateway_messages_refused_total", {{"status", std::to_string(status)}});
    log_event(severity::info, message_refused, failed.message(), {{"status", std::to_string(status)}});
    if (!caller->socket_.is_open())
    {
        co_return;
    }
    http_response response(static_cast<http::status>(status), 11);
    response.keep_alive(false);
    response.prepare_payload();
    set_close_deadline(*caller, std::chrono::steady_clock::now() + refusal_write_timeout);
    co_await http::async_write(caller->socket_, response, redirect_error(use_awaitable, failed));
    clear_close_deadline(*caller);
}

/// Shuts down the sending side, discards what the caller still sends and closes the connection.
task<> lingering_close(std::shared_ptr<caller_socket> caller)
{
    if (!caller->socket_.is_open())
    {
        co_return;
    }
    boost::system::error_code failed;
    set_close_deadline(*caller, std::chrono::steady_clock::now() + linger_timeout);
    caller->socket_.shutdown(tcp::socket::shutdown_send, failed);
    while (!failed)
    {
        caller->buffer_.clear();
        const auto read = co_await caller->socket_.async_read_some(caller->buffer_.prepare(linger_read_size),
                                                                   redirect_error(use_awaitable, failed));
        caller->buffer_.commit(read);
    }
    close_socket(*caller);
}

/// Reads one request. Returns the parser by pointer because the parser can be neither moved nor copied.
/// @return null when no complete request was received; the caller has then been sent an error response if possible
task<std::unique_ptr<request_parser>> read_request(gateway_state& state, std::shared_ptr<caller_socket> caller)
{
    const auto limits = limits_of(state);
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes_.get()));
    parser->body_limit(limits.body_bytes_.get());
    set_close_deadline(*caller, std::chrono::steady_clock::now() + limits.header_timeout_);
    boost::system::error_code failed;
    co_await http::async_read_header(caller->socket_, caller->buffer_, *parser, redirect_error(use_awaitable, failed));
    if (!failed)
    {
        set_close_deadline(*caller, std::chrono::steady_clock::now() + limits.idle_timeout_);
        co_await http::async_read(caller->socket_, caller->buffer_, *parser, redirect_error(use_awaitable, failed));
    }
    if (failed)
    {
        co_await refuse_message(state, caller, failed);
        co_return nullptr;
    }
    clear_close_deadline(*caller);
    co_return parser;
}

task<> serve_caller(gateway_state& state, std::shared_ptr<caller_socket> caller,
                    std::unique_ptr<scoped_count> /*open_caller*/)
{
    set_tcp_options(caller->socket_);
    caller->buffer_.max_size(limits_of(state).header_bytes_.get() + max_pipelined_bytes);
    bool keep_open = true;
    while (keep_open)
    {
        const bool has_request = co_await wait_for_request(state, caller);
        if (!has_request)
        {
            break;
        }
        const auto arrived_at = std::chrono::steady_clock::now();
        const auto parser = co_await read_request(state, caller);
        if (!parser)
        {
            break;
        }
        keep_open = co_await serve_request(state, caller, parser->release(), arrived_at);
    }
    co_await lingering_close(caller);
}

/// Starts the task of an accepted connection, which counts as open from now on: a stop must not overlook a task that
/// has not run yet.
void start_caller(gateway_state& state, tcp::socket socket)
{
    spawn(state.executor_, "serve_caller",
          serve_caller(state, std::make_shared<caller_socket>(std::move(socket)),
                       std::make_unique<scoped_count>(state.open_callers_)));
}

/// True when bytes of a request have arrived that no task has read yet.
bool has_unread_bytes(const caller_socket& caller)
{
    boost::system::error_code failed;
    return caller.socket_.available(failed) > 0 && !failed;
}

}  // namespace

task<> accept_callers(gateway_state& state, tcp::acceptor& acceptor)
{
    while (acceptor.is_open())
    {
        boost::system::error_code failed;
        auto socket = co_await acceptor.async_accept(redirect_error(use_awaitable, failed));
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
        start_caller(state, std::move(socket));
    }
}

void accept_waiting_callers(gateway_state& state, tcp::acceptor& acceptor)
{
    boost::system::error_code failed;
    acceptor.non_blocking(true, failed);
    while (!failed)
    {
        tcp::socket socket(state.executor_);
        acceptor.accept(socket, failed);
        if (!failed)
        {
            start_caller(state, std::move(socket));
        }
    }
}

void close_idle_callers(gateway_state& state)
{
    const auto idle = state.idle_callers_;
    std::ranges::for_each(idle, [](const std::shared_ptr<caller_socket>& caller) {
        if (!has_unread_bytes(*caller))
        {
            close_socket(*caller);
        }
    });
}

}  // namespace cornelstall
