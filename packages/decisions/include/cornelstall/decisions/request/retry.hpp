#pragma once

#include <deque>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Share of recent requests that may be retried.
inline constexpr double retry_budget_ratio = 0.1;
/// @brief Retries allowed in each window however few requests there are.
inline constexpr int retry_budget_minimum = 3;
/// @brief The window over which requests and retries are counted.
inline constexpr milliseconds retry_budget_window{10'000};

/// @brief Requests and retries of the last window.
struct retry_budget
{
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

/// @brief What a retry decision depends on.
struct retry_context
{
    retry_reason reason_ = retry_reason::connect_failed;
    outcome outcome_ = outcome::unknown;
    bool idempotent_ = true;
    bool bytes_sent_ = false;  ///< a byte of the call may have reached a backend server
    milliseconds remaining_{0};
    milliseconds least_useful_{0};  ///< a retry that has less time than this cannot succeed
};

/// @brief Counts a new request in the budget.
void record_request(retry_budget& budget, time_point now);

/// @brief Whether to retry; takes a unit of @a budget when the answer is yes.
[[nodiscard]] bool try_consume_retry(retry_budget& budget, const retry_context& question, time_point now);

}  // namespace cornelstall
