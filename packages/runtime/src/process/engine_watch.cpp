#include "cornelstall/runtime/process/engine_watch.hpp"

#include <algorithm>

#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/runtime/process/engine_memory.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr event_kind engine_unreachable{4021, "engine_unreachable"};
constexpr event_kind engine_ready{4022, "engine_ready"};
constexpr event_kind engine_draining{4023, "engine_draining"};
constexpr event_kind vm_list_failed{4024, "vm_list_failed"};
constexpr event_kind cache_gap{4025, "cache_index_gap"};

constexpr milliseconds vm_list_interval{2000};
constexpr int status_ok = 200;

/// Cursor of one engine's polling task.
struct watch_cursor
{
    int failed_reports_ = 0;
    std::uint64_t cache_sequence_ = 0;
    time_point next_load_;
    time_point next_cache_;
};

task<std::string> get(socket_address address, std::string path)
{
    http_call call;
    call.base_url_ = "http://" + address.get();
    call.path_ = std::move(path);
    call.timeout_ = milliseconds{1000};
    const auto answer = co_await make_call(std::move(call));
    if (answer.status_ != status_ok)
    {
        throw connection_error(247, "engine " + address.get() + " answered status " + std::to_string(answer.status_));
    }
    co_return answer.body_;
}

void set_condition(entry_state& state, engine_state& engine, engine_condition condition)
{
    if (engine.condition_ == condition)
    {
        return;
    }
    engine.condition_ = condition;
    const auto& kind = condition == engine_condition::ready      ? engine_ready
                       : condition == engine_condition::draining ? engine_draining
                                                                 : engine_unreachable;
    log_event(condition == engine_condition::ready ? severity::info : severity::warning, kind,
              "engine condition changed", {{"engine", engine.id_.get()}});
    if (condition != engine_condition::ready)
    {
        evict(state.owner_, engine.id_, refusal_reason::no_engine_ready, "the engine is leaving or unreachable");
    }
}

void apply_load(entry_state& state, engine_state& engine, engine_load load)
{
    const bool fresh = load.sequence_ != engine.load_.sequence_;
    const bool draining = load.draining_;
    engine.load_ = std::move(load);
    if (fresh)
    {
        engine.reported_at_ = clock::now();
        engine.tokens_sent_since_report_ = token_count{0};
        engine.requests_sent_since_report_ = 0;
    }
    if (draining)
    {
        set_condition(state, engine, engine_condition::draining);
    }
    else if (engine.condition_ == engine_condition::unreachable)
    {
        set_condition(state, engine, engine_condition::ready);
    }
}

task<> poll_load(entry_state& state, engine_id id, watch_cursor& cursor)
{
    const auto address = state.engines_.at(id).address_;
    bool failed = false;
    try
    {
        auto load = decode_engine_load(co_await get(address, "/v1/load"));
        if (const auto found = state.engines_.find(id); found != state.engines_.end())
        {
            apply_load(state, found->second, std::move(load));
        }
        cursor.failed_reports_ = 0;
    }
    catch (const connection_error&)
    {
        failed = true;
    }
    const auto found = state.engines_.find(id);
    if (failed && ++cursor.failed_reports_ >= max_failed_reports && found != state.engines_.end())
    {
        set_condition(state, found->second, engine_condition::unreachable);
    }
}

void apply_cache_event(engine_state& engine, const cache_event& event)
{
    if (event.stored_)
    {
        engine.cached_prefixes_[event.key_] = event.tokens_;
    }
    else
    {
        engine.cached_prefixes_.erase(event.key_);
    }
}

task<> reload_cache(entry_state& state, engine_id id, watch_cursor& cursor)
{
    const auto list = decode_cache_list(co_await get(state.engines_.at(id).address_, "/v1/cache"));
    const auto found = state.engines_.find(id);
    if (found == state.engines_.end())
    {
        co_return;
    }
    found->second.cached_prefixes_.clear();
    std::ranges::for_each(list.entries_,
                          [&found](const cache_event& event) { apply_cache_event(found->second, event); });
    found->second.cache_index_stale_ = false;
    cursor.cache_sequence_ = list.sequence_;
}

task<> poll_cache(entry_state& state, engine_id id, watch_cursor& cursor)
{
    try
    {
        if (state.engines_.at(id).cache_index_stale_)
        {
            co_await reload_cache(state, id, cursor);
            co_return;
        }
        const auto page = decode_cache_events(co_await get(
            state.engines_.at(id).address_, "/v1/cache-events?after=" + std::to_string(cursor.cache_sequence_)));
        const auto found = state.engines_.find(id);
        if (found == state.engines_.end())
        {
            co_return;
        }
        const bool gap =
            page.oldest_ > cursor.cache_sequence_ + 1 || cursor.cache_sequence_ + 1 + page.events_.size() < page.next_;
        if (gap)
        {
            state.metrics_.count("cornelstall_cache_gaps_total");
            log_event(severity::info, cache_gap, "cache events are missing; the index is read again",
                      {{"engine", id.get()}});
            found->second.cache_index_stale_ = true;
            co_return;
        }
        std::ranges::for_each(page.events_,
                              [&found](const cache_event& event) { apply_cache_event(found->second, event); });
        cursor.cache_sequence_ = page.next_ == 0 ? cursor.cache_sequence_ : page.next_ - 1;
    }
    catch (const connection_error&)
    {
        // The load report judges whether the engine is reachable.
    }
}

