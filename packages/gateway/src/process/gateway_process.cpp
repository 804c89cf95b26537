#include "cornelstall/gateway/process/gateway_process.hpp"

#include <csignal>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/connection/load_exchange.hpp"
#include "cornelstall/gateway/connection/status_listener.hpp"

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

/// The balancer takes a VM out after two misses, asked once a second; callers come until then.
constexpr milliseconds balancer_lag{2600};
/// Time that is kept back from the stop limit to end in an orderly way.
constexpr milliseconds stop_reserve{400};
constexpr milliseconds stop_check{50};

struct listeners
{
    tcp::acceptor callers_;
    tcp::acceptor ready_;
    tcp::acceptor metrics_;
};

status_response readiness(const gateway_state& state)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    return is_ready(state) ? status_response{ok, "ready\n"} : status_response{unavailable, "not ready\n"};
}

void update_gauges(gateway_state& state)
{
    state.metrics_.set("gateway_open_requests", {}, static_cast<double>(state.open_requests_));
    state.metrics_.set("gateway_servers", {}, static_cast<double>(state.directory_.servers_.size()));
    state.metrics_.set("gateway_peers", {}, static_cast<double>(state.peers_.peers_.size()));
    const double version = state.table_ ? static_cast<double>(state.table_->version_.get()) : 0.0;
    state.metrics_.set("gateway_routes_version", {}, version);
}

status_response metrics_page(gateway_state& state)
{
    update_gauges(state);
    return {200, state.metrics_.exposition()};
}

/// Waits until the open requests are finished and the memory reserved for them is released, at most until @a deadline.
task<> finish_requests(gateway_state& state, time_point deadline)
{
    while (state.open_requests_ + state.open_leases_ > 0 && clock::now() < deadline)
    {
        co_await sleep_for(stop_check);
    }
}

task<> stop_gateway(gateway_state& state, listeners& open)
{
    const auto begun = clock::now();
    state.stopping_ = true;
    log_event(severity::info, gateway_stopping, "not ready any more; open requests are finished",
              {{"open_requests", std::to_string(state.open_requests_)}});
    close_idle_callers(state);
    state.schedule_load_report_();
    co_await sleep_for(balancer_lag);
    boost::system::error_code ignored;  // closing an acceptor cannot fail in a way that matters now
    open.callers_.close(ignored);
    co_await finish_requests(state, begun + state.settings_.stop_limit_ - stop_reserve);
    log_event(severity::info, gateway_stopped, "stopped", {{"open_requests", std::to_string(state.open_requests_)}});
}

task<> run_until_stopped(gateway_state& state, listeners& open, const gateway_callbacks& feeds)
{
    boost::asio::signal_set signals(state.executor_, SIGTERM, SIGINT, SIGHUP);
    while (true)
    {
        const int signal = co_await signals.async_wait(boost::asio::use_awaitable);
        if (signal != SIGHUP)
        {
            break;
        }
        log_event(severity::info, gateway_reload, "the settings may have changed");
        feeds.on_reload_(state);
    }
    co_await stop_gateway(state, open);
}

std::string on_ip(const gateway_settings& settings, unsigned short port)
{
    return settings.ip_ + ":" + std::to_string(port);
}

}  // namespace

int run_gateway(const gateway_settings& settings, const gateway_protocol& protocol, const gateway_callbacks& feeds)
{
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    gateway_state state(settings, protocol, context.get_executor());
    listeners open{listen_on(state.executor_, settings.listen_.get()),
                   listen_on(state.executor_, settings.readiness_listen_.get()),
                   listen_on(state.executor_, on_ip(settings, settings.metrics_port_))};
    const auto load_at = parse_endpoint(on_ip(settings, settings.load_port_)).value();
    const auto exchange =
        std::make_shared<load_exchange>(state, boost::asio::ip::udp::endpoint(load_at.address(), load_at.port()));
    spawn(state.executor_, "receive_load", receive_load(exchange));
    spawn(state.executor_, "report_load", report_load(exchange));
    spawn(state.executor_, "accept_callers", accept_callers(state, open.callers_));
    spawn(state.executor_, "serve_ready",
          serve_status(state.executor_, open.ready_, [&state](const std::string&) { return readiness(state); }));
    spawn(state.executor_, "serve_metrics",
          serve_status(state.executor_, open.metrics_, [&state](const std::string&) { return metrics_page(state); }));
    feeds.on_start_(state);
    log_event(severity::info, gateway_started, "accepting callers",
              {{"vm", settings.name_}, {"listen", settings.listen_.get()}});
    std::exception_ptr failure;
    boost::asio::co_spawn(context, run_until_stopped(state, open, feeds),
                          [&context, &failure](const std::exception_ptr& problem) {
                              failure = problem;
                              context.stop();
                          });
    context.run();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return 0;
}

}  // namespace cornelstall
