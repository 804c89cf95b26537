#pragma once

#include <string>
#include <vector>

#include "request/record.hpp"

namespace cornelstall::soak
{

/// @brief The users' bounds, as their sites state them.
struct promise_bounds
{
    milliseconds answer_slack_{1000};     ///< an answer comes this long after the route's time limit at the latest
    milliseconds route_limit_{6000};      ///< time limit of the routes
    milliseconds configuration_{2000};    ///< a version is in force this long after its acknowledgement
    milliseconds revocation_{5000};       ///< a key that was taken away works no longer after this
    milliseconds leaving_{2000};          ///< a server that leaves gets nothing more after this
    milliseconds loss_slack_{200};        ///< a request may cross the close of its connection for this long
    milliseconds stop_{8000};             ///< a stopped process ends within this time
    milliseconds early_in_stop_{3000};    ///< requests sent later than this after a stop began are never cut off by it
    milliseconds after_stop_{1000};       ///< a stop counts as planned work for this long after it should have ended
    milliseconds stable_{3000};           ///< bounds hold again this long after a disruption
    double repeat_ratio_ = 0.2;           ///< repeats allowed for each request
    double repeat_extra_ = 100.0;         ///< repeats allowed beyond the ratio
    milliseconds repeat_window_{10'000};  ///< over which repeats are counted
};

/// @brief A promise that was not kept.
struct finding
{
    std::string promise_;
    std::string subject_;  ///< request, server or VM
    std::string text_;

    friend auto operator<=>(const finding&, const finding&) = default;
};

/// @brief A request that must not run twice ran on one server only, and once.
[[nodiscard]] std::vector<finding> check_runs_once(const observations& seen);

/// @brief A request that was refused as not run was not run by any server.
[[nodiscard]] std::vector<finding> check_refusals_are_true(const observations& seen);

/// @brief A success is the whole answer of a server to this request, each event once and in order.
[[nodiscard]] std::vector<finding> check_answers_are_whole(const observations& seen, int events);

/// @brief Servers get only requests that callers sent, unchanged and without the caller's key.
[[nodiscard]] std::vector<finding> check_requests_are_asked(const observations& seen);

/// @brief Each request is answered or ended within the time limit of its route.
[[nodiscard]] std::vector<finding> check_answers_in_time(const observations& seen, const promise_bounds& bounds,
                                                         time_point now);

/// @brief A planned stop ends in time with exit code 0 and cuts off no request.
[[nodiscard]] std::vector<finding> check_stops(const observations& seen, const promise_bounds& bounds, time_point now);

/// @brief A planned stop ends in time with exit code 0.
[[nodiscard]] std::vector<finding> check_stop_ends(const observations& seen, const promise_bounds& bounds,
                                                   time_point now);

/// @brief Around a planned stop or reload no request that the VM has read ends without a complete answer.
///
/// The server broke off, the time limit, and work in the last sixth of the grace period on a request that was sent
/// early in the stop are excuses. A silent server is none.
[[nodiscard]] std::vector<finding> check_planned_stop(const observations& seen, const promise_bounds& bounds);

/// @brief The requests that were open at a VM around one of its planned stops or reloads.
[[nodiscard]] std::size_t count_requests_in_planned_work(const observations& seen, const promise_bounds& bounds);

/// @brief Keys that were taken away, routes that were added or removed and servers that leave are respected in time.
[[nodiscard]] std::vector<finding> check_changes(const observations& seen, const promise_bounds& bounds);

/// @brief Servers get no more repeats in any window than the budget allows.
[[nodiscard]] std::vector<finding> check_repeats(const observations& seen, const promise_bounds& bounds);

/// @brief The checks that hold when only planned work disturbs the VMs, each finding once.
[[nodiscard]] std::vector<finding> check_planned_work(const observations& seen, const promise_bounds& bounds,
                                                      int events, time_point now);

/// @brief All checks, each finding once.
[[nodiscard]] std::vector<finding> check_promises(const observations& seen, const promise_bounds& bounds, int events,
                                                  time_point now);

}  // namespace cornelstall::soak
