#include <algorithm>

#include "cornelstall/decisions/process/engine_simulation.hpp"

namespace cornelstall
{

namespace
{

/// Weighted tokens that raise the value of a request by 1; the base value is 1.
constexpr double tokens_per_value_unit = 25000.0;
/// A generated token costs an engine as much as this many prompt tokens.
constexpr double prompt_tokens_per_answer_token = 10.0;
/// Callers abandon a stream after the longest of three times: a fixed one, a multiple of the target time to first token
/// and a multiple of the maximum gap between events.
constexpr milliseconds min_abandon_timeout{2000};
constexpr int abandon_target_factor = 4;
constexpr int abandon_gap_factor = 8;

}  // namespace

milliseconds abandon_timeout(milliseconds target, milliseconds max_gap)
{
    return std::max({min_abandon_timeout, target * abandon_target_factor, max_gap * abandon_gap_factor});
}

double request_value(token_count prompt, token_count answer)
{
    return 1.0 +
           (static_cast<double>(prompt.get()) + prompt_tokens_per_answer_token * static_cast<double>(answer.get())) /
               tokens_per_value_unit;
}

}  // namespace cornelstall
