#include "cornelstall/gateway/process/gateway_process.hpp"

#include <algorithm>
#include <csignal>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/connection/load_exchange.hpp"
#include "cornelstall/gateway/connection/status_listener.hpp"
#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/version/follow_table.hpp"
#include "cornelstall/wire.hpp"

namespace cornelstall
{

namespace
{

using boost::asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr event_kind gateway_started{4050, "gateway_started"};
constexpr event_kind gateway_reload{4051, "gateway_reload"};
constexpr event_kind gateway_stopping{4052, "gateway_stopping"};
constexpr event_kind gateway_stopped{4053, "gateway_stopped"};
constexpr event_kind handler_failed{4055, "handler_failed"};
constexpr event_kind request_cut{4063, "request_cut"};

/// The load balancer checks readiness once a second and removes a VM after two failed checks. New connections arrive
/// until then.
constexpr milliseconds balancer_reaction_time{2600};
/// Part of the stop limit that is reserved for ending the process in an orderly way.
constexpr milliseconds stop_reserve{400};
constexpr milliseconds stop_check_interval{50};
/// Before that reserve, callers whose requests are still unanswered get their final answer.
constexpr milliseconds final_answers_time{500};
/// Even a stop that is late gives the callers this much time to receive their final answers.
constexpr milliseconds shortest_final_answers_time{150};
/// After the listening socket is closed, the first request of a new connection is awaited for this long.
constexpr milliseconds first_request_wait{500};
/// Bounds the lines about requests that the end of the process cuts off.
constexpr std::size_t max_cut_lines = 50;

/// Page of the metrics listener with the prompt parts that are suspected of crashing servers.
constexpr const char* prompt_parts_path = "/prompt-parts";

/// An I/O context whose suspended tasks can be destroyed before what they refer to.
struct gateway_context : boost::asio::io_context
{
    using execution_context::shutdown;
    using io_context::io_context;
};

/// Destroys the suspended tasks of a context at the end of its scope.
class task_guard
{
  public:
    explicit task_guard(gateway_context& context) : context_(context) {}
    task_guard(const task_guard&) = delete;
    task_guard& operator=(const task_guard&) = delete;
    task_guard(task_guard&&) = delete;
    task_guard& operator=(task_guard&&) = delete;
    ~task_guard()
    {
        context_.shutdown();
    }

