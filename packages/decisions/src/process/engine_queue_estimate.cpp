#include <algorithm>
#include <limits>

#include "process/engine_queue_detail.hpp"

namespace cornelstall
{

namespace detail
{

namespace
{

/// Resources needed by the requests that are served before another one.
struct pending_work
{
    double prefill_tokens_ = 0.0;
    double slot_ms_ = 0.0;
    double memory_ms_ = 0.0;  ///< tokens × milliseconds
    double memory_ = 0.0;
    int requests_ = 0;
};

/// Remaining fraction of a running grant. The estimate has no access to the current time; on average half is left.
constexpr double mean_remaining_fraction = 0.5;

/// Adds the resources that @a entry needs for @a fraction of its service; its memory counts in full.
void add_entry(pending_work& total, const engine_queue& queue, const engine_state& engine, const queue_entry& entry,
               double fraction = 1.0)
{
    const double time = service_time(queue, engine, entry) * fraction;
    const auto memory = static_cast<double>(memory_of(entry).get());
    total.prefill_tokens_ += static_cast<double>(entry.uncached_.get()) * fraction;
    total.slot_ms_ += time;
    total.memory_ms_ += memory * time;
    total.memory_ += memory;
    ++total.requests_;
}

/// Finish tag that @a entry would get in fair queuing if it were enqueued now.
double finish_tag(const rank_queue& ranked, const queue_entry& entry)
{
    const auto found = ranked.callers_.find(entry.caller_);
    const auto weighted_cost = static_cast<double>(cost_of(entry).get()) / weight_of(entry);
    if (found == ranked.callers_.end())
    {
        return ranked.virtual_time_ + weighted_cost;
    }
    const double start = start_tag(ranked, found->second);
    double tag = start + weighted_cost;
    std::ranges::for_each(found->second.waiting_, [&](const queue_entry& waiting) {
        tag += static_cast<double>(cost_of(waiting).get()) / weight_of(waiting);
    });
    return tag;
}

/// Adds the requests of the entry's own rank that fair queuing serves before it.
void add_same_rank(pending_work& total, const engine_queue& queue, const engine_state& engine, const rank_queue& ranked,
                   const queue_entry& entry)
{
    const double horizon = finish_tag(ranked, entry);
    for (const auto& [caller, share] : ranked.callers_)
    {
        double tag = share.virtual_finish_;
        for (const queue_entry& waiting : share.waiting_)
        {
            if (tag >= horizon)
            {
                break;
            }
            add_entry(total, queue, engine, waiting);
            tag += static_cast<double>(cost_of(waiting).get()) / weight_of(waiting);
        }
    }
}

/// Adds the grants. All of them use slots and memory, but only those of the same or a more urgent rank are prefilled
/// before @a entry.
void add_grants(pending_work& total, const engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    for (const auto& [id, held] : queue.grants_)
    {
        add_entry(total, queue, engine, held.entry_, mean_remaining_fraction);
        if (!held.prefilling_ || held.entry_.rank_ > entry.rank_)
        {
            total.prefill_tokens_ -= static_cast<double>(held.entry_.uncached_.get()) * mean_remaining_fraction;
        }
    }
}

/// Time until @a entry is granted if the work @a ahead is served first: the longest of the waits for prefill, a slot
/// and memory.
fractional_ms estimate_wait(const pending_work& ahead, const engine_queue& queue, const engine_state& engine,
                            const queue_entry& entry)
{
    const double slots = engine.load_.slots_ - (entry.rank_ == rank::urgent ? 0 : urgent_slots_of(engine));
    const auto memory = static_cast<double>(engine.load_.kv_total_.get());
    if (slots <= 0.0 || memory <= 0.0 || engine.load_.prefill_rate_.get() <= 0.0)
    {
        return std::numeric_limits<double>::infinity();
    }
    const double prefill = ahead.prefill_tokens_ * 1000.0 / (engine.load_.prefill_rate_.get() * queue.speed_factor_);
    const double slot = ahead.requests_ < slots ? 0.0 : ahead.slot_ms_ / slots;
    const bool memory_left = ahead.memory_ + static_cast<double>(memory_of(entry).get()) <= memory;
    return std::max({prefill, slot, memory_left ? 0.0 : ahead.memory_ms_ / memory});
}

/// Sum of the floors of the less urgent ranks that have work.
double sum_of_lower_floors(const engine_queue& queue, rank which)
{
    double sum = 0.0;
    for (const auto& [other, ranked] : queue.ranks_)
    {
        sum += other > which && has_work(ranked) ? ranked.floor_ : 0.0;
    }
    return std::min(sum, 0.9);  // keeps the estimate finite when the floors sum to 1
}

}  // namespace

finish_estimate estimate_wait_and_service(const engine_queue& queue, const engine_state& engine,
                                          const queue_entry& entry)
{
    pending_work grants_and_own_rank;
    add_grants(grants_and_own_rank, queue, engine, entry);
    double floor = 0.0;
    const auto ranked = queue.ranks_.find(entry.rank_);
    if (ranked != queue.ranks_.end())
    {
        add_same_rank(grants_and_own_rank, queue, engine, ranked->second, entry);
        floor = ranked->second.floor_;
    }
    pending_work with_more_urgent_ranks = grants_and_own_rank;
    for (const auto& [which, other] : queue.ranks_)
    {
        if (which >= entry.rank_)
        {
            break;
        }
        for (const auto& [caller, share] : other.callers_)
        {
            std::ranges::for_each(share.waiting_, [&](const queue_entry& waiting) {
                add_entry(with_more_urgent_ranks, queue, engine, waiting);
            });
        }
    }
    const double strict_priority_wait =
        estimate_wait(with_more_urgent_ranks, queue, engine, entry) / (1.0 - sum_of_lower_floors(queue, entry.rank_));
    const double floor_wait =
        floor > 0.0 ? estimate_wait(grants_and_own_rank, queue, engine, entry) / floor : strict_priority_wait;
    return {std::min(strict_priority_wait, floor_wait), service_time(queue, engine, entry)};
}

}  // namespace detail

milliseconds estimate_finish(const engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    const detail::finish_estimate parts = detail::estimate_wait_and_service(queue, engine, entry);
    return detail::to_milliseconds(parts.wait_ + parts.service_);
}

}  // namespace cornelstall
