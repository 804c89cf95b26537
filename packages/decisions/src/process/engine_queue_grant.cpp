#include <algorithm>
#include <utility>

#include "process/engine_queue_detail.hpp"

namespace cornelstall
{

namespace
{

/// Position of a waiting request in the queue.
struct selection
{
    rank rank_ = rank::urgent;
    caller_id caller_;
    std::size_t position_ = 0;
};

/// Inputs and results of one selection.
struct selection_state
{
    const engine_state& engine_;
    detail::engine_capacity capacity_;
    detail::memory_hold hold_;
    time_point now_;
    std::vector<queue_entry*> bypassed_entries_;  ///< entries before the selected one that do not fit in memory
};

/// Ranks below their floor, largest floor credit first; then the other ranks, most urgent first.
std::vector<rank> order_of_ranks(const engine_queue& queue)
{
    std::vector<rank> order;
    std::ranges::copy_if(all_ranks, std::back_inserter(order), [&](rank which) {
        const auto found = queue.ranks_.find(which);
        return found != queue.ranks_.end() && detail::is_below_floor(found->second);
    });
    std::ranges::stable_sort(order, std::ranges::greater{},
                             [&](rank which) { return queue.ranks_.at(which).floor_credit_; });
    const std::vector<rank> below_floor = order;
    std::ranges::copy_if(all_ranks, std::back_inserter(order),
                         [&](rank which) { return std::ranges::find(below_floor, which) == below_floor.end(); });
    return order;
}

/// Callers with waiting requests, lowest start tag first.
std::vector<std::pair<double, caller_id>> order_of_callers(const rank_queue& ranked)
{
    std::vector<std::pair<double, caller_id>> order;
    for (const auto& [caller, share] : ranked.callers_)
    {
        if (!share.waiting_.empty())
        {
            order.emplace_back(detail::start_tag(ranked, share), caller);
        }
    }
    std::ranges::sort(order);
    return order;
}

std::optional<selection> select_in_rank(engine_queue& queue, rank which, selection_state& state)
{
    const auto ranked = queue.ranks_.find(which);
    if (ranked == queue.ranks_.end())
    {
        return std::nullopt;
    }
    for (const auto& [tag, caller] : order_of_callers(ranked->second))
    {
        std::deque<queue_entry>& waiting = ranked->second.callers_.at(caller).waiting_;
        const auto found = std::ranges::find_if(waiting, [&](queue_entry& entry) {
            const detail::admission result =
                detail::check_admission(queue, state.engine_, state.capacity_, state.hold_, entry, state.now_);
            if (result == detail::admission::no_memory)
            {
                state.bypassed_entries_.push_back(&entry);
            }
            return result == detail::admission::allowed;
        });
        if (found != waiting.end())
        {
            return selection{which, caller, static_cast<std::size_t>(found - waiting.begin())};
        }
    }
    return std::nullopt;
}

/// Selects a `no_wait_` request, which was accepted because it can be granted immediately.
std::optional<selection> select_without_wait(const engine_queue& queue, const selection_state& state)
{
    for (const auto& [which, ranked] : queue.ranks_)
    {
        for (const auto& [caller, share] : ranked.callers_)
        {
            const auto found = std::ranges::find_if(share.waiting_, [&](const queue_entry& entry) {
                return entry.no_wait_ && detail::check_admission(queue, state.engine_, state.capacity_, state.hold_,
                                                                 entry, state.now_) == detail::admission::allowed;
            });
            if (found != share.waiting_.end())
            {
                return selection{which, caller, static_cast<std::size_t>(found - share.waiting_.begin())};
            }
        }
    }
    return std::nullopt;
}

std::optional<selection> select_next(engine_queue& queue, selection_state& state)
{
    std::optional<selection> selected = select_without_wait(queue, state);
    for (const rank which : order_of_ranks(queue))
    {
        if (selected)
        {
            break;
        }
        selected = select_in_rank(queue, which, state);
    }
    return selected;
}

/// Adds the memory of @a selected to the bypassed memory of the entries before it that did not fit.
void record_bypass(const engine_queue& queue, const selection& selected, const selection_state& state)
{
    const caller_share& share = queue.ranks_.at(selected.rank_).callers_.at(selected.caller_);
    const token_count memory = detail::memory_of(share.waiting_.at(selected.position_));
    std::ranges::for_each(state.bypassed_entries_, [&](queue_entry* entry) { entry->bypassed_memory_ += memory; });
}

grant create_grant(engine_queue& queue, const engine_state& engine, const selection& selected, time_point now)
{
    rank_queue& ranked = queue.ranks_.at(selected.rank_);
    caller_share& share = ranked.callers_.at(selected.caller_);
    const double start = detail::start_tag(ranked, share);
    const auto position = share.waiting_.begin() + static_cast<std::ptrdiff_t>(selected.position_);

    grant created;
    created.entry_ = std::move(*position);
    created.granted_at_ = now;
    created.prefill_rate_ = engine.load_.prefill_rate_;
    created.decode_rate_ = engine.load_.decode_rate_;
    created.priority_ = detail::priority_of(queue, created.entry_);
    // Request and attempt make the id unique across owners; the counter distinguishes repeated grants by one owner.
    created.id_ = grant_id{queue.engine_.get() + '/' + created.entry_.request_.get() + '/' +
                           std::to_string(created.entry_.attempt_.get()) + '/' + std::to_string(queue.next_grant_)};
    ++queue.next_grant_;
    // Charged before the entry is removed, while the rank has work and the caller is not idle: `charge` removes idle
    // callers, and `share` is used below.
    detail::charge(queue, created, start);
    share.waiting_.erase(position);
    queue.grants_.emplace(created.id_, created);
    return created;
}

}  // namespace

std::vector<grant> grant_next(engine_queue& queue, const engine_state& engine, time_point now)
{
    std::vector<grant> granted;
    detail::remove_expired_holds(queue, now);
    while (engine.condition_ == engine_condition::ready && !engine.load_.draining_)
    {
        selection_state state{
            engine, detail::capacity_of(queue, engine, now), detail::find_memory_hold(queue, engine, now), now, {}};
        const std::optional<selection> selected = select_next(queue, state);
        if (!selected)
        {
            break;
        }
        record_bypass(queue, *selected, state);
        granted.push_back(create_grant(queue, engine, *selected, now));
        detail::update_adaptive_reserve(queue, state.capacity_, granted.back());
    }
    return granted;
}

}  // namespace cornelstall
