#pragma once

#include <optional>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @file
/// Load patterns: bursts in which no engine can take a request, callers that return together after a refusal, and
/// prompts that cannot be served in time any more. One function says why a request waits, is sent or is refused.

/// @brief Reason id of a request that is refused because its answer would not end before the process does.
inline constexpr const char* stopping_reason = "vm_stopping";

/// @brief Reason id of a request that only servers of evacuated data centres could take.
inline constexpr const char* evacuated_reason = "data_centre_evacuated";

/// @brief What happens next with a request that has no answer yet.
enum class admission_action
{
    send,
    wait,
    refuse
};

/// @brief The facts that decide on a request.
struct admission_facts
{
    milliseconds waited_{0};         ///< since its arrival
    milliseconds time_left_{0};      ///< until its deadline
    milliseconds max_wait_{0};       ///< longest wait for a place
    milliseconds abandon_after_{0};  ///< the caller abandons a request without an answer this long after its arrival
    milliseconds fastest_first_token_{0};  ///< time to the first token on idle engines
    bool ends_before_stop_ = true;         ///< see ends_before_stop()
    bool caller_left_ = false;
    bool part_blocked_ = false;       ///< servers crash on a part of the prompt
    bool evacuated_ = false;          ///< only servers of evacuated data centres could take the request
    bool reached_server_ = false;     ///< a server has had the request; it is continued rather than refused
    bool queue_full_ = false;         ///< no more requests may wait
    bool has_candidate_ = false;      ///< a server that has not been tried accepts work
    bool has_place_ = false;          ///< a plan is worth more than it costs other requests
    bool more_urgent_waits_ = false;  ///< a request of the same size that goes before this one waits, too
    milliseconds starts_in_{0};       ///< time until the engines of the plan are idle
};

/// @brief A decision and the id of its reason.
struct admission_decision
{
    admission_action action_ = admission_action::send;
    const char* reason_ = "";
};

/// @brief Decides whether a request is sent, waits or is refused.
[[nodiscard]] admission_decision decide_admission(const admission_facts& facts);

/// @brief What decides whether a request may still be sent while the process is being stopped.
struct stop_facts
{
    std::optional<milliseconds>
        stop_in_;                ///< time until open requests are ended; empty unless the process is being stopped
    milliseconds time_left_{0};  ///< until the request's deadline
    std::optional<milliseconds> expected_;  ///< forecast of the time to the end of the answer, if it may be repeated
};

/// @brief True when the answer ends before the process does: by its deadline, or by a forecast with room for errors if
/// the request may be repeated elsewhere should the forecast be wrong.
[[nodiscard]] bool ends_before_stop(const stop_facts& facts);

/// @brief The order of requests that wait for a place of the same service.
struct waiting_order
{
    int priority_ = 0;    ///< 0 is the most urgent
    time_point due_at_;   ///< when its first token is due
    double value_ = 0.0;  ///< as of request_value()
    bool long_prompt_ = false;
    double share_of_fair_ = 0.0;  ///< how much of an equal share its organisation uses
};

/// @brief True when @a left goes before @a right. The most urgent rank goes first, but a request that has waited beyond
/// its target goes before all that have not, so that no rank starves. Within a rank organisations that use more than
/// twice their share come last.
[[nodiscard]] bool goes_before(const waiting_order& left, const waiting_order& right, time_point now);

/// @brief What decides when a refused caller should return.
struct return_facts
{
    int priority_ = 0;                   ///< 0 is the most urgent
    bool long_prompt_ = false;           ///< engines stay busy with long prompts for seconds
    std::size_t waiting_ = 0;            ///< requests that wait for the same service at this VM
    milliseconds time_left_{0};          ///< of the caller
    std::optional<milliseconds> pause_;  ///< until the first server accepts work again, when none does
};

/// @brief The time after which a refused caller should return: more urgent ones first, later when more wait, and spread
/// at random, so that those that were refused together do not return together. At most a third of the time left.
/// @param draw random number, uniform in [0, 1)
[[nodiscard]] milliseconds time_to_return(const return_facts& facts, double draw);

}  // namespace cornelstall
