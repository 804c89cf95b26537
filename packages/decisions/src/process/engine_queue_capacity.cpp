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

/// The slots and the memory divided by this are reserved for the urgent rank.
constexpr int urgent_reserve_divisor = 8;
constexpr double min_weight = 0.001;
/// Limit of the prefill pending at the engine: enough that it does not idle between two grants, little enough that most
/// work stays in the queue, where ranks and shares apply.
constexpr fractional_ms max_prefill_backlog = 500.0;
/// Factor on the estimated service time when it is compared with the deadline. An overloaded queue grants its oldest
/// requests, which are close to their deadlines; without a margin, any underestimate would make a request late.
constexpr double service_time_margin = 1.1;
/// A long prompt in prefill does not count towards the prefill backlog, because the engine prefills short prompts
/// first. After this multiple of the prefill time that it needs it does count, because a steady stream of short prompts
/// would otherwise starve it.
constexpr double overdue_prefill_ratio = 4.0;
/// Number of engine priorities per rank: the priority is rank × this + prompt tokens.
constexpr int priorities_per_rank = 1 << 24;

fractional_ms time_at_rate(double tokens, token_rate rate) noexcept
{
    if (tokens <= 0.0)
    {
        return 0.0;
    }
    return rate.get() > 0.0 ? tokens * 1000.0 / rate.get() : std::numeric_limits<double>::infinity();
}

/// True when a long prompt has been in prefill for `overdue_prefill_ratio` times the time that it needs.
bool is_overdue(const engine_state& engine, const grant& held, time_point now) noexcept
{
    const auto age = std::chrono::duration<double, std::milli>(now - held.granted_at_).count();
    return age > overdue_prefill_ratio *
                     time_at_rate(static_cast<double>(held.entry_.uncached_.get()), engine.load_.prefill_rate_);
}

/// Capacity that is held for other requests and not available to an entry.
struct withheld_capacity
{
    token_count memory_;
    int slots_ = 0;
    bool long_prefill_ = false;
};

withheld_capacity withheld_from(const engine_queue& queue, const memory_hold& hold, const queue_entry& entry)
{
    withheld_capacity held;
    if (hold.entry_ != nullptr && hold.entry_ != &entry && (hold.below_floor_ || entry.rank_ >= hold.entry_->rank_))
    {
        held.memory_ += hold.tokens_;
    }
    // Holds for segments do not apply to other segments: two prompts that hold capacity on different engines would
    // block each other forever.
    if (entry.no_wait_)
    {
        return held;
    }
    for (const auto& [which, ranked] : queue.ranks_)
    {
        if (has_segment_hold(ranked) && (entry.rank_ >= which || is_below_floor(ranked)))
        {
            held.memory_ += segment_hold_memory(ranked);
            ++held.slots_;
            held.long_prefill_ = true;
        }
    }
    return held;
}

bool has_slot(const engine_capacity& capacity, const withheld_capacity& held, rank which, bool below_floor) noexcept
{
    if (which == rank::urgent)
    {
        return capacity.free_slots_ > held.slots_;
    }
    // A rank below its floor may take the last free slot: in an overload of the urgent rank the reserve is in use, so
    // that a free slot beyond it never appears. The limit on lower-rank grants still protects the reserve.
    return below_floor ? capacity.free_slots_ > held.slots_ &&
                             capacity.lower_rank_grants_ < capacity.slots_ - capacity.urgent_slots_
                       : capacity.free_slots_ > capacity.slots_left_free_ + held.slots_;
}

