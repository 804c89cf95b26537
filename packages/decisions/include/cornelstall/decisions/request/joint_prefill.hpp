#pragma once

#include <optional>
#include <vector>

#include "cornelstall/decisions/request/server_choice.hpp"

namespace cornelstall
{

/// @brief What one engine does for a prompt that several engines read together.
struct joint_prefill_part
{
    listed_server server_;
    engine_work work_;         ///< as it enters the load of the engine
    token_count reserved_{0};  ///< memory that is to be reserved for the prompt before the request is sent
};

/// @brief A prompt that several engines read together. The first part's engine generates the answer.
struct joint_prefill
{
    std::vector<joint_prefill_part> parts_;
    placement_forecast forecast_;  ///< from now, waiting included
    milliseconds starts_in_{0};    ///< until the last of the engines is idle; they are claimed meanwhile
};

/// @brief Chooses engines that read the prompt of @a request together: as many as its goal and its memory need, those
/// that are idle first. Engines that others have claimed before are left out.
///
/// Linear in the number of servers times the passes until their prompts are read.
/// @param alone value expected on a single engine less what others lose; nothing when the prompt fits none
/// @return nothing when reading it together is impossible or brings no more than a single engine
[[nodiscard]] std::optional<joint_prefill> choose_joint_prefill(server_directory& directory, fleet_load& load,
                                                                const service_description& service,
                                                                const choice_request& request,
                                                                std::optional<double> alone, time_point now);

}  // namespace cornelstall
