#pragma once

#include <optional>
#include <vector>

#include "cornelstall/decisions/request/server_choice.hpp"

namespace cornelstall
{

/// @brief The share of one engine in the joint prefill of a prompt.
struct joint_prefill_part
{
    listed_server server_;
    engine_work work_;         ///< the entry to add to the simulation of the engine
    token_count reserved_{0};  ///< KV memory to reserve for the prompt before the request is sent
};

/// @brief A prompt that several engines prefill together. The engine of the first part generates the answer.
struct joint_prefill
{
    std::vector<joint_prefill_part> parts_;
    placement_forecast forecast_;  ///< from now on, including the wait for idle engines
    milliseconds starts_in_{0};    ///< time until all engines are idle; placeholders hold them until then
};

/// @brief The longest prompt that @a engines engines of @a profile can hold together.
[[nodiscard]] token_count max_joint_prompt(const engine_profile& profile, std::size_t engines);

/// @brief Chooses engines that prefill the prompt of @a request together: as many as its target and its memory require,
/// in the order in which they become idle. Engines that an earlier request holds are excluded.
/// @param single_engine_benefit expected value on a single engine less the loss of other requests; nothing when the
/// prompt does not fit any engine
/// @return nothing when a joint prefill is impossible or brings no more than a single engine
/// @note Linear in the number of servers times the passes until their prompts are prefilled.
[[nodiscard]] std::optional<joint_prefill> choose_joint_prefill(server_directory& directory, fleet_load& load,
                                                                const service_description& service,
                                                                const choice_request& request,
                                                                std::optional<double> single_engine_benefit,
                                                                time_point now);

}  // namespace cornelstall
