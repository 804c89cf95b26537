#pragma once

#include <algorithm>

#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

struct gateway_state;

/// @brief How late timers of the process's thread fired, over the last one to two seconds. A late loop handles signals,
/// requests and deadlines late by as much.
struct loop_lateness
{
    milliseconds current_{0};   ///< largest value of the second that has begun
    milliseconds previous_{0};  ///< largest value of the second before
    time_point second_begun_;
    time_point measured_at_ = std::chrono::steady_clock::now();  ///< when the last value was recorded
};

/// @brief Records that a timer fired at @a now and was due @a late before.
void record_lateness(loop_lateness& recorded, milliseconds late, time_point now);

/// @brief The largest recent value.
[[nodiscard]] inline milliseconds longest_lateness(const loop_lateness& recorded)
{
    return std::max(recorded.current_, recorded.previous_);
}

/// @brief The earliest time at which an event that is handled at @a now can have happened.
[[nodiscard]] time_point earliest_cause(const loop_lateness& recorded, time_point now);

/// @brief Measures the lateness of the loop until the process ends.
[[nodiscard]] task<> measure_lateness(gateway_state& state);

}  // namespace cornelstall
