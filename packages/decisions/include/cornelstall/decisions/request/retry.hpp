#pragma once

#include <deque>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Retries allowed per request within the window.
inline constexpr double retry_budget_ratio = 0.1;
/// @brief Retries allowed within the window regardless of the number of requests.
inline constexpr int retry_budget_min_retries = 3;
/// @brief Length of the sliding window over which requests and retries are counted.
inline constexpr milliseconds retry_budget_window{10'000};

/// @brief Start times of the requests and retries within the current window, oldest first.
struct retry_budget
{
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

/// @brief Input of the retry decision for a failed attempt.
struct retry_context
{
    retry_reason reason_ = retry_reason::connect_failed;
    outcome outcome_ = outcome::unknown;
    bool idempotent_ = true;
    bool bytes_sent_ = false;        ///< at least one byte of the call may have reached a backend server
    milliseconds remaining_{0};      ///< until the deadline of the request
    milliseconds min_remaining_{0};  ///< a retry with no more time left than this could not succeed and is not made
};

/// @brief Adds a request to the budget.
void record_request(retry_budget& budget, time_point now);

/// @brief Decides whether to retry. A permitted retry is deducted from @a budget.
/// @return true when the retry is safe, has enough time left and is within the budget
[[nodiscard]] bool try_consume_retry(retry_budget& budget, const retry_context& context, time_point now);

}  // namespace cornelstall
