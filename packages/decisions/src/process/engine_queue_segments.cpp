#include <algorithm>

#include "cornelstall/decisions/request/split_prompt.hpp"
#include "process/engine_queue_detail.hpp"

namespace cornelstall::detail
{

namespace
{

/// Longer than the longest backoff, so that the retry arrives while the capacity is still held.
constexpr milliseconds segment_hold_time = max_split_backoff + milliseconds{1000};

/// True when fair queuing would serve @a caller next. Without this condition a caller that has exceeded its share could
/// bypass the others by sending segments.
bool is_turn_of(const rank_queue& ranked, const caller_id& caller)
{
    const auto own = ranked.callers_.find(caller);
    const double tag = own == ranked.callers_.end() ? ranked.virtual_time_ : start_tag(ranked, own->second);
    return std::ranges::all_of(ranked.callers_, [&](const auto& each) {
        return each.second.waiting_.empty() || start_tag(ranked, each.second) >= tag;
    });
}

}  // namespace

bool has_segment_hold(const rank_queue& which) noexcept
{
    return which.segment_hold_ && !which.segment_hold_->granted_;
}

token_count segment_hold_memory(const rank_queue& which) noexcept
{
    return has_segment_hold(which) ? which.segment_hold_.value_or(segment_hold{}).memory_ : token_count{0};
}

void hold_for_segment(engine_queue& queue, const queue_entry& entry, bool granted, time_point now)
{
    rank_queue& ranked = queue.ranks_[entry.rank_];
    const bool own = ranked.segment_hold_ && ranked.segment_hold_->request_ == entry.request_;
    if (own || (!ranked.segment_hold_ && is_turn_of(ranked, entry.caller_)))
    {
        ranked.segment_hold_ =
            segment_hold{entry.request_, memory_of(entry), std::min(now + segment_hold_time, entry.deadline_), granted};
    }
}

void remove_expired_holds(engine_queue& queue, time_point now)
{
    std::ranges::for_each(queue.ranks_, [&](auto& each) {
        std::optional<segment_hold>& hold = each.second.segment_hold_;
        if (hold && hold->until_ <= now)
        {
            hold.reset();
        }
    });
}

void update_segment_hold(engine_queue& queue, const grant& segment_grant, bool used)
{
    const auto ranked = queue.ranks_.find(segment_grant.entry_.rank_);
    if (ranked == queue.ranks_.end())
    {
        return;
    }
    std::optional<segment_hold>& hold = ranked->second.segment_hold_;
    if (hold && hold->request_ == segment_grant.entry_.request_)
    {
        hold->granted_ = false;
        if (used)
        {
            hold.reset();
        }
    }
}

}  // namespace cornelstall::detail