  private:
    gateway_context& context_;
};

struct listeners
{
    tcp::acceptor callers_;
    tcp::acceptor readiness_;
    tcp::acceptor metrics_;
};

status_response readiness_response(const gateway_state& state)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    return is_ready(state) ? status_response{ok, "ready\n"} : status_response{unavailable, "not ready\n"};
}

void update_gauges(gateway_state& state)
{
    state.metrics_.set("gateway_open_requests", {}, static_cast<double>(state.open_requests_));
    state.metrics_.set("gateway_callers", {}, static_cast<double>(state.caller_connections_.connections_.size()));
    state.metrics_.set("gateway_body_bytes", {}, static_cast<double>(state.body_memory_.used_.get()));
    state.metrics_.set("gateway_answer_bytes", {}, static_cast<double>(state.answer_buffers_.used_.get()));
    state.metrics_.set("gateway_servers", {}, static_cast<double>(state.directory_.servers_.size()));
    state.metrics_.set("gateway_peers", {}, static_cast<double>(state.peers_.peers_.size()));
    state.metrics_.set("gateway_servers_limited", {}, static_cast<double>(state.directory_.limits_.limits_.size()));
    const auto blocked =
        std::ranges::count_if(state.suspect_parts_.parts_ | std::views::values, &suspect_part::blocked_);
    state.metrics_.set("gateway_prompt_parts_blocked", {}, static_cast<double>(blocked));
    state.metrics_.set("gateway_data_centres_evacuated", {},
                       static_cast<double>(count_evacuated(state.directory_.evacuations_)));
    const double version = state.table_ ? static_cast<double>(state.table_->version_.get()) : 0.0;
    state.metrics_.set("gateway_routes_version", {}, version);
}

/// The configuration that is in force here, for a VM that does not have it yet.
status_response document_response(gateway_state& state)
{
    constexpr unsigned unavailable = 503;
    const auto size = byte_count{state.table_document_.text_.size()};
    if (size == byte_count{0} || !take_transfer(state.document_transfers_, size, clock::now()))
    {
        return {unavailable, ""};
    }
    state.metrics_.count("gateway_configuration_transfers_total");
    return {200, encode_document(state.table_document_)};
}

status_response metrics_response(gateway_state& state, const std::string& target)
{
    if (target == configuration_path)
    {
        return document_response(state);
    }
    if (target == prompt_parts_path)
    {
        return {200, describe_parts(state)};
    }
    update_gauges(state);
    return {200, state.metrics_.exposition()};
}

/// Waits, at most until @a deadline, until the callers' connections have ended and the memory reservations are
/// released. Connections on which no request arrives within a short time are closed.
task<> finish_requests(gateway_state& state, time_point deadline)
{
    const auto close_idle_at = clock::now() + first_request_wait;
    bool requests_ended = false;
    while (state.caller_connections_.connections_.size() + state.open_leases_ > 0 &&
           (clock::now() < deadline || !requests_ended))
    {
        if (clock::now() >= state.end_requests_at_)
        {
            end_open_requests(state);
            deadline = requests_ended ? deadline : std::max(deadline, clock::now() + shortest_final_answers_time);
            requests_ended = true;
        }
        if (clock::now() >= close_idle_at)
        {
            close_idle_callers(state);
        }
        co_await sleep_for(stop_check_interval);
    }
}

std::string text_of(milliseconds value)
{
    return std::to_string(value.count());
}

/// Where a request stands, for the log.
const char* stage_of(const exchange& current)
{
    const auto connection = current.watch_ ? current.watch_->backend_connection_.lock() : nullptr;
    const bool at_server = connection != nullptr && connection->socket_.is_open();
    if (current.head_sent_)
    {
        return at_server ? "answering" : "between_servers";
    }
    return at_server ? "sent" : "waiting";
}

/// Logs the requests that the end of the process cuts off.
void log_cut_requests(const gateway_state& state)
{
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(state.open_exchanges_ | std::views::take(max_cut_lines), [now](const exchange* current) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - current->arrived_);
        log_event(severity::warning, request_cut, "the process ends before the request has its answer",
                  {{"request", current->parsed_request_.id_.get()},
                   {"stage", stage_of(*current)},
                   {"server", current->tried_.empty() ? "none" : current->send_.server_.get()},
                   {"sends", std::to_string(current->sends_)},
                   {"last_event", current->last_event_id_ ? std::to_string(*current->last_event_id_) : "none"},
                   {"age_ms", text_of(age)},
                   {"time_left_ms", text_of(remaining_time(*current))}});
    });
}

task<> stop_gateway(gateway_state& state, listeners& acceptors)
{
    // The stop limit counts from the signal, which a late loop handles late.
    const auto started_at = earliest_cause(state.loop_lateness_, clock::now());
    const auto end_at = started_at + state.settings_.stop_limit_ - stop_reserve;
    state.stopping_ = true;
    state.end_requests_at_ = end_at - final_answers_time;
    // Requests that wait for a place may be better off at another VM.
    notify_capacity_changed(state.wait_queues_);
    log_event(severity::info, gateway_stopping, "stop signal received; no longer ready, finishing the open requests",
              {{"open_requests", std::to_string(state.open_requests_)},
               {"open_callers", std::to_string(state.caller_connections_.connections_.size())},
               {"loop_late_ms", text_of(longest_lateness(state.loop_lateness_))}});
    state.schedule_load_report_();
    // Connections that are open stay so until then, because a request may be on its way on any of them. The answer to
    // it tells the caller to close.
    co_await sleep_for(balancer_reaction_time);
    accept_waiting_callers(state, acceptors.callers_);
    boost::system::error_code ignored;  // the process ends even if the acceptor cannot be closed
    acceptors.callers_.close(ignored);
    state.listens_until_ = clock::now();
    co_await finish_requests(state, end_at);
    const auto lasted = std::chrono::duration_cast<milliseconds>(clock::now() - started_at);
    log_cut_requests(state);
    log_event(severity::info, gateway_stopped, "gateway stopped",
              {{"open_requests", std::to_string(state.open_requests_)},
               {"open_callers", std::to_string(state.caller_connections_.connections_.size())},
               {"lasted_ms", text_of(lasted)},
               {"loop_late_ms", text_of(longest_lateness(state.loop_lateness_))}});
}

