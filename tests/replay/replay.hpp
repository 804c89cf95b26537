#pragma once

#include "replay/trace.hpp"

namespace cornelstall::test
{

/// @brief Mechanisms that a replay can leave out, to show that the stated outcomes depend on them.
enum class left_out
{
    nothing,
    ranks,      ///< first in, first out
    floors,     ///< no rank has a floor
    limits,     ///< owners and entry VMs see limits that are an hour longer
    placement,  ///< engines in turn
    drains      ///< a draining engine takes new work and nobody notices
};

/// @brief A request and what became of it.
struct replayed_request
{
    traced_request request_;
    time_point deadline_;
    time_point first_part_ = time_point::max();
    time_point ended_ = time_point::max();
    bool answered_ = false;
    bool cut_off_ = false;  ///< ended at its limit after the grant
    int attempts_ = 0;
    int ends_ = 0;
};

struct replay_result
{
    std::vector<replayed_request> requests_;
    /// Longest time after the begin of a drain at which the engine was sent new work, by engine.
    std::map<std::string, milliseconds> work_after_drain_;
};

/// @brief Replays @a recorded against the decisions until every request has ended.
replay_result replay(const trace& recorded, left_out mechanism);

/// @brief The stated outcomes that the replay does not meet, each with the measured value.
std::vector<std::string> unmet_outcomes(const trace& recorded, left_out mechanism);

}  // namespace cornelstall::test
