#include <algorithm>
#include <limits>

#include "process/engine_queue_detail.hpp"

namespace cornelstall
{

namespace detail
{

namespace
{

/// Demand of requests that are served before another one.
struct demand
{
    double prefill_tokens_ = 0.0;
    double slot_ms_ = 0.0;
    double memory_ms_ = 0.0;  ///< tokens × milliseconds
    double memory_ = 0.0;
    int requests_ = 0;
};

/// The age of a grant is not known here; on average half of its time is over.
constexpr double remaining_part_of_grant = 0.5;

void add(demand& total, const engine_queue& queue, const engine_state& engine, const queue_entry& entry,
         double part = 1.0)
{
    const double time = service_time(queue, engine, entry) * part;
    const auto memory = static_cast<double>(memory_of(entry).get());
    total.prefill_tokens_ += static_cast<double>(entry.uncached_.get()) * part;
    total.slot_ms_ += time;
    total.memory_ms_ += memory * time;
    total.memory_ += memory;
    ++total.requests_;
}

/// Virtual time at which @a entry would end, were it enqueued now.
double finish_tag(const rank_queue& ranked, const queue_entry& entry)
{
    const auto found = ranked.callers_.find(entry.caller_);
    const auto own = static_cast<double>(cost_of(entry).get()) / weight_of(entry);
    if (found == ranked.callers_.end())
    {
        return ranked.virtual_time_ + own;
    }
    const double start = start_tag(ranked, found->second);
    double tag = start + own;
    std::ranges::for_each(found->second.waiting_, [&](const queue_entry& waiting) {
        tag += static_cast<double>(cost_of(waiting).get()) / weight_of(waiting);
    });
    return tag;
}

/// Adds the requests of the entry's own rank that fair queuing serves before it.
void add_same_rank(demand& total, const engine_queue& queue, const engine_state& engine, const rank_queue& ranked,
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
            add(total, queue, engine, waiting);
            tag += static_cast<double>(cost_of(waiting).get()) / weight_of(waiting);
        }
    }
}

/// Adds the grants: all of them hold slots and memory, but the engine prefills more urgent ranks first.
void add_grants(demand& total, const engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    for (const auto& [id, held] : queue.grants_)
    {
        add(total, queue, engine, held.entry_, remaining_part_of_grant);
        if (!held.prefilling_ || held.entry_.rank_ > entry.rank_)
        {
            total.prefill_tokens_ -= static_cast<double>(held.entry_.uncached_.get()) * remaining_part_of_grant;
        }
    }
}

/// Time until the entry is granted after @a ahead; the longest of the waits for prefill, a slot and memory.
fractional_ms wait_after(const demand& ahead, const engine_queue& queue, const engine_state& engine,
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

/// Sum of the floors of the lower ranks that have work.
double lower_floors(const engine_queue& queue, rank which)
{
    double sum = 0.0;
    for (const auto& [other, ranked] : queue.ranks_)
    {
        sum += other > which && has_work(ranked) ? ranked.floor_ : 0.0;
    }
    return std::min(sum, 0.9);  // the estimate stays finite when floors that sum to 1 were declared
}

}  // namespace

finish_estimate estimate_parts(const engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    demand own_rank;
    add_grants(own_rank, queue, engine, entry);
    double floor = 0.0;
    const auto ranked = queue.ranks_.find(entry.rank_);
    if (ranked != queue.ranks_.end())
    {
        add_same_rank(own_rank, queue, engine, ranked->second, entry);
        floor = ranked->second.floor_;
    }
    demand all = own_rank;
    for (const auto& [which, other] : queue.ranks_)
    {
        if (which >= entry.rank_)
        {
            break;
        }
        for (const auto& [caller, share] : other.callers_)
        {
            std::ranges::for_each(share.waiting_,
                                  [&](const queue_entry& waiting) { add(all, queue, engine, waiting); });
        }
    }
    const double behind_all = wait_after(all, queue, engine, entry) / (1.0 - lower_floors(queue, entry.rank_));
    const double by_floor = floor > 0.0 ? wait_after(own_rank, queue, engine, entry) / floor : behind_all;
    return {std::min(behind_all, by_floor), service_time(queue, engine, entry)};
}

}  // namespace detail

milliseconds estimate_finish(const engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    const detail::finish_estimate parts = detail::estimate_parts(queue, engine, entry);
    return detail::to_milliseconds(parts.wait_ + parts.service_);
}

}  // namespace cornelstall
