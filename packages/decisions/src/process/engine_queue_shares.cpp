#include <algorithm>
#include <cmath>

#include "process/engine_queue_detail.hpp"

namespace cornelstall::detail
{

namespace
{

/// Largest credit of a rank, in tokens. A rank that was due but had nothing that fits would otherwise return with a
/// burst that keeps the urgent rank waiting for long.
constexpr double largest_floor_credit = 131'072.0;
/// Share of urgent requests that may wait for a slot; below the twentieth that a 95th percentile leaves out.
constexpr double accepted_waits = 0.02;
/// Shorter waits come from the order of events, not from a lack of slots.
constexpr milliseconds noticeable_wait{2};
/// Seconds after which the learned reserve has fallen to 37% when urgent requests come rarely.
constexpr double reserve_time_constant = 300.0;

void grow_credits(engine_queue& queue, rank granted, double tokens)
{
    for (auto& [which, ranked] : queue.ranks_)
    {
        if (ranked.floor_ > 0.0 && (which == granted || has_work(ranked)))
        {
            ranked.floor_credit_ = std::min(ranked.floor_credit_ + ranked.floor_ * tokens, largest_floor_credit);
        }
    }
}

/// Forgets callers that have nothing waiting and no debt.
void forget_idle_callers(rank_queue& ranked)
{
    std::erase_if(ranked.callers_, [&](const auto& each) {
        return each.second.waiting_.empty() && each.second.virtual_finish_ <= ranked.virtual_time_;
    });
}

}  // namespace

bool has_work(const rank_queue& which) noexcept
{
    return std::ranges::any_of(which.callers_, [](const auto& each) { return !each.second.waiting_.empty(); });
}

bool is_due(const rank_queue& which) noexcept
{
    return which.floor_ > 0.0 && which.floor_credit_ > 0.0 && has_work(which);
}

double start_tag(const rank_queue& queue, const caller_share& share) noexcept
{
    // The tag of a caller that waits is not raised to the virtual time: it may be below because of a refund or because
    // its request did not fit, and is owed that service.
    return share.waiting_.empty() ? std::max(queue.virtual_time_, share.virtual_finish_) : share.virtual_finish_;
}

void charge(engine_queue& queue, grant& given, double start)
{
    rank_queue& ranked = queue.ranks_[given.entry_.rank_];
    const auto tokens = static_cast<double>(cost_of(given.entry_).get());
    given.charged_ = cost_of(given.entry_);
    ranked.virtual_time_ = std::max(ranked.virtual_time_, start);
    ranked.callers_[given.entry_.caller_].virtual_finish_ = start + tokens / weight_of(given.entry_);

    grow_credits(queue, given.entry_.rank_, tokens);
    if (ranked.floor_ > 0.0)
    {
        // The debt is at most one grant. A rank that was served beyond its floor while nobody else had work would
        // otherwise lose its floor for a long time.
        const double left = std::max(ranked.floor_credit_ - tokens, std::min(ranked.floor_credit_, -tokens));
        given.floor_spent_ = ranked.floor_credit_ - left;
        ranked.floor_credit_ = left;
    }
    forget_idle_callers(ranked);
}

void learn_reserve(engine_queue& queue, const engine_room& room, const grant& given)
{
    if (given.entry_.rank_ != rank::urgent)
    {
        return;
    }
    const auto since = std::chrono::duration<double>(given.granted_at_ - queue.reserve_learned_at_).count();
    queue.learned_reserve_ *= std::exp(-std::max(0.0, since) / reserve_time_constant);
    queue.reserve_learned_at_ = given.granted_at_;

    const bool waited = given.granted_at_ - given.entry_.arrived_ > noticeable_wait;
    // Beyond the largest reserve the urgent rank waits for itself.
    const int urgent_grants = room.slots_ - room.free_slots_ - room.other_grants_;
    if (waited && urgent_grants <= room.largest_reserve_)
    {
        // Starts from the fixed reserve, which is in force below it.
        queue.learned_reserve_ = std::max<double>(queue.learned_reserve_, room.urgent_slots_) + 1.0 - accepted_waits;
    }
    else
    {
        queue.learned_reserve_ -= accepted_waits;
    }
    queue.learned_reserve_ = std::clamp<double>(queue.learned_reserve_, 0.0, room.largest_reserve_);
}

void refund(engine_queue& queue, const grant& ended, token_count unused)
{
    if (unused <= token_count{0} || ended.charged_ <= token_count{0})
    {
        return;
    }
    rank_queue& ranked = queue.ranks_[ended.entry_.rank_];
    const auto tokens = static_cast<double>(unused.get());
    const double share_of_charge = tokens / static_cast<double>(ended.charged_.get());
    grow_credits(queue, ended.entry_.rank_, -tokens);
    ranked.floor_credit_ = std::min(ranked.floor_credit_ + ended.floor_spent_ * share_of_charge, largest_floor_credit);
    const auto caller = ranked.callers_.find(ended.entry_.caller_);
    if (caller != ranked.callers_.end())
    {
        caller->second.virtual_finish_ -= tokens / weight_of(ended.entry_);
    }
    forget_idle_callers(ranked);
}

}  // namespace cornelstall::detail
