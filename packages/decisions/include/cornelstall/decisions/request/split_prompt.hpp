#pragma once

#include <optional>
#include <set>
#include <span>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What planning needs to know about a prompt that exceeds the memory of one engine.
struct split_request
{
    model_id model_;
    adapter_id adapter_;
    token_count prompt_;
    token_count max_output_;
    std::set<engine_id> excluded_;  ///< engines that failed this request
};

/// @brief A part of the prompt on one engine.
struct prompt_segment
{
    engine_id engine_;
    token_count first_;   ///< prompt tokens before the segment
    token_count tokens_;  ///< prompt tokens of the segment
    token_count output_;  ///< room for the answer, in the segment that decodes
    bool decodes_ = false;
};

/// @brief Result of planning.
enum class split_verdict
{
    planned,
    no_room_now,  ///< the engines could hold it, but not at present: try again after a backoff
    never_fits    ///< the total memory cannot hold it, or no engine can decode: refuse before it starts
};

/// @brief How a prompt is cut. Segments are in ascending engine id, which is the order of the reservations.
struct split_plan
{
    split_verdict status_ = split_verdict::never_fits;
    std::vector<prompt_segment> segments_;
    milliseconds duration_{0};  ///< estimated prefill of all segments, one after the other, and decode
};

/// @brief Segments end at multiples of this, the tokens of one prefix block, where memory permits.
inline constexpr token_count split_block{1024};

/// @brief Cuts the prompt over the fewest engines with room.
///
/// Room is the memory that the engine reports as free, less what this VM sent since. Segments are in proportion to it,
/// which leaves the same relative slack on each engine for news that the report does not contain. The engine that
/// decodes has the last part of the prompt. Either all segments are planned or none.
/// O(n log n) in the number of engines.
[[nodiscard]] split_plan plan_split(std::span<const engine_state* const> engines, const split_request& request);

/// @brief The segments in the order of the prompt, which is the order of their prefill.
[[nodiscard]] std::vector<prompt_segment> in_prompt_order(const split_plan& plan);

/// @brief Longest backoff before the second try; it doubles with each further one.
inline constexpr milliseconds first_split_backoff{200};
/// @brief Upper bound of the backoff.
inline constexpr milliseconds max_split_backoff{2000};

/// @brief Time to wait before the plan is tried again after a refused reservation.
/// @param refusals number of refused tries, from 1
/// @param random uniform in [0, 1); the backoff is between half and all of its longest value
/// @param least_useful time that the request needs once it has its reservations
/// @return nothing when the time left would be too short
[[nodiscard]] std::optional<milliseconds> split_backoff(int refusals, double random, milliseconds remaining,
                                                        milliseconds least_useful) noexcept;

}  // namespace cornelstall
