#pragma once

#include <optional>
#include <span>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What placement needs to know about a request.
struct placement_request
{
    request_id id_;  ///< seeds the tie-break
    model_id model_;
    adapter_id adapter_;
    rank rank_ = rank::standard;
    token_count prompt_;
    token_count max_output_;
    std::vector<prefix_key> prefix_keys_;
    std::set<engine_id> excluded_;  ///< engines that refused or failed this request
};

/// @brief A chosen engine and the estimate behind the choice.
struct placement
{
    const engine_state* engine_ = nullptr;
    token_count cached_;           ///< prompt tokens that need no prefill
    milliseconds first_token_{0};  ///< estimated time to the first token
};

/// @brief Estimated time to the first token on @a engine: prefill reported, prefill sent since, own uncached prefill.
[[nodiscard]] milliseconds estimate_first_token(const engine_state& engine, const placement_request& request);

/// @brief Chooses the engine with the lowest estimated first token among those that are ready, have the model and
/// enough memory.
///
/// Engines whose estimates differ by less than 10% are equals; the request's id picks among them, so that many VMs
/// acting on one report do not all pick the same engine. Short prompts avoid engines with a long prefill, long prompts
/// prefer them until half of the engines of the model carry one.
/// @return nothing when no engine qualifies
/// Linear in the number of engines.
[[nodiscard]] std::optional<placement> choose_engine(std::span<const engine_state* const> engines,
                                                     const placement_request& request);

}  // namespace cornelstall
