#pragma once

#include <string>

#include "process/deployment.hpp"

/// @file
/// A gateway process with lowered limits and a crowd of callers that exceed them.

namespace cornelstall::testing
{

/// @brief Limits in the settings file of the gateway; they are also the bounds that the tests check.
constexpr std::size_t memory_mb = 96;
constexpr std::size_t max_fds = 600;
/// @brief `max_body_bytes` of the configuration.
constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

/// @brief What each caller of a crowd sends before it stops and keeps its connection open.
struct crowd
{
    std::size_t callers_ = 0;
    std::string fields_;          ///< rest of the request head, after the first fields
    std::string body_;            ///< bytes after the head
    std::size_t repeats_ = 1;     ///< times that the body is sent
    milliseconds interval_{0};    ///< between the starts of two callers
    bool notices_answer_ = true;  ///< stops sending when the gateway answers or closes; otherwise nothing is ever read
};

/// @brief What was seen of the gateway process while the crowd was connected.
struct observed_gateway
{
    std::size_t peak_memory_kb_ = 0;    ///< `VmHWM`
    std::size_t most_descriptors_ = 0;  ///< entries of `/proc/PID/fd`
    bool alive_ = false;                ///< after the ordinary request
    unsigned status_ = 0;               ///< of the ordinary request; 0 when there was no answer
    std::size_t settled_ = 0;           ///< callers that have sent everything or have stopped
    std::size_t answered_ = 0;          ///< callers that the gateway has answered or closed
    bool finished_ = false;
};

/// @brief Starts store, servers and gateway, connects the crowd, and sends an ordinary request while it is connected.
[[nodiscard]] observed_gateway face_crowd(const crowd& callers);

/// @brief Sends one request to a gateway without other load.
/// @param fields rest of the request head, after the first fields
/// @return the status of the answer; 0 when there was none
[[nodiscard]] unsigned answer_without_load(const std::string& fields, const std::string& body);

}  // namespace cornelstall::testing
