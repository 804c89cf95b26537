#include "cornelstall/runtime/process/entry_process.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>

#include <pplx/threadpool.h>
#include <boost/asio/signal_set.hpp>

#include "cornelstall/declarations.hpp"
#include "cornelstall/runtime/connection/caller_listener.hpp"
#include "cornelstall/runtime/process/engine_watch.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"
#include "cornelstall/runtime/process/model_placement.hpp"
#include "cornelstall/runtime/process/peer_services.hpp"
#include "cornelstall/runtime/request/plain_request.hpp"
#include "cornelstall/runtime/version/configuration_follower.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr event_kind process_started{4001, "process_started"};
constexpr event_kind stop_begun{4002, "stop_begun"};
constexpr event_kind stop_finished{4003, "stop_finished"};
constexpr event_kind stop_overdue{4004, "stop_overdue"};
constexpr event_kind version_in_force{3008, "version_in_force"};
constexpr event_kind member_lost{4005, "member_died"};

constexpr milliseconds stop_check_interval{50};
/// The log may be down during a stop; outcomes that it has not taken by then are answered `unknown` to a repeat.
constexpr milliseconds last_records_limit{5000};
/// Members of each data centre that read the configuration from the log for all others.
constexpr std::size_t configuration_readers = 3;

/// The long-lived parts of one process, in the order of their construction.
struct process_parts
{
    entry_state& state_;
    std::shared_ptr<configuration_follower> follower_;
    std::shared_ptr<lease_keeper> lease_;
    std::shared_ptr<order_giver> orders_;
    std::shared_ptr<plain_call_context> plain_;
    std::unique_ptr<peer_server> peers_;
    std::unique_ptr<caller_listener> listener_;
};

std::string read_file(const std::string& path)
{
    const std::ifstream file(path);
    if (!path.empty() && !file)
    {
        throw process_error(403, "cannot read '" + path + "'; check the TLS settings");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

peer_credentials credentials_of(const settings& values)
{
    return {values.peer_key_, read_file(values.tls_.certificate_), read_file(values.tls_.private_key_),
            read_file(values.tls_.authority_)};
}

log_service log_of(const settings& values)
{
    log_service service;
    service.base_url_ = values.log_url_;
    return service;
}

void use_version(entry_state& state, std::shared_ptr<const configuration> active_config)
{
    state.version_ = make_version_state(std::move(active_config));
    configure_queues(state.owner_, *state.version_->configuration_);
    const auto version = state.version_->configuration_->version_;
    if (state.loop_)
    {
        state.loop_->view_.version_ = version;
    }
    log_event(severity::info, version_in_force, "a configuration came into force",
              {{"version", std::to_string(version.get())}});
}

/// True when this VM is among the members that read the log for the data centre.
bool is_reader(const entry_state& state)
{
    const auto readers = highest_scoring_members("configuration", owner_candidates(state), configuration_readers);
    return std::ranges::any_of(readers, [&state](const member& reader) { return reader.id_ == state.self_; });
}

std::shared_ptr<configuration_follower> make_follower(entry_state& state)
{
    auto follower = std::make_shared<configuration_follower>();
    follower->log_ = configuration_log_of(log_of(state.settings_));
    follower->parse_ = parse_declaration;
    follower->on_version_ = [&state](std::shared_ptr<const configuration> active_config) {
        use_version(state, std::move(active_config));
    };
    follower->is_elected_ = [&state] {
        return is_reader(state);
    };
    follower->snapshot_prefix_ = state.self_.get();
    follower->spread_ = std::uniform_real_distribution<double>(0.0, 1.0)(state.random_);
    return follower;
}

full_state to_whole_state(const fetch_configuration_reply& reply)
{
    return {reply.version_, log_offset{reply.version_.get()}, reply.declarations_};
}

member_settings member_settings_of(const entry_state& state)
{
    member_settings values;
    values.self_ = members_of(state).self_;
    std::ranges::transform(state.settings_.seeds_, std::back_inserter(values.seeds_), [](const socket_address& seed) {
        return peer_seed{seed, {}};
    });
    values.credentials_ = credentials_of(state.settings_);
    values.random_seed_ = std::random_device{}();
    return values;
}

member_events member_events_of(entry_state& state, const std::shared_ptr<configuration_follower>& follower)
{
    member_events events;
    events.member_died_ = [](const member& died) {
        log_event(severity::warning, member_lost, "a member is dead; its engines have new owners",
                  {{"member", died.id_.get()}});
    };
    events.live_members_changed_ = [&state] {
        // The loop's start may call this before the state knows the loop.
        if (state.loop_)
        {
            watch_owned_engines(state);
            announce_grants(state);
        }
    };
    events.adopt_configuration_ = [follower](fetch_configuration_reply reply) -> task<> {
        offer_state(*follower, to_whole_state(reply));
        co_return;
    };
    return events;
}

void connect_peers(process_parts& parts)
{
    auto& state = parts.state_;
    peer_handlers handlers;
    auto loop = start_member_loop(state.executor_, member_settings_of(state), member_events_of(state, parts.follower_),
                                  state.metrics_);
    state.loop_ = loop;
    state.access_ = make_fleet_access(state);
    add_member_handlers(handlers, loop);
    add_owner_handlers(handlers, state);
    parts.peers_ = std::make_unique<peer_server>(state.executor_, state.settings_.peer_listen_,
                                                 credentials_of(state.settings_), handlers, state.metrics_);
}

void connect_log(process_parts& parts)
{
    auto& state = parts.state_;
    if (state.settings_.log_url_.empty())
    {
        return;
    }
    spawn(state.executor_, "follow_configuration", follow_configuration(parts.follower_));
    spawn(state.executor_, "follow_claims", follow_claims(state.claims_));
    spawn(state.executor_, "append_claims", append_claims(state.claims_));
    parts.lease_ = make_lease_keeper(stream_of(log_of(state.settings_), "leases"), machine_clock(), state.metrics_,
                                     state.self_, state.settings_.data_centre_);
    spawn(state.executor_, "keep_lease", keep_lease(parts.lease_));
    parts.orders_ = make_order_giver(state, parts.lease_);
    spawn(state.executor_, "give_orders", give_orders(parts.orders_));
    spawn(state.executor_, "publish_demand", publish_demand(state));
}

std::shared_ptr<claim_keeper> make_claim_keeper(entry_state& state)
{
    auto keeper = std::make_shared<claim_keeper>();
    keeper->self_ = state.self_;
    keeper->log_ = stream_of(log_of(state.settings_), "claims");
    keeper->clock_ = machine_clock();
    keeper->metrics_ = &state.metrics_;
    return keeper;
}

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
            log_event(severity::error, stop_overdue, "requests are still open after the stop limit; waiting goes on");
        }
        co_await sleep_for(stop_check_interval);
    }
}

