#pragma once

#include <optional>
#include <span>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The properties of a request that placement depends on.
struct placement_request
{
    request_id id_;  ///< seed of the tie-break between equivalent engines
    model_id model_;
    adapter_id adapter_;
    rank rank_ = rank::standard;
    token_count prompt_;
    token_count max_output_;
    std::vector<prefix_key> prefix_keys_;
    std::set<engine_id> excluded_;  ///< engines that have refused or failed this request
};

/// @brief The chosen engine and its estimate.
struct placement
{
    const engine_state* engine_ = nullptr;
    token_count cached_;           ///< prompt tokens that need no prefill
    milliseconds first_token_{0};  ///< estimated time to the first token
};

/// @brief Estimates the time to the first token on @a engine.
///
/// Covers the prefill backlog in the engine's last load report, the tokens sent since that report, the request's own
/// uncached prompt tokens and the wait for a free slot.
[[nodiscard]] milliseconds estimate_first_token(const engine_state& engine, const placement_request& request);

/// @brief Chooses the engine with the lowest estimated time to the first token among those that are ready, serve the
/// model and have enough memory.
///
/// Engines whose estimates are within 10% of the lowest are equivalent. A hash of request id and engine id picks one of
/// them, so that VMs that act on the same load report do not all pick the same engine. Short prompts avoid engines with
/// a long prefill. Long prompts prefer such engines, and use no others once half of the model's engines have one.
/// @return `std::nullopt` when no engine is eligible
/// @note Linear in the number of engines.
[[nodiscard]] std::optional<placement> choose_engine(std::span<const engine_state* const> engines,
                                                     const placement_request& request);

}  // namespace cornelstall
