#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Decodes a routing table; null when the record is not a configuration or cannot be decoded.
using table_decoder = std::function<std::shared_ptr<const routing_table>(const keyed_record&)>;

/// @brief The data centre that a record requests to evacuate; no data centre (an empty id) when the record names an
/// unusable one; `std::nullopt` when the record is not about evacuations.
using evacuation_decoder = std::function<std::optional<data_centre_id>(const keyed_record&)>;

/// @brief Path at which a VM's metrics address serves the configuration that is in force there to other VMs.
constexpr const char* configuration_path = "/configuration";

/// @brief Keeps the newest routing table in @a log active, applies the evacuation requests in it, and records when both
/// were last confirmed to be the newest. Runs until the process ends.
/// @param decode_evacuation may be empty for a log without evacuation requests
[[nodiscard]] task<> follow_table(gateway_state& state, record_log log, table_decoder decode,
                                  evacuation_decoder decode_evacuation = {});

}  // namespace cornelstall
