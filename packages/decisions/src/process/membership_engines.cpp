#include <algorithm>
#include <cmath>
#include <functional>
#include <string_view>
#include <tuple>
#include <utility>

#include "cornelstall/decisions/process/engine_summary.hpp"

namespace cornelstall
{

namespace
{

bool differs_by_more_than(double before, double after, double step)
{
    return std::abs(after - before) > step;
}

bool same_models(const std::vector<loaded_model>& left, const std::vector<loaded_model>& right)
{
    return std::ranges::equal(left, right, [](const loaded_model& one, const loaded_model& other) {
        return std::tie(one.name_, one.version_, one.adapters_) ==
               std::tie(other.name_, other.version_, other.adapters_);
    });
}

bool condition_differs(const engine_state& before, const engine_state& after)
{
    return before.condition_ != after.condition_ || before.address_ != after.address_ ||
           before.checks_fencing_ != after.checks_fencing_ || before.load_.draining_ != after.load_.draining_ ||
           before.load_.role_ != after.load_.role_ || before.load_.slots_ != after.load_.slots_ ||
           before.load_.kv_total_ != after.load_.kv_total_ || !same_models(before.load_.models_, after.load_.models_);
}

bool prefixes_differ(const engine_state& before, const engine_state& after)
{
    if (before.cache_index_stale_ != after.cache_index_stale_)
    {
        return true;
    }
    const auto removed = std::ranges::count_if(
        before.cached_prefixes_, [&](const auto& entry) { return !after.cached_prefixes_.contains(entry.first); });
    const auto kept = static_cast<std::ptrdiff_t>(before.cached_prefixes_.size()) - removed;
    const auto added = static_cast<std::ptrdiff_t>(after.cached_prefixes_.size()) - kept;
    return (removed + added) * 4 > static_cast<std::ptrdiff_t>(before.cached_prefixes_.size());
}

bool load_differs(const engine_state& before, const engine_state& after)
{
    const engine_load& old_load = before.load_;
    const engine_load& new_load = after.load_;
    const double slot_step = std::max(0, old_load.slots_) / 8.0;
    return differs_by_more_than(old_load.running_, new_load.running_, slot_step) ||
           differs_by_more_than(old_load.waiting_, new_load.waiting_, slot_step) ||
           differs_by_more_than(static_cast<double>(old_load.kv_used_.get()),
                                static_cast<double>(new_load.kv_used_.get()),
                                static_cast<double>(old_load.kv_total_.get()) / 10.0) ||
           differs_by_more_than(static_cast<double>(old_load.prefill_waiting_.get()),
                                static_cast<double>(new_load.prefill_waiting_.get()),
                                old_load.prefill_rate_.get() / 4.0) ||
           differs_by_more_than(old_load.prefill_rate_.get(), new_load.prefill_rate_.get(),
                                old_load.prefill_rate_.get() / 5.0) ||
           differs_by_more_than(old_load.decode_rate_.get(), new_load.decode_rate_.get(),
                                old_load.decode_rate_.get() / 5.0) ||
           before.long_prefills_ != after.long_prefills_ || prefixes_differ(before, after);
}

/// Keeps the longest prefixes, which save the most prefill work.
void limit_prefixes(engine_state& state)
{
    if (state.cached_prefixes_.size() <= max_summary_prefixes)
    {
        return;
    }
    std::vector<std::pair<prefix_key, token_count>> longest(state.cached_prefixes_.begin(),
                                                            state.cached_prefixes_.end());
    const auto end = longest.begin() + static_cast<std::ptrdiff_t>(max_summary_prefixes);
    std::ranges::partial_sort(longest, end, std::ranges::greater{},
                              [](const auto& entry) { return std::tuple(entry.second, entry.first); });
    state.cached_prefixes_ = {longest.begin(), end};
}

}  // namespace

engine_change classify_change(const engine_state& published, const engine_state& current)
{
    if (condition_differs(published, current))
    {
        return engine_change::condition;
    }
    return load_differs(published, current) ? engine_change::load : engine_change::none;
}

bool publish(engine_table& engines, membership_table& table, const engine_state& current, time_point now)
{
    engine_state state = current;
    limit_prefixes(state);
    const auto known = engines.find(state.id_);
    if (known != engines.end() && known->second.summary_.owner_ == table.self_.id_)
    {
        const auto age = now - known->second.received_at_;
        const engine_change change = classify_change(known->second.summary_.state_, state);
        const bool is_due = change == engine_change::condition || age >= engine_refresh_interval ||
                            (change == engine_change::load && age >= min_load_publish_interval);
        if (!is_due)
        {
            return false;
        }
    }
    const std::uint64_t revision = known == engines.end() ? 1 : known->second.summary_.revision_ + 1;
    const engine_id id = state.id_;
    engines[id] = {engine_summary{std::move(state), table.self_.id_, revision}, ++table.sequence_, now, vm_id{}};
    return true;
}

bool apply(engine_table& engines, membership_table& table, const std::vector<member>& live,
           const engine_summary& received, time_point now, const vm_id& source)
{
    const auto [known, is_new] = engines.try_emplace(received.state_.id_);
    engine_record& record = known->second;
    const std::optional<vm_id> owner = find_engine_owner(received.state_.id_, live);
    const auto precedence = [&](const engine_summary& summary) {
        return std::tuple(owner == summary.owner_, summary.revision_, std::string_view(summary.owner_.get()));
    };
    if (!is_new && precedence(received) <= precedence(record.summary_))
    {
        return false;
    }
    // The owner sends new engines and load changes to each member itself. If the receivers forwarded them too, the
    // traffic would grow quadratically with the number of members.
    const bool forward =
        !is_new && classify_change(record.summary_.state_, received.state_) == engine_change::condition;
    record.summary_ = received;
    record.received_at_ = now;
    record.source_peer_ = source;
    if (is_new)
    {
        // The lowest sequence: a peer that has acknowledged any sequence does not get this record from this VM, only a
        // peer that requests a full synchronization does.
        record.change_sequence_ = 1;
    }
    if (forward)
    {
        record.change_sequence_ = ++table.sequence_;
    }
    return true;
}

std::optional<vm_id> find_engine_owner(const engine_id& engine, const std::vector<member>& live)
{
    return rendezvous_owner(engine.get(), live);
}

}  // namespace cornelstall