task<> run_until_stopped(gateway_state& state, listeners& acceptors, const gateway_callbacks& callbacks,
                         boost::asio::signal_set& signals)
{
    while (true)
    {
        const int signal = co_await signals.async_wait(boost::asio::use_awaitable);
        if (signal != SIGHUP)
        {
            break;
        }
        log_event(severity::info, gateway_reload, "SIGHUP received; reloading the settings");
        callbacks.on_reload_(state);
    }
    co_await stop_gateway(state, acceptors);
}

/// Runs the handlers of @a context until it is stopped. An exception that escapes a handler is logged, and the others
/// go on.
void run_handlers(boost::asio::io_context& context)
{
    while (!context.stopped())
    {
        try
        {
            context.run();
        }
        catch (const std::exception& problem)
        {
            log_event(severity::error, handler_failed, problem.what());
        }
    }
}

std::string own_address(const gateway_settings& settings, unsigned short port)
{
    return settings.ip_ + ":" + std::to_string(port);
}

}  // namespace

int run_gateway(const gateway_settings& settings, const gateway_protocol& protocol, const gateway_callbacks& callbacks)
{
    std::signal(SIGPIPE, SIG_IGN);
    gateway_context context(1);
    // Before any caller can connect: until then a signal ends the process at once.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    gateway_state state(settings, protocol, context.get_executor());
    listeners acceptors{listen_on(state.executor_, settings.listen_.get()),
                        listen_on(state.executor_, settings.readiness_listen_.get()),
                        listen_on(state.executor_, own_address(settings, settings.metrics_port_))};
    const auto load_endpoint = parse_endpoint(own_address(settings, settings.load_port_)).value();
    const auto exchange = std::make_shared<load_exchange>(
        state, boost::asio::ip::udp::endpoint(load_endpoint.address(), load_endpoint.port()));
    const task_guard tasks(context);
    spawn_restarting(state.executor_, "measure_lateness", [&state] { return measure_lateness(state); });
    spawn_restarting(state.executor_, "receive_load", [exchange] { return receive_load(exchange); });
    spawn_restarting(state.executor_, "report_load", [exchange] { return report_load(exchange); });
    spawn_restarting(state.executor_, "accept_callers",
                     [&state, &acceptors] { return accept_callers(state, acceptors.callers_); });
    spawn_restarting(state.executor_, "serve_ready", [&state, &acceptors] {
        return serve_status(state.executor_, acceptors.readiness_,
                            [&state](const std::string&) { return readiness_response(state); });
    });
    spawn_restarting(state.executor_, "serve_metrics", [&state, &acceptors] {
        return serve_status(state.executor_, acceptors.metrics_,
                            [&state](const std::string& target) { return metrics_response(state, target); });
    });
    callbacks.on_start_(state);
    log_event(severity::info, gateway_started, "accepting callers",
              {{"vm", settings.name_}, {"listen", settings.listen_.get()}});
    std::exception_ptr failure;
    boost::asio::co_spawn(context, run_until_stopped(state, acceptors, callbacks, signals),
                          [&context, &failure](const std::exception_ptr& problem) {
                              failure = problem;
                              context.stop();
                          });
    run_handlers(context);
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return 0;
}

}  // namespace cornelstall
