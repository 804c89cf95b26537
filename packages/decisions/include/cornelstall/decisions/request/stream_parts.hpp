#pragma once

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Delivery state of the answer to one request.
struct stream_progress
{
    request_id request_;
    attempt_number attempt_{1};
    part_number next_{0};  ///< the next part to deliver
    bool ended_ = false;   ///< the part that ends the answer has been delivered
};

/// @brief Identifies a part of a streamed answer on the wire.
struct part_header
{
    request_id request_;
    attempt_number attempt_;
    part_number part_;
    bool last_ = false;  ///< the part ends the answer
};

/// @brief Result of checking a part.
enum class part_check_result
{
    deliver,
    wrong_request,  ///< the part belongs to another request: drop and count
    wrong_attempt,  ///< the part belongs to another attempt, usually an earlier one: drop and count
    duplicate,      ///< the part has already been delivered: drop and count
    gap,            ///< an earlier part is missing: treat the stream as broken and resume it
    after_end       ///< the answer is already complete: drop and count
};

/// @brief Checks @a part against @a progress, and advances @a progress when the part is to be delivered.
[[nodiscard]] part_check_result accept_part(stream_progress& progress, const part_header& part);

}  // namespace cornelstall
