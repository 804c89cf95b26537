#pragma once

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief How far the answer of one request has been delivered to its caller.
struct stream_progress
{
    request_id request_;
    attempt_number attempt_{1};
    part_number next_{0};  ///< the part that is delivered next
    bool ended_ = false;   ///< the end mark was seen
};

/// @brief What identifies a part on the wire.
struct part_header
{
    request_id request_;
    attempt_number attempt_;
    part_number part_;
    bool last_ = false;
};

/// @brief What to do with a part.
enum class part_check_result
{
    deliver,
    wrong_request,  ///< crossed answer: drop and count
    wrong_attempt,  ///< late answer of an earlier attempt: drop and count
    duplicate,      ///< delivered before: drop and count
    gap,            ///< a part is missing: treat the stream as cut and resume
    after_end       ///< the answer is complete: drop and count
};

/// @brief Judges @a part and, when it is to be delivered, advances @a progress.
[[nodiscard]] part_check_result accept_part(stream_progress& progress, const part_header& part);

}  // namespace cornelstall
