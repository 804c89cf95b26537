#pragma once

#include <optional>
#include <set>
#include <span>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief A request whose prompt exceeds the memory of a single engine.
struct split_request
{
    model_id model_;
    adapter_id adapter_;
    token_count prompt_;
    token_count max_output_;
    std::set<engine_id> excluded_;  ///< engines that have failed this request
};

/// @brief A contiguous range of prompt tokens assigned to one engine.
struct prompt_segment
{
    engine_id engine_;
    token_count offset_;    ///< number of prompt tokens before the segment
    token_count tokens_;    ///< number of prompt tokens in the segment
    token_count output_;    ///< tokens reserved for the answer; 0 unless the engine decodes
    bool decodes_ = false;  ///< the engine generates the answer
};

/// @brief Result of planning a split.
enum class split_status
{
    planned,
    insufficient_free_memory,  ///< the request fits the total memory, but not the free memory: retry after a backoff
    exceeds_total_memory       ///< the request exceeds the total memory, or no engine can decode: refuse it
};

/// @brief Assignment of a prompt to engines.
///
/// Segments are in ascending order of engine ids. Memory is reserved in this order, so that requests that need the same
/// engines cannot deadlock.
struct split_plan
{
    split_status status_ = split_status::exceeds_total_memory;
    std::vector<prompt_segment> segments_;
    milliseconds duration_{0};  ///< estimated time for the sequential prefill of all segments and the decode
};

/// @brief Tokens of one prefix block. Segments end on a block boundary where memory permits.
inline constexpr token_count split_block_size{1024};

/// @brief Splits the prompt over the smallest number of engines that have enough memory available.
///
/// Available is the memory that an engine reported as free, less the tokens that this VM has sent to it since. Segment
/// sizes are proportional to it, which leaves every engine the same relative slack for load that its report does not
/// include. The engine that decodes gets the end of the prompt. The plan contains either all segments or none.
/// @note O(n log n) in the number of engines.
[[nodiscard]] split_plan plan_split(std::span<const engine_state* const> engines, const split_request& request);

/// @brief Returns the segments in the order of the prompt, in which they are prefilled.
[[nodiscard]] std::vector<prompt_segment> segments_in_prompt_order(const split_plan& plan);

/// @brief Upper limit of the first backoff. The limit doubles with each further refusal up to `max_split_backoff`.
inline constexpr milliseconds initial_split_backoff{200};
inline constexpr milliseconds max_split_backoff{2000};

/// @brief Returns the time to wait after a refused reservation before the split is planned again.
/// @param refusals number of refused reservations so far, at least 1
/// @param random uniform in [0, 1); places the backoff between half and all of its current limit
/// @param remaining time until the deadline of the request
/// @param min_remaining time that the request needs once its memory is reserved
/// @return `std::nullopt` when too little time would remain after the backoff
[[nodiscard]] std::optional<milliseconds> split_backoff(int refusals, double random, milliseconds remaining,
                                                        milliseconds min_remaining) noexcept;

}  // namespace cornelstall
