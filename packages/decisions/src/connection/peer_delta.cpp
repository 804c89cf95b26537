#include "cornelstall/decisions/connection/peer_delta.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <variant>

namespace cornelstall
{

namespace
{

using record_ref =
    std::variant<const member*, const engine_summary*, const data_centre_summary*, const std::vector<model_demand>*>;

struct change
{
    std::uint64_t change_sequence_ = 0;
    record_ref record_;
};

// Estimates of the encoded size in bytes: the strings, and constants for numeric fields and field headers.
std::size_t size_of(const member* record)
{
    return record->id_.get().size() + record->peer_address_.get().size() + record->data_centre_.get().size() + 16;
}

std::size_t size_of(const engine_summary* record)
{
    const engine_state& state = record->state_;
    const std::size_t models = std::transform_reduce(
        state.load_.models_.begin(), state.load_.models_.end(), std::size_t{0}, std::plus{}, [](const auto& model) {
            return std::transform_reduce(model.adapters_.begin(), model.adapters_.end(),
                                         model.name_.get().size() + model.version_.get().size() + 6, std::plus{},
                                         [](const auto& adapter) { return adapter.get().size() + 2; });
        });
    return state.id_.get().size() + state.address_.get().size() + state.data_centre_.get().size() +
           record->owner_.get().size() + models + 14 * state.cached_prefixes_.size() + 80;
}

std::size_t size_of(const data_centre_summary* record)
{
    const std::size_t contacts = std::transform_reduce(
        record->contacts_.begin(), record->contacts_.end(), std::size_t{0}, std::plus{},
        [](const auto& contact) { return contact.id_.get().size() + contact.peer_address_.get().size() + 6; });
    const std::size_t capacity =
        std::transform_reduce(record->capacity_.begin(), record->capacity_.end(), std::size_t{0}, std::plus{},
                              [](const auto& model) { return model.model_.get().size() + 24; });
    return record->id_.get().size() + record->author_.get().size() + contacts + capacity + 16;
}

std::size_t size_of(const std::vector<model_demand>* demand)
{
    return std::transform_reduce(demand->begin(), demand->end(), std::size_t{0}, std::plus{},
                                 [](const auto& each) { return each.model_.get().size() + 22; });
}

/// Selects the changes that a peer may not have received.
struct change_filter
{
    vm_id peer_;
    std::uint64_t since_ = 0;
    bool include_own_records_ = false;  ///< first contact: include this VM's own records regardless of age
};

template <class Records, class ToRef>
void collect_changes(std::vector<change>& changes, const Records& records, const change_filter& filter, ToRef to_ref)
{
    for (const auto& [id, record] : records)
    {
        const bool is_own = record.change_sequence_ > 0 && record.source_peer_.empty();
        const bool received_from_peer = !is_own && record.source_peer_ == filter.peer_;
        if ((record.change_sequence_ > filter.since_ && !received_from_peer) || (filter.include_own_records_ && is_own))
        {
            changes.push_back({record.change_sequence_, to_ref(record)});
        }
    }
}

std::vector<change> unacknowledged_changes(const fleet_view& view, const change_filter& filter, exchange_scope scope)
{
    std::vector<change> changes;
    collect_changes(changes, view.data_centres_, filter,
                    [](const data_centre_record& record) { return record_ref{&record.summary_}; });
    if (scope == exchange_scope::own_data_centre)
    {
        collect_changes(changes, view.members_.members_, filter,
                        [](const member_record& record) { return record_ref{&record.member_}; });
        collect_changes(changes, view.engines_, filter,
                        [](const engine_record& record) { return record_ref{&record.summary_}; });
        const auto own = view.demand_.find(view.members_.self_.id_);
        if (own != view.demand_.end() && (own->second.change_sequence_ > filter.since_ || filter.include_own_records_))
        {
            changes.push_back({own->second.change_sequence_, record_ref{&own->second.demand_}});
        }
    }
    std::ranges::sort(changes, {}, &change::change_sequence_);
    return changes;
}

void append(exchange_delta& delta, const member* record)
{
    delta.members_.push_back(*record);
}

void append(exchange_delta& delta, const engine_summary* record)
{
    delta.engines_.push_back(*record);
}

void append(exchange_delta& delta, const data_centre_summary* record)
{
    delta.data_centres_.push_back(*record);
}

void append(exchange_delta& delta, const std::vector<model_demand>* record)
{
    delta.demand_ = *record;
}

void append_failed_state_of_peer(exchange_delta& delta, const fleet_view& view, const vm_id& peer)
{
    const auto known = view.members_.members_.find(peer);
    if (known == view.members_.members_.end() ||
        std::ranges::find(delta.members_, peer, &member::id_) != delta.members_.end())
    {
        return;
    }
    const member_state state = known->second.member_.state_;
    if (state == member_state::suspect || state == member_state::dead)
    {
        delta.members_.push_back(known->second.member_);
    }
}

void apply_members(fleet_view& view, const exchange_delta& delta, delta_result& result, time_point now)
{
    for (const member& update : delta.members_)
    {
        if (update.data_centre_ != view.members_.self_.data_centre_)
        {
            continue;
        }
        const bool was_present = is_present(view.members_, update.id_);
        if (apply(view.members_, update, now, delta.sender_))
        {
            result.members_changed_ = true;
            if (was_present && !is_present(view.members_, update.id_))
            {
                result.died_.push_back(update);
            }
        }
    }
}

void apply_engines(fleet_view& view, const exchange_delta& delta, delta_result& result, time_point now)
{
    const data_centre_id& own = view.members_.self_.data_centre_;
    const std::vector<member> live = live_members(view.members_, own);
    for (const engine_summary& update : delta.engines_)
    {
        result.engines_changed_ |=
            update.state_.data_centre_ == own && apply(view.engines_, view.members_, live, update, now, delta.sender_);
    }
}

void apply_data_centres(fleet_view& view, const exchange_delta& delta, delta_result& result, exchange_scope scope,
                        time_point now)
{
    const bool from_other_data_centre = scope == exchange_scope::other_data_centre;
    for (const data_centre_summary& update : delta.data_centres_)
    {
        // The own data centre's summary is accepted only from its own members. The summary of another data centre is
        // forwarded only by the members that received it from there, so that each member gets it from at most three
        // others.
        const bool is_own = update.id_ == view.members_.self_.data_centre_;
        if (!is_own || !from_other_data_centre)
        {
            result.data_centres_changed_ |=
                apply(view.data_centres_, view.members_, update, now, delta.sender_, from_other_data_centre);
        }
    }
}

}  // namespace

milliseconds exchange_interval(const exchange_timing& timing, std::size_t peers, double random)
{
    const double mean = static_cast<double>(timing.period_.count()) *
                        static_cast<double>(std::max<std::size_t>(1, peers)) /
                        static_cast<double>(std::max(1, timing.fan_out_));
    return milliseconds{std::llround(mean * (1.0 + timing.jitter_ * (2.0 * random - 1.0)))};
}

exchange_delta make_delta(const fleet_view& view, const vm_id& peer, const peer_progress& progress,
                          exchange_scope scope, const delta_limits& limits)
{
    exchange_delta delta;
    delta.sender_ = view.members_.self_.id_;
    delta.receiver_ = peer;
    delta.sequence_ = view.members_.sequence_;
    delta.acknowledged_ = progress.applied_sequence_;
    delta.version_ = view.version_;

    delta.full_sync_requested_ = progress.applied_sequence_ == 0 && progress.baseline_sequence_ == 0;

    const bool is_first_message = progress.acknowledged_ == 0;
    // The first message to another data centre contains all summaries: they are few, and it has no other source for
    // them.
    const std::uint64_t baseline = scope == exchange_scope::own_data_centre ? progress.baseline_sequence_ : 0;
    const change_filter filter{peer, is_first_message ? baseline : progress.acknowledged_, is_first_message};
    const std::size_t budget = is_first_message ? limits.max_first_bytes_ : limits.max_bytes_;
    std::size_t used = 0;
    std::uint64_t last_included = filter.since_;
    for (const change& each : unacknowledged_changes(view, filter, scope))
    {
        const std::size_t size = std::visit([](const auto* pointer) { return size_of(pointer); }, each.record_);
        if (used != 0 && used + size > budget)
        {
            delta.sequence_ = last_included;
            break;
        }
        std::visit([&](const auto* pointer) { append(delta, pointer); }, each.record_);
        used += size;
        last_included = each.change_sequence_;
    }
    append_failed_state_of_peer(delta, view, peer);
    if (scope == exchange_scope::other_data_centre && progress.acknowledged_ == 0)
    {
        delta.members_.push_back(view.members_.self_);
    }
    return delta;
}

exchange_scope scope_of(const fleet_view& view, const exchange_delta& delta)
{
    const bool contains_sender = std::ranges::any_of(delta.members_, [&](const member& each) {
        return each.id_ == delta.sender_ && each.data_centre_ == view.members_.self_.data_centre_;
    });
    return contains_sender || view.members_.members_.contains(delta.sender_) ? exchange_scope::own_data_centre
                                                                             : exchange_scope::other_data_centre;
}

delta_result apply_delta(fleet_view& view, peer_progress& progress, const exchange_delta& delta, exchange_scope scope,
                         time_point now)
{
    if (delta.acknowledged_ == 0)
    {
        progress.acknowledged_ = 0;
        progress.baseline_sequence_ = delta.full_sync_requested_ ? 0 : view.members_.sequence_;
    }
    else if (delta.acknowledged_ <= view.members_.sequence_)
    {
        progress.acknowledged_ = std::max(progress.acknowledged_, delta.acknowledged_);
    }
    delta_result result;
    if (scope == exchange_scope::own_data_centre)
    {
        apply_members(view, delta, result, now);
        apply_engines(view, delta, result, now);
        if (!delta.demand_.empty())
        {
            view.demand_[delta.sender_] = {delta.demand_, 0, now};
        }
    }
    apply_data_centres(view, delta, result, scope, now);
    progress.applied_sequence_ = std::max(progress.applied_sequence_, delta.sequence_);
    return result;
}

}  // namespace cornelstall
