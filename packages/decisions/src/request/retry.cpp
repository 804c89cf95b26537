#include "cornelstall/decisions/request/retry.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

void forget_before(std::deque<time_point>& times, time_point start)
{
    times.erase(times.begin(), std::ranges::lower_bound(times, start));
}

bool is_allowed_again(const retry_context& question) noexcept
{
    // An attempt that did not run can be repeated; otherwise the call must be idempotent.
    if (question.outcome_ == outcome::did_not_run)
    {
        return question.idempotent_ || !question.bytes_sent_;
    }
    return question.idempotent_ && question.outcome_ != outcome::ran;
}

}  // namespace

void record_request(retry_budget& budget, time_point now)
{
    forget_before(budget.requests_, now - retry_budget_window);
    budget.requests_.push_back(now);
}

bool try_consume_retry(retry_budget& budget, const retry_context& question, time_point now)
{
    if (!is_allowed_again(question) || question.remaining_ <= question.least_useful_)
    {
        return false;
    }
    forget_before(budget.requests_, now - retry_budget_window);
    forget_before(budget.retries_, now - retry_budget_window);
    const auto earned = static_cast<int>(static_cast<double>(budget.requests_.size()) * retry_budget_ratio);
    if (static_cast<int>(budget.retries_.size()) >= std::max(earned, retry_budget_minimum))
    {
        return false;
    }
    budget.retries_.push_back(now);
    return true;
}

}  // namespace cornelstall
