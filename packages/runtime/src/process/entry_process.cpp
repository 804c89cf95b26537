#include "cornelstall/runtime/process/entry_process.hpp"

#include <csignal>
#include <optional>

#include <pplx/threadpool.h>
#include <boost/asio/signal_set.hpp>

#include "cornelstall/runtime/connection/caller_listener.hpp"
#include "cornelstall/runtime/process/engine_watch.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr event_kind process_started{4001, "process_started"};
constexpr event_kind stop_begun{4002, "stop_begun"};
constexpr event_kind stop_finished{4003, "stop_finished"};
constexpr event_kind stop_overdue{4004, "stop_overdue"};

constexpr milliseconds stop_check_interval{50};

/// Waits until no request is open. A stop never cuts off a request; one that takes long is reported.
task<> finish_open_requests(entry_state& state)
{
    const auto overdue_at = clock::now() + state.settings_.stop_limit_;
    bool reported = false;
    while (state.open_requests_ > 0)
    {
        if (!reported && clock::now() >= overdue_at)
        {
            reported = true;
            log_event(severity::error, stop_overdue,
                      "requests are still open after the stop limit; the process waits on",
                      {{"open", std::to_string(state.open_requests_)}});
        }
        co_await sleep_for(stop_check_interval);
    }
}

task<> run_until_signal(entry_state& state, caller_listener& listener, boost::asio::signal_set& signals)
{
    co_await listener.open();
    log_event(severity::info, process_started, "accepting callers",
              {{"vm", state.self_.get()}, {"listen", state.settings_.listen_.get()}});
    co_await signals.async_wait(boost::asio::use_awaitable);
    state.stopping_ = true;
    leave(state.membership_, clock::now());
    log_event(severity::info, stop_begun, "not ready any more; open requests are finished",
              {{"open", std::to_string(state.open_requests_)}});
    // The balancer goes on sending until it has seen /readyz change.
    co_await sleep_for(state.settings_.drain_grace_);
    state.closed_ = true;
    co_await finish_open_requests(state);
    co_await listener.close();
    log_event(severity::info, stop_finished, "all requests are finished");
}

}  // namespace

int run_entry_process(const settings& values)
{
    start_logging(values.log_level_);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(values.worker_threads_));
    boost::asio::io_context context(1);
    entry_state state(values, context.get_executor());
    caller_listener listener(state, {});
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    std::exception_ptr failure;
    boost::asio::co_spawn(context, run_until_signal(state, listener, signals),
                          [&context, &failure](const std::exception_ptr& problem) {
                              failure = problem;
                              context.stop();
                          });
    if (!values.vm_list_url_.empty())
    {
        spawn(state.executor_, "follow_vm_list", follow_vm_list(state));
    }
    context.run();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return 0;
}

}  // namespace cornelstall
