#include <algorithm>
#include <utility>

#include "process/engine_queue_detail.hpp"

namespace cornelstall
{

namespace
{

/// A waiting request found in a queue.
struct selection
{
    rank rank_ = rank::urgent;
    caller_id caller_;
    std::size_t position_ = 0;
};

/// What one selection depends on.
struct selection_state
{
    const engine_state& engine_;
    detail::engine_room room_;
    detail::memory_hold hold_;
    time_point now_;
    std::vector<queue_entry*> passed_over_;  ///< entries before the selected one that do not fit in memory
};

/// Ranks that are below their floor, the one owed most first; then the other ranks, most urgent first.
std::vector<rank> order_of_ranks(const engine_queue& queue)
{
    std::vector<rank> order;
    std::ranges::copy_if(all_ranks, std::back_inserter(order), [&](rank which) {
        const auto found = queue.ranks_.find(which);
        return found != queue.ranks_.end() && detail::is_due(found->second);
    });
    std::ranges::stable_sort(order, std::ranges::greater{},
                             [&](rank which) { return queue.ranks_.at(which).floor_credit_; });
    const std::vector<rank> due = order;
    std::ranges::copy_if(all_ranks, std::back_inserter(order),
                         [&](rank which) { return std::ranges::find(due, which) == due.end(); });
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
            const detail::fit result =
                detail::fit_of(queue, state.engine_, state.room_, state.hold_, entry, state.now_);
            if (result == detail::fit::no_memory)
            {
                state.passed_over_.push_back(&entry);
            }
            return result == detail::fit::now;
        });
        if (found != waiting.end())
        {
            return selection{which, caller, static_cast<std::size_t>(found - waiting.begin())};
        }
    }
    return std::nullopt;
}

/// A request that may not wait and was accepted because it fits.
std::optional<selection> select_without_wait(const engine_queue& queue, const selection_state& state)
{
    for (const auto& [which, ranked] : queue.ranks_)
    {
        for (const auto& [caller, share] : ranked.callers_)
        {
            const auto found = std::ranges::find_if(share.waiting_, [&](const queue_entry& entry) {
                return entry.no_wait_ && detail::fit_of(queue, state.engine_, state.room_, state.hold_, entry,
                                                        state.now_) == detail::fit::now;
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

/// Counts the memory of @a selected for the entries that it passes over.
void note_passed_over(const engine_queue& queue, const selection& selected, const selection_state& state)
{
    const caller_share& share = queue.ranks_.at(selected.rank_).callers_.at(selected.caller_);
    const token_count memory = detail::memory_of(share.waiting_.at(selected.position_));
    std::ranges::for_each(state.passed_over_, [&](queue_entry* entry) { entry->passed_over_ += memory; });
}

grant give(engine_queue& queue, const engine_state& engine, const selection& selected, time_point now)
{
    rank_queue& ranked = queue.ranks_.at(selected.rank_);
    caller_share& share = ranked.callers_.at(selected.caller_);
    const double start = detail::start_tag(ranked, share);
    const auto place = share.waiting_.begin() + static_cast<std::ptrdiff_t>(selected.position_);

    grant given;
    given.entry_ = std::move(*place);
    given.granted_at_ = now;
    given.prefill_rate_ = engine.load_.prefill_rate_;
    given.decode_rate_ = engine.load_.decode_rate_;
    given.priority_ = detail::priority_of(queue, given.entry_);
    // Request and attempt make the id unique over owners, the number over repeated grants of one owner.
    given.id_ = grant_id{queue.engine_.get() + '/' + given.entry_.request_.get() + '/' +
                         std::to_string(given.entry_.attempt_.get()) + '/' + std::to_string(queue.next_grant_)};
    ++queue.next_grant_;
    // Charged before the removal, so that the rank still counts as having work.
    detail::charge(queue, given, start);
    share.waiting_.erase(place);
    queue.grants_.emplace(given.id_, given);
    return given;
}

}  // namespace

std::vector<grant> grant_next(engine_queue& queue, const engine_state& engine, time_point now)
{
    std::vector<grant> granted;
    while (engine.condition_ == engine_condition::ready && !engine.load_.draining_)
    {
        selection_state state{engine, detail::room_of(queue, engine), detail::hold_of(queue, engine, now), now, {}};
        const std::optional<selection> selected = select_next(queue, state);
        if (!selected)
        {
            break;
        }
        note_passed_over(queue, *selected, state);
        granted.push_back(give(queue, engine, *selected, now));
        detail::learn_reserve(queue, state.room_, granted.back());
    }
    return granted;
}

}  // namespace cornelstall