/// Lets the log take the last outcomes and the lease's release.
task<> finish_log_records(process_parts& parts)
{
    auto& state = parts.state_;
    if (!parts.lease_)
    {
        co_return;
    }
    parts.orders_->stopping_ = true;
    stop(*parts.lease_);
    stop(*state.claims_);
    const auto end = clock::now() + last_records_limit;
    while (!state.claims_->queue_.empty() && clock::now() < end)
    {
        co_await sleep_for(stop_check_interval);
    }
}

task<> run_until_signal(process_parts& parts, boost::asio::signal_set& signals)
{
    auto& state = parts.state_;
    co_await parts.listener_->open();
    log_event(severity::info, process_started, "accepting callers", {{"vm", state.self_.get()}});
    co_await signals.async_wait(boost::asio::use_awaitable);
    state.stopping_ = true;
    leave(*state.loop_, clock::now());
    log_event(severity::info, stop_begun, "not ready any more; open requests are finished");
    // The balancer goes on sending until it has seen /readyz change.
    co_await sleep_for(state.settings_.drain_grace_);
    state.closed_ = true;
    co_await finish_open_requests(state);
    co_await parts.listener_->close();
    co_await finish_log_records(parts);
    stop(*state.loop_);
    log_event(severity::info, stop_finished, "all requests are finished");
}

}  // namespace

int run_entry_process(const settings& values)
{
    start_logging(values.log_level_);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(values.worker_threads_));
    boost::asio::io_context context(1);
    entry_state state(values, context.get_executor());
    process_parts parts{state, make_follower(state), nullptr, nullptr, nullptr, nullptr, nullptr};
    state.claims_ = make_claim_keeper(state);
    parts.plain_ = make_plain_context(state);
    connect_peers(parts);
    connect_log(parts);
    parts.listener_ = std::make_unique<caller_listener>(
        state, [plain = parts.plain_](entry_state& served, std::shared_ptr<caller_connection> connection) {
            return serve_plain(served, plain, std::move(connection));
        });
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    std::exception_ptr failure;
    boost::asio::co_spawn(context, run_until_signal(parts, signals),
                          [&context, &failure](const std::exception_ptr& problem) {
                              failure = problem;
                              context.stop();
                          });
    if (!values.vm_list_url_.empty())
    {
        spawn(state.executor_, "follow_vm_list", follow_vm_list(state));
    }
    context.run();
    parts.peers_.reset();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return 0;
}

}  // namespace cornelstall
