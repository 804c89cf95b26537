#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "connection/body_reader.hpp"
#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

constexpr event_kind message_refused{1020, "caller_message_refused"};
constexpr event_kind body_refused{1035, "caller_body_refused"};
constexpr event_kind accept_failed{2030, "accept_failed"};
constexpr event_kind connection_closed{2038, "caller_connection_closed"};

/// Time for which data from the caller is read and discarded before its connection is closed. Closing a connection that
/// has unread data resets it, and the caller could lose the response.
constexpr milliseconds linger_timeout{300};
/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr milliseconds accept_retry_delay{50};
constexpr std::size_t linger_read_size = 4096;
/// A caller whose message was refused and that does not read the refusal within this time is cut off.
constexpr milliseconds refusal_write_timeout{1000};
/// Buffer space beyond the header limit, for body bytes and pipelined requests that arrive with the header.
constexpr std::size_t max_pipelined_bytes = 8192;
/// A body that found no memory may come again after this time; stalled bodies are refused meanwhile.
constexpr milliseconds memory_retry_after{1000};

/// A request as it was received.
struct received_request
{
    http_request head_;
    std::shared_ptr<const request_body> body_;
};

/// Lists a caller's connection among those of the process for its own lifetime.
class listed_connection
{
  public:
    listed_connection(gateway_state& state, const std::shared_ptr<caller_socket>& caller)
        : state_(state), id_(open_connection(state.caller_connections_, std::chrono::steady_clock::now()))
    {
        state_.caller_sockets_[id_] = caller;
    }
    listed_connection(const listed_connection&) = delete;
    listed_connection& operator=(const listed_connection&) = delete;
    listed_connection(listed_connection&&) = delete;
    listed_connection& operator=(listed_connection&&) = delete;
    ~listed_connection()
    {
        close_connection(state_.caller_connections_, id_);
        state_.caller_sockets_.erase(id_);
    }

    void set_stage(connection_stage stage)
    {
        cornelstall::set_stage(state_.caller_connections_, id_, stage, std::chrono::steady_clock::now());
    }

  private:
    gateway_state& state_;
    connection_id id_;
};

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

/// Refuses a request for whose body there is no memory. It has not been passed on.
task<> refuse_for_memory(gateway_state& state, std::shared_ptr<caller_socket> caller, const http_request& head)
{
    const auto request = state.protocol_.read_request_(head);
    state.metrics_.count("gateway_bodies_refused_total");
    log_event(severity::info, body_refused, "the memory for bodies of requests is used up",
              {{"request", request.id_.get()}, {"used", std::to_string(state.body_memory_.used_.get())}});
    auto response = make_gateway_answer(state, request, 503, "memory_exhausted", memory_retry_after);
    response.keep_alive(false);
    response.prepare_payload();
    boost::system::error_code ignored;  // the connection is closed next
    set_close_deadline(*caller, std::chrono::steady_clock::now() + refusal_write_timeout);
    co_await http::async_write(caller->socket_, response, redirect_error(use_awaitable, ignored));
    clear_close_deadline(*caller);
}

/// Reads one request.
/// @return nothing when no complete request was received; the caller has then been sent an error response if possible
task<std::optional<received_request>> read_request(gateway_state& state, std::shared_ptr<caller_socket> caller)
{
    const auto limits = limits_of(state);
    caller_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes_.get()));
    parser.body_limit(limits.body_bytes_.get());
    set_close_deadline(*caller, std::chrono::steady_clock::now() + limits.header_timeout_);
    boost::system::error_code failed;
    co_await http::async_read_header(caller->socket_, caller->buffer_, parser, redirect_error(use_awaitable, failed));
    if (failed)
    {
        co_await refuse_message(state, caller, failed);
        co_return std::nullopt;
    }
    arriving_body arriving(state, caller);
    set_close_deadline(*caller, std::chrono::steady_clock::now() + limits.idle_timeout_);
    const bool complete = co_await read_body(arriving, parser);
    http_request head(std::move(parser.get().base()));
    if (!complete && arriving.refused_)
    {
        co_await refuse_for_memory(state, caller, head);
        co_return std::nullopt;
    }
    if (!complete)
    {
        co_await refuse_message(state, caller, arriving.failed_);
        co_return std::nullopt;
    }
    clear_close_deadline(*caller);
    co_return received_request{std::move(head), arriving.body_};
}

task<> serve_caller(gateway_state& state, std::shared_ptr<caller_socket> caller,
                    std::unique_ptr<listed_connection> listed)
{
    set_tcp_options(caller->socket_);
    caller->buffer_.max_size(limits_of(state).header_bytes_.get() + max_pipelined_bytes);
    bool keep_open = true;
    while (keep_open)
    {
        listed->set_stage(connection_stage::idle);
        const bool has_request = co_await wait_for_request(state, caller);
        if (!has_request)
        {
            break;
        }
        const auto arrived_at = std::chrono::steady_clock::now();
        listed->set_stage(connection_stage::reading);
        auto received = co_await read_request(state, caller);
        if (!received)
        {
            break;
        }
        listed->set_stage(connection_stage::serving);
        keep_open =
            co_await serve_request(state, caller, std::move(received->head_), std::move(received->body_), arrived_at);
    }
    co_await lingering_close(caller);
}

/// Closes a connection when more are open than the process may have.
void close_excess_connection(gateway_state& state)
{
    auto& all = state.caller_connections_;
    const auto chosen = choose_connection_to_close(all, std::chrono::steady_clock::now());
    if (!chosen)
    {
        return;
    }
    state.metrics_.count("gateway_connections_closed_total", {{"reason", "limit"}});
    log_event(severity::info, connection_closed, "a caller's connection is closed because too many are open",
              {{"open", std::to_string(all.connections_.size())}});
    if (const auto caller = state.caller_sockets_[*chosen].lock())
    {
        close_socket(*caller);
    }
    close_connection(all, *chosen);
}

/// Starts the task of an accepted connection, which counts as open from now on: a stop must not overlook a task that
/// has not run yet.
void start_caller(gateway_state& state, tcp::socket socket)
{
    const auto caller = std::make_shared<caller_socket>(std::move(socket));
    spawn(state.executor_, "serve_caller",
          serve_caller(state, caller, std::make_unique<listed_connection>(state, caller)));
    close_excess_connection(state);
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
