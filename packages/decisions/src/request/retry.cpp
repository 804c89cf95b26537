#include "cornelstall/decisions/request/retry.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

void remove_before(std::deque<time_point>& times, time_point start)
{
    times.erase(times.begin(), std::ranges::lower_bound(times, start));
}

bool is_safe_to_retry(const retry_context& context) noexcept
{
    // A call that is not idempotent may be repeated only if the attempt did not run and no byte of it can have been
    // sent. An idempotent call is repeated unless the attempt has run.
    if (context.outcome_ == outcome::did_not_run)
    {
        return context.idempotent_ || !context.bytes_sent_;
    }
    return context.idempotent_ && context.outcome_ != outcome::ran;
}

}  // namespace

void record_request(retry_budget& budget, time_point now)
{
    remove_before(budget.requests_, now - retry_budget_window);
    budget.requests_.push_back(now);
}

bool try_consume_retry(retry_budget& budget, const retry_context& context, time_point now)
{
    if (!is_safe_to_retry(context) || context.remaining_ <= context.min_remaining_)
    {
        return false;
    }
    remove_before(budget.requests_, now - retry_budget_window);
    remove_before(budget.retries_, now - retry_budget_window);
    const auto allowed_by_ratio = static_cast<int>(static_cast<double>(budget.requests_.size()) * retry_budget_ratio);
    if (static_cast<int>(budget.retries_.size()) >= std::max(allowed_by_ratio, retry_budget_min_retries))
    {
        return false;
    }
    budget.retries_.push_back(now);
    return true;
}

}  // namespace cornelstall
