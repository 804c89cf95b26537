#pragma once

#include <map>
#include <optional>

#include "cornelstall/decisions/connection/body_reading.hpp"

namespace cornelstall
{

/// @file
/// The memory of a process for the bodies of callers' requests, from the first byte that is read until the request has
/// ended. Answers the load of callers that send many large bodies at once or stop in the middle of them: what all
/// bodies hold together never exceeds the budget, and bodies of usual sizes always find room.

/// @brief What one body holds.
struct body_account
{
    byte_count held_;
    time_point progressed_at_;  ///< when it last got memory, which is when a block of it had arrived
    bool complete_ = false;     ///< the whole body has arrived; its request waits or is being sent
};

/// @brief The budget and what draws on it.
struct body_memory
{
    byte_count limit_{64ULL * 1024 * 1024};
    byte_count used_;
    body_id next_id_{1};
    std::map<body_id, body_account> bodies_;
};

/// @brief What a body that needs more memory has to do.
struct body_growth
{
    bool granted_ = false;
    /// A stalled body to refuse, so that its memory becomes free; nothing when the body may grow or none is stalled.
    std::optional<body_id> refuse_;
};

/// @brief Adds a body that holds nothing yet.
[[nodiscard]] body_id open_body(body_memory& memory, time_point now);

/// @brief Decides whether the body @a id gets @a bytes more. A part of the budget is kept for bodies that are small
/// with them. When the budget is used up, the incomplete body that holds most for the longest time without progress is
/// to be refused, and the asking body waits.
[[nodiscard]] body_growth grow_body(body_memory& memory, body_id id, byte_count bytes, time_point now);

/// @brief Records that the whole body has arrived.
void complete_body(body_memory& memory, body_id id);

/// @brief Returns the memory of the body @a id.
void close_body(body_memory& memory, body_id id);

}  // namespace cornelstall