bool has_memory(const engine_capacity& capacity, const withheld_capacity& held, const queue_entry& entry,
                bool below_floor) noexcept
{
    const token_count needed = memory_of(entry);
    token_count available = capacity.free_memory_ - held.memory_;
    // The reserve does not apply to requests that do not fit beside it, which could otherwise never be granted.
    const bool keeps_reserve =
        entry.rank_ != rank::urgent && !below_floor && needed <= capacity.memory_ - capacity.urgent_memory_;
    if (keeps_reserve)
    {
        available -= capacity.urgent_memory_;
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
    return std::max(min_weight, entry.weight_.get());
}

bool is_long(const queue_entry& entry) noexcept
{
    return entry.uncached_ > long_prompt_threshold;
}

fractional_ms service_time(const engine_queue& queue, const engine_state& engine, const queue_entry& entry) noexcept
{
    const double output = static_cast<double>(entry.max_output_.get()) * queue.output_ratio_;
    return (time_at_rate(static_cast<double>(entry.uncached_.get()), engine.load_.prefill_rate_) +
            time_at_rate(output, engine.load_.decode_rate_)) /
           queue.speed_factor_;
}

int urgent_slots_of(const engine_state& engine) noexcept
{
    return engine.load_.slots_ > 1 ? std::max(1, engine.load_.slots_ / urgent_reserve_divisor) : 0;
}

rank effective_rank(const engine_queue& queue, rank which)
{
    const auto own = queue.ranks_.find(which);
    if (own == queue.ranks_.end() || !is_below_floor(own->second))
    {
        return which;
    }
    // The map is ordered by rank, and the search succeeds because the rank itself has work.
    return std::ranges::find_if(queue.ranks_, [](const auto& each) { return has_work(each.second); })->first;
}

int priority_of(const engine_queue& queue, const queue_entry& entry)
{
    const rank effective = effective_rank(queue, entry.rank_);
    // The engine prefills by priority. Behind a saturated rank or behind shorter prompts, a grant of a rank below its
    // floor would never start, so it comes first within the most urgent rank that has waiting requests.
    const auto prompt =
        effective == entry.rank_ ? std::clamp<std::int64_t>(entry.prompt_.get(), 0, priorities_per_rank - 1) : 0;
    return static_cast<int>(effective) * priorities_per_rank + static_cast<int>(prompt);
}

rank rank_of_priority(int priority) noexcept
{
    return static_cast<rank>(std::clamp(priority / priorities_per_rank, 0, static_cast<int>(all_ranks.size()) - 1));
}

bool can_finish(const engine_queue& queue, const engine_state& engine, const queue_entry& entry, time_point now,
                fractional_ms prefill_ahead) noexcept
{
    return entry.deadline_ > now && prefill_ahead + service_time(queue, engine, entry) * service_time_margin <=
                                        std::chrono::duration<double, std::milli>(entry.deadline_ - now).count();
}

milliseconds to_milliseconds(fractional_ms value) noexcept
{
    // Nearly 300 years; larger values would overflow when added to a time point.
    constexpr double largest = 9.0e12;
    return value < largest ? milliseconds{static_cast<std::int64_t>(std::ceil(value))} : milliseconds::max();
}

engine_capacity capacity_of(const engine_queue& queue, const engine_state& engine, time_point now)
{
    engine_capacity capacity;
    capacity.slots_ = engine.load_.slots_;
    capacity.free_slots_ = capacity.slots_ - static_cast<int>(queue.grants_.size());
    capacity.urgent_slots_ = urgent_slots_of(engine);
    capacity.memory_ = engine.load_.kv_total_;
    capacity.max_adaptive_reserve_ = capacity.slots_ * 3 / 4;
    capacity.slots_left_free_ =
        std::max(capacity.urgent_slots_, static_cast<int>(std::lround(queue.adaptive_reserve_)));
    capacity.free_memory_ = capacity.memory_;
    capacity.urgent_memory_ = token_count{capacity.memory_.get() / urgent_reserve_divisor};
    std::ranges::for_each(queue.grants_, [&](const auto& each) {
        const grant& held = each.second;
        capacity.free_memory_ -= memory_of(held.entry_);
        capacity.lower_rank_grants_ += held.entry_.rank_ == rank::urgent ? 0 : 1;
        capacity.long_prefills_ += held.prefilling_ && is_long(held.entry_) ? 1 : 0;
        if (held.prefilling_ && (!is_long(held.entry_) || is_overdue(engine, held, now)))
        {
            capacity.pending_prefill_.at(static_cast<std::size_t>(rank_of_priority(held.priority_))) +=
                held.entry_.uncached_;
        }
    });
    return capacity;
}

memory_hold find_memory_hold(const engine_queue& queue, const engine_state& engine, time_point now)
{
    const auto is_starved = [&](const queue_entry& entry) {
        const auto needed = static_cast<double>(memory_of(entry).get());
        return static_cast<double>(entry.bypassed_memory_.get()) >= needed * queue.limits_.max_bypass_ratio_ &&
               can_finish(queue, engine, entry, now);
    };
    memory_hold hold;
    for (const auto& [which, ranked] : queue.ranks_)
    {
        const bool below_floor = is_below_floor(ranked);
        if (hold.entry_ != nullptr && (hold.below_floor_ || !below_floor))
        {
            continue;
        }
        for (const auto& [caller, share] : ranked.callers_)
        {
            const auto found = std::ranges::find_if(share.waiting_, is_starved);
            if (found != share.waiting_.end())
            {
                hold = memory_hold{&*found, memory_of(*found), below_floor};
                break;
            }
        }
    }
    return hold;
}

admission check_admission(const engine_queue& queue, const engine_state& engine, const engine_capacity& capacity,
                          const memory_hold& hold, const queue_entry& entry, time_point now)
{
    const auto ranked = queue.ranks_.find(entry.rank_);
    const bool below_floor = ranked != queue.ranks_.end() && is_below_floor(ranked->second);
    // A grant of a rank below its floor is prefilled first within its effective rank, so only more urgent ranks are
    // ahead.
    const rank effective = effective_rank(queue, entry.rank_);
    const auto ranks_ahead = static_cast<std::ptrdiff_t>(effective) + (effective == entry.rank_ ? 1 : 0);
    const token_count ahead = std::accumulate(capacity.pending_prefill_.begin(),
                                              capacity.pending_prefill_.begin() + ranks_ahead, token_count{0});
    const fractional_ms prefill_ahead =
        time_at_rate(static_cast<double>(ahead.get()), engine.load_.prefill_rate_) / queue.speed_factor_;
    if (!can_finish(queue, engine, entry, now, prefill_ahead))
    {
        return admission::too_late;
    }
    if (prefill_ahead > max_prefill_backlog)
    {
        return admission::prefill_busy;
    }
    const withheld_capacity held = withheld_from(queue, hold, entry);
    if (!has_slot(capacity, held, entry.rank_, below_floor))
    {
        return admission::no_slot;
    }
    if (is_long(entry) && (capacity.long_prefills_ > 0 || held.long_prefill_))
    {
        return admission::long_prefill;
    }
    return has_memory(capacity, held, entry, below_floor) ? admission::allowed : admission::no_memory;
}

}  // namespace cornelstall::detail
