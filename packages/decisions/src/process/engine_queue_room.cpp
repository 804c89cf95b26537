#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "cornelstall/decisions/request/tokens.hpp"
#include "process/engine_queue_detail.hpp"

namespace cornelstall::detail
{

namespace
{

/// One slot in this many, and the same share of the memory, is kept for the urgent rank.
constexpr int urgent_reserve_divisor = 8;
constexpr double lowest_weight = 0.001;
/// Prefill granted ahead of need. The engine never idles between two grants, and little work has left the queue.
constexpr fractional_ms prefill_lead = 500.0;
/// A granted request may take this much longer than estimated. An overloaded queue grants its oldest requests, so
/// without a margin each small error of the estimate ends one after its limit.
constexpr double deadline_tolerance = 1.1;
/// Engine priorities of one rank: rank × this + prompt tokens.
constexpr int priorities_per_rank = 1 << 24;

fractional_ms time_of(double tokens, token_rate rate) noexcept
{
    if (tokens <= 0.0)
    {
        return 0.0;
    }
    return rate.get() > 0.0 ? tokens * 1000.0 / rate.get() : std::numeric_limits<double>::infinity();
}

bool has_slot(const engine_room& room, rank which, bool due) noexcept
{
    if (which == rank::urgent)
    {
        return room.free_slots_ > 0;
    }
    // A rank below its floor may take the last free slot: during an urgent overload the reserve is in use anyway, and a
    // free slot beyond it never appears. The bound on lower grants keeps the reserve out of their reach in total.
    return due ? room.free_slots_ > 0 && room.other_grants_ < room.slots_ - room.urgent_slots_
               : room.free_slots_ > room.kept_free_;
}

bool has_memory(const engine_room& room, const memory_hold& hold, const queue_entry& entry, bool due) noexcept
{
    const token_count needed = memory_of(entry);
    token_count available = room.free_memory_;
    const bool yields =
        hold.entry_ != nullptr && hold.entry_ != &entry && (hold.due_ || entry.rank_ >= hold.entry_->rank_);
    if (yields)
    {
        available -= hold.tokens_;
    }
    // A request larger than the memory below the reserve could otherwise never be granted.
    const bool keeps_reserve = entry.rank_ != rank::urgent && !due && needed <= room.memory_ - room.urgent_memory_;
    if (keeps_reserve)
    {
        available -= room.urgent_memory_;
    }
    return needed <= available;
}

}  // namespace

token_count memory_of(const queue_entry& entry) noexcept
{
    return entry.prompt_ + entry.max_output_;
}

token_count cost_of(const queue_entry& entry) noexcept
{
    return std::max(token_count{1}, entry.uncached_ + entry.max_output_);
}

double weight_of(const queue_entry& entry) noexcept
{
    return std::max(lowest_weight, entry.weight_.get());
}

bool is_long(const queue_entry& entry) noexcept
{
    return entry.uncached_ > long_prompt_threshold;
}

fractional_ms service_time(const engine_queue& queue, const engine_state& engine, const queue_entry& entry) noexcept
{
    const double output = static_cast<double>(entry.max_output_.get()) * queue.output_ratio_;
    return (time_of(static_cast<double>(entry.uncached_.get()), engine.load_.prefill_rate_) +
            time_of(output, engine.load_.decode_rate_)) /
           queue.speed_factor_;
}

rank served_as(const engine_queue& queue, rank which)
{
    const auto own = queue.ranks_.find(which);
    if (own == queue.ranks_.end() || !is_due(own->second))
    {
        return which;
    }
    // The ranks are in ascending order, and the own rank has work.
    return std::ranges::find_if(queue.ranks_, [](const auto& each) { return has_work(each.second); })->first;
}

int priority_of(const engine_queue& queue, const queue_entry& entry)
{
    const rank as = served_as(queue, entry.rank_);
    // The engine prefills by priority. Behind a saturated rank, or its shorter prompts, a grant for the floor would
    // never start, so it goes first in the most urgent rank that has to wait anyway.
    const auto prompt =
        as == entry.rank_ ? std::clamp<std::int64_t>(entry.prompt_.get(), 0, priorities_per_rank - 1) : 0;
    return static_cast<int>(as) * priorities_per_rank + static_cast<int>(prompt);
}

rank rank_of_priority(int priority) noexcept
{
    return static_cast<rank>(std::clamp(priority / priorities_per_rank, 0, static_cast<int>(all_ranks.size()) - 1));
}

bool can_finish(const engine_queue& queue, const engine_state& engine, const queue_entry& entry, time_point now,
                fractional_ms prefill_ahead) noexcept
{
    return entry.deadline_ > now && prefill_ahead + service_time(queue, engine, entry) * deadline_tolerance <=
                                        std::chrono::duration<double, std::milli>(entry.deadline_ - now).count();
}

milliseconds to_milliseconds(fractional_ms value) noexcept
{
    // Nearly three centuries; larger values would overflow when added to an instant.
    constexpr double largest = 9.0e12;
    return value < largest ? milliseconds{static_cast<std::int64_t>(std::ceil(value))} : milliseconds::max();
}

engine_room room_of(const engine_queue& queue, const engine_state& engine)
{
    engine_room room;
    room.slots_ = engine.load_.slots_;
    room.free_slots_ = room.slots_ - static_cast<int>(queue.grants_.size());
    room.urgent_slots_ = room.slots_ > 1 ? std::max(1, room.slots_ / urgent_reserve_divisor) : 0;
    room.memory_ = engine.load_.kv_total_;
    room.largest_reserve_ = room.slots_ * 3 / 4;
    room.kept_free_ = std::max(room.urgent_slots_, static_cast<int>(std::lround(queue.learned_reserve_)));
    room.free_memory_ = room.memory_;
    room.urgent_memory_ = token_count{room.memory_.get() / urgent_reserve_divisor};
    std::ranges::for_each(queue.grants_, [&](const auto& each) {
        const grant& held = each.second;
        room.free_memory_ -= memory_of(held.entry_);
        room.other_grants_ += held.entry_.rank_ == rank::urgent ? 0 : 1;
        if (held.prefilling_ && is_long(held.entry_))
        {
            ++room.long_prefills_;
        }
        else if (held.prefilling_)
        {
            room.prefill_.at(static_cast<std::size_t>(rank_of_priority(held.priority_))) += held.entry_.uncached_;
        }
    });
    return room;
}

memory_hold hold_of(const engine_queue& queue, const engine_state& engine, time_point now)
{
    const auto is_starved = [&](const queue_entry& entry) {
        const auto needed = static_cast<double>(memory_of(entry).get());
        return static_cast<double>(entry.passed_over_.get()) >= needed * queue.limits_.memory_patience_ &&
               can_finish(queue, engine, entry, now);
    };
    memory_hold hold;
    for (const auto& [which, ranked] : queue.ranks_)
    {
        const bool due = is_due(ranked);
        if (hold.entry_ != nullptr && (hold.due_ || !due))
        {
            continue;
        }
        for (const auto& [caller, share] : ranked.callers_)
        {
            const auto found = std::ranges::find_if(share.waiting_, is_starved);
            if (found != share.waiting_.end())
            {
                hold = memory_hold{&*found, memory_of(*found), due};
                break;
            }
        }
    }
    return hold;
}

fit fit_of(const engine_queue& queue, const engine_state& engine, const engine_room& room, const memory_hold& hold,
           const queue_entry& entry, time_point now)
{
    const auto ranked = queue.ranks_.find(entry.rank_);
    const bool due = ranked != queue.ranks_.end() && is_due(ranked->second);
    // A grant for the floor is prefilled before its new rank, so only more urgent ranks are ahead of it.
    const rank as = served_as(queue, entry.rank_);
    const auto ranks_ahead = static_cast<std::ptrdiff_t>(as) + (as == entry.rank_ ? 1 : 0);
    const token_count ahead =
        std::accumulate(room.prefill_.begin(), room.prefill_.begin() + ranks_ahead, token_count{0});
    const fractional_ms prefill_ahead =
        time_of(static_cast<double>(ahead.get()), engine.load_.prefill_rate_) / queue.speed_factor_;
    if (!can_finish(queue, engine, entry, now, prefill_ahead))
    {
        return fit::too_late;
    }
    if (prefill_ahead > prefill_lead)
    {
        return fit::prefill_busy;
    }
    if (!has_slot(room, entry.rank_, due))
    {
        return fit::no_slot;
    }
    if (is_long(entry) && room.long_prefills_ > 0)
    {
        return fit::long_prefill;
    }
    return has_memory(room, hold, entry, due) ? fit::now : fit::no_memory;
}

}  // namespace cornelstall::detail