bool still_owned(const entry_state& state, const engine_id& id)
{
    return state.engines_.contains(id) && owns(state, id);
}

}  // namespace

namespace
{

/// Only a queue with waiting requests is checked between polls: a wake-up each 50 ms for each idle engine took a large
/// part of the control budget. New requests, releases and first parts look at the queue themselves.
milliseconds pause_before_next(const entry_state& state, const engine_id& engine, const watch_cursor& cursor)
{
    const auto owned = state.owner_.engines_.find(engine);
    if (owned != state.owner_.engines_.end() && queue_length(owned->second.queue_) > 0)
    {
        return queue_check_interval;
    }
    const auto next_poll = std::min(cursor.next_load_, cursor.next_cache_);
    return std::max(milliseconds{1}, remaining_until(next_poll, clock::now()));
}

/// Tells the other members of the data centre what this VM knows about an engine that it owns.
void publish_summary(entry_state& state, const engine_state& engine)
{
    if (state.loop_)
    {
        auto& view = state.loop_->view_;
        publish(view.engines_, view.members_, engine, clock::now());
    }
}

}  // namespace

task<> watch_engine(entry_state& state, engine_id engine)
{
    watch_cursor cursor;
    const auto memory = make_engine_reconciler(state, engine);
    spawn(state.executor_, "reconcile_engine", reconcile_engine(memory));
    while (still_owned(state, engine))
    {
        const auto now = clock::now();
        if (now >= cursor.next_load_)
        {
            cursor.next_load_ = now + load_poll_interval;
            co_await poll_load(state, engine, cursor);
        }
        if (state.engines_.contains(engine) && now >= cursor.next_cache_)
        {
            cursor.next_cache_ = now + cache_poll_interval;
            co_await poll_cache(state, engine, cursor);
        }
        if (const auto found = state.engines_.find(engine); found != state.engines_.end())
        {
            pump(state.owner_, found->second, state.metrics_);
            publish_summary(state, found->second);
        }
        co_await sleep_for(pause_before_next(state, engine, cursor));
    }
    memory->stopping_ = true;
    evict(state.owner_, engine, refusal_reason::no_engine_ready, "the engine has another owner now");
    state.owner_.engines_.erase(engine);
    state.watched_.erase(engine);
}

void watch_owned_engines(entry_state& state)
{
    for (const auto& [id, engine] : state.engines_)
    {
        if (!state.watched_.contains(id) && owns(state, id))
        {
            state.watched_.insert(id);
            state.owner_.engines_[id].queue_.engine_ = id;
            if (state.version_)
            {
                configure_queues(state.owner_, *state.version_->configuration_);
            }
            spawn(state.executor_, "watch_engine", watch_engine(state, id));
        }
    }
}

namespace
{

/// A server that answered that it drains stays out until the VM list has dropped it; a restarted one has another id.
void forget_recovered_servers(entry_state& state)
{
    std::erase_if(state.draining_servers_, [&state](const server_id& server) {
        return std::ranges::none_of(state.plain_servers_,
                                    [&server](const listed_vm& vm) { return vm.id_ == server.get(); });
    });
}

void use_seeds(entry_state& state, const vm_list& list)
{
    if (!state.loop_)
    {
        return;
    }
    std::vector<peer_seed> seeds;
    std::ranges::for_each(list.vms_, [&seeds](const listed_vm& vm) {
        if (vm.role_ == vm_role::entry && !vm.leaving_)
        {
            seeds.push_back({vm.peer_address_, vm.data_centre_});
        }
    });
    set_seeds(*state.loop_, std::move(seeds));
}

}  // namespace

void apply_vm_list(entry_state& state, const vm_list& list)
{
    std::set<engine_id> listed;
    state.plain_servers_.clear();
    std::ranges::for_each(list.vms_, [&](const listed_vm& vm) {
        if (vm.data_centre_ != state.settings_.data_centre_)
        {
            return;
        }
        if (vm.role_ == vm_role::plain)
        {
            state.plain_servers_.push_back(vm);
            return;
        }
        if (vm.role_ != vm_role::engine)
        {
            return;
        }
        const engine_id id{vm.id_};
        listed.insert(id);
        auto& engine = state.engines_[id];
        engine.id_ = id;
        engine.address_ = vm.address_;
        engine.data_centre_ = vm.data_centre_;
        engine.checks_fencing_ = vm.checks_fencing_;
        if (vm.leaving_)
        {
            set_condition(state, engine, engine_condition::draining);
        }
    });
    std::erase_if(state.engines_, [&listed](const auto& entry) { return !listed.contains(entry.first); });
    forget_recovered_servers(state);
    use_seeds(state, list);
    watch_owned_engines(state);
}

task<> follow_vm_list(entry_state& state)
{
    for (;;)
    {
        try
        {
            http_call call;
            call.base_url_ = state.settings_.vm_list_url_;
            call.path_ = "/vms";
            const auto answer = co_await make_call(std::move(call));
            apply_vm_list(state, decode_vm_list(answer.body_));
        }
        catch (const connection_error& problem)
        {
            state.metrics_.count("cornelstall_vm_list_failures_total");
            log_event(severity::warning, vm_list_failed, problem.what());
        }
        co_await sleep_for(vm_list_interval);
    }
}

}  // namespace cornelstall
