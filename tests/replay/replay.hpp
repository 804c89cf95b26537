#pragma once

#include "replay/trace.hpp"

namespace cornelstall::test
{

/// @brief Mechanism that a replay disables, to verify that the expected outcomes depend on it.
enum class disabled_mechanism
{
    none,
    ranks,      ///< first in, first out: all requests have the same rank and caller
    floors,     ///< no rank has a guaranteed share
    limits,     ///< owners and entry VMs use deadlines that are one hour later
    placement,  ///< round robin
    drains      ///< a draining engine keeps accepting requests
};

/// @brief A request and its outcome.
struct replayed_request
{
    traced_request request_;
    time_point deadline_;
    time_point first_part_ = time_point::max();
    time_point ended_ = time_point::max();
    bool answered_ = false;
    bool cut_off_ = false;  ///< aborted at its deadline while running
    int attempts_ = 0;
    int end_count_ = 0;
};

struct replay_result
{
    std::vector<replayed_request> requests_;
    /// By engine: longest time between the start of a drain and a grant on the engine.
    std::map<std::string, milliseconds> work_after_drain_;
};

/// @brief Runs the requests of @a recorded through placement, queues and fake engines until every request has ended.
replay_result replay(const trace& recorded, disabled_mechanism mechanism);

/// @brief Replays @a recorded and returns the expected outcomes that are not met, each with the measured value.
std::vector<std::string> unmet_outcomes(const trace& recorded, disabled_mechanism mechanism);

}  // namespace cornelstall::test
