#include <algorithm>
#include <cmath>

#include "process/engine_queue_detail.hpp"

namespace cornelstall::detail
{

namespace
{

/// Upper bound of a rank's floor credit. A rank that was below its floor but had no request that fits would otherwise
/// return with a burst that delays the urgent rank for long.
constexpr double max_floor_credit_tokens = 131'072.0;
/// Target fraction of urgent requests that wait for a slot; below 5%, so that waits do not affect the 95th percentile.
constexpr double target_wait_ratio = 0.02;
/// Shorter waits result from the order of event processing, not from a lack of slots.
constexpr milliseconds min_counted_wait{2};
/// Time constant of the exponential decay of the adaptive reserve while urgent requests are rare.
constexpr double reserve_time_constant_s = 300.0;

void add_floor_credit(engine_queue& queue, rank granted, double tokens)
{
    for (auto& [which, ranked] : queue.ranks_)
    {
        if (ranked.floor_ > 0.0 && (which == granted || has_work(ranked)))
        {
            ranked.floor_credit_ = std::min(ranked.floor_credit_ + ranked.floor_ * tokens, max_floor_credit_tokens);
        }
    }
}

/// Removes callers without waiting requests whose finish tag is not ahead of the virtual time.
void remove_idle_callers(rank_queue& ranked)
{
    std::erase_if(ranked.callers_, [&](const auto& each) {
        return each.second.waiting_.empty() && each.second.virtual_finish_ <= ranked.virtual_time_;
    });
}

}  // namespace

bool has_work(const rank_queue& which) noexcept
{
    return has_segment_hold(which) ||
           std::ranges::any_of(which.callers_, [](const auto& each) { return !each.second.waiting_.empty(); });
}

bool is_below_floor(const rank_queue& which) noexcept
{
    return which.floor_ > 0.0 && which.floor_credit_ > 0.0 && has_work(which);
}

double start_tag(const rank_queue& queue, const caller_share& share) noexcept
{
    // The tag of a caller with waiting requests is not raised to the virtual time: when it lags because of a refund or
    // because a request did not fit, the caller is entitled to catch up.
    return share.waiting_.empty() ? std::max(queue.virtual_time_, share.virtual_finish_) : share.virtual_finish_;
}

void charge(engine_queue& queue, grant& granted, double start)
{
    rank_queue& ranked = queue.ranks_[granted.entry_.rank_];
    const auto tokens = static_cast<double>(cost_of(granted.entry_).get());
    granted.charged_tokens_ = cost_of(granted.entry_);
    ranked.virtual_time_ = std::max(ranked.virtual_time_, start);
    ranked.callers_[granted.entry_.caller_].virtual_finish_ = start + tokens / weight_of(granted.entry_);

    add_floor_credit(queue, granted.entry_.rank_, tokens);
    if (ranked.floor_ > 0.0)
    {
        // A grant does not make the credit more negative than its own cost. A rank that was served beyond its floor
        // while no other rank had work would otherwise lose its floor for a long time.
        const double remaining = std::max(ranked.floor_credit_ - tokens, std::min(ranked.floor_credit_, -tokens));
        granted.spent_floor_credit_ = ranked.floor_credit_ - remaining;
        ranked.floor_credit_ = remaining;
    }
    remove_idle_callers(ranked);
}

void update_adaptive_reserve(engine_queue& queue, const engine_capacity& capacity, const grant& granted)
{
    if (granted.entry_.rank_ != rank::urgent)
    {
        return;
    }
    const auto since = std::chrono::duration<double>(granted.granted_at_ - queue.reserve_updated_at_).count();
    queue.adaptive_reserve_ *= std::exp(-std::max(0.0, since) / reserve_time_constant_s);
    queue.reserve_updated_at_ = granted.granted_at_;

    const bool waited = granted.granted_at_ - granted.entry_.arrived_ > min_counted_wait;
    // With more urgent grants than the largest reserve, the urgent rank waits for its own requests, not for lower
    // ranks.
    const int urgent_grants = capacity.slots_ - capacity.free_slots_ - capacity.lower_rank_grants_;
    if (waited && urgent_grants <= capacity.max_adaptive_reserve_)
    {
        // Starts from the fixed reserve, which applies while the adaptive reserve is smaller.
        queue.adaptive_reserve_ =
            std::max<double>(queue.adaptive_reserve_, capacity.urgent_slots_) + 1.0 - target_wait_ratio;
    }
    else
    {
        queue.adaptive_reserve_ -= target_wait_ratio;
    }
    queue.adaptive_reserve_ = std::clamp<double>(queue.adaptive_reserve_, 0.0, capacity.max_adaptive_reserve_);
}

void refund(engine_queue& queue, const grant& ended, token_count unused)
{
    if (unused <= token_count{0} || ended.charged_tokens_ <= token_count{0})
    {
        return;
    }
    rank_queue& ranked = queue.ranks_[ended.entry_.rank_];
    const auto tokens = static_cast<double>(unused.get());
    const double share_of_charge = tokens / static_cast<double>(ended.charged_tokens_.get());
    add_floor_credit(queue, ended.entry_.rank_, -tokens);
    ranked.floor_credit_ =
        std::min(ranked.floor_credit_ + ended.spent_floor_credit_ * share_of_charge, max_floor_credit_tokens);
    const auto caller = ranked.callers_.find(ended.entry_.caller_);
    if (caller != ranked.callers_.end())
    {
        caller->second.virtual_finish_ -= tokens / weight_of(ended.entry_);
    }
    remove_idle_callers(ranked);
}

}  // namespace cornelstall::detail
