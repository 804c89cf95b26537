#include "cornelstall/decisions/request/admission.hpp"

#include <algorithm>
#include <tuple>

namespace cornelstall
{

namespace
{

/// Share of its fair share above which an organisation's requests come last.
constexpr double tolerated_share = 2.0;
/// Engines free places within some passes; a caller that returns sooner would most likely be refused again.
constexpr milliseconds short_return{300};
/// Engines without room for a long prompt are usually busy for this long with prefills of other long prompts.
constexpr milliseconds long_return{2500};
/// Each less urgent rank returns later by this share.
constexpr double later_per_rank = 0.15;
/// Each request that already waits adds this share, up to `max_waiting_share`.
constexpr double later_per_waiting = 0.1;
constexpr double max_waiting_share = 1.0;
/// The times are spread over this share of the shortest one.
constexpr double spread_share = 0.5;
constexpr int max_ranks = 4;
/// Callers that return later than this share of their time left ignore the time they were told.
constexpr int time_left_divisor = 3;

/// While the process is being stopped, an answer is expected to take this much longer than forecast.
constexpr int stop_forecast_factor = 2;
constexpr milliseconds stop_forecast_allowance{500};

bool is_overdue(const waiting_order& order, time_point now)
{
    return order.due_at_ <= now;
}

}  // namespace

admission_decision decide_admission(const admission_facts& facts)
{
    using enum admission_action;
    if (facts.caller_left_)
    {
        return {refuse, "caller_left"};
    }
    if (facts.time_left_.count() <= 0)
    {
        return {refuse, "time_limit_passed"};
    }
    if (facts.part_blocked_)
    {
        return {refuse, "prompt_part_blocked"};
    }
    if (facts.evacuated_)
    {
        return {refuse, evacuated_reason};
    }
    if (!facts.has_candidate_)
    {
        return {refuse, "no_server_left"};
    }
    if (!facts.ends_before_stop_ && !facts.reached_server_)
    {
        return {refuse, stopping_reason};
    }
    const bool hopeless = facts.waited_ + facts.fastest_first_token_ >= facts.abandon_after_;
    if (hopeless && !facts.reached_server_)
    {
        return {refuse, "too_late"};
    }
    if (facts.has_place_ && facts.starts_in_.count() > 0)
    {
        return {wait, "engines_busy"};
    }
    if (facts.has_place_ && !facts.more_urgent_waits_)
    {
        return {send, "place_found"};
    }
    const bool may_wait = facts.reached_server_ || (facts.waited_ < facts.max_wait_ && !facts.queue_full_);
    if (!may_wait)
    {
        return facts.has_place_ ? admission_decision{send, "waited_behind"} : admission_decision{refuse, "no_place"};
    }
    return {wait, facts.has_place_ ? "more_urgent_first" : "no_place"};
}

bool ends_before_stop(const stop_facts& facts)
{
    if (!facts.stop_in_ || facts.time_left_ <= *facts.stop_in_)
    {
        return true;
    }
    return facts.expected_ && *facts.expected_ * stop_forecast_factor + stop_forecast_allowance <= *facts.stop_in_;
}

bool goes_before(const waiting_order& left, const waiting_order& right, time_point now)
{
    const auto key = [now](const waiting_order& order) {
        return std::tuple(!is_overdue(order, now), order.priority_, order.share_of_fair_ > tolerated_share,
                          order.due_at_, -order.value_);
    };
    return key(left) < key(right);
}

milliseconds time_to_return(const return_facts& facts, double draw)
{
    const auto usual = std::max(facts.long_prompt_ ? long_return : short_return, facts.pause_.value_or(short_return));
    const double by_rank = later_per_rank * std::clamp(facts.priority_, 0, max_ranks);
    const double by_waiting = std::min(max_waiting_share, later_per_waiting * static_cast<double>(facts.waiting_));
    const double factor = 1.0 + by_rank + by_waiting + spread_share * draw;
    const milliseconds spread{static_cast<std::int64_t>(static_cast<double>(usual.count()) * factor)};
    return std::min(spread, std::max(milliseconds{1}, facts.time_left_ / time_left_divisor));
}

}  // namespace cornelstall
