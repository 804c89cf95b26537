#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Decodes a routing table; null when the record is not a configuration or cannot be decoded.
using table_decoder = std::function<std::shared_ptr<const routing_table>(const keyed_record&)>;

/// @brief Path at which a VM's metrics address serves the configuration that is in force there to other VMs.
constexpr const char* configuration_path = "/configuration";

/// @brief Keeps the newest routing table in @a log active and records when it was last confirmed to be the newest.
/// Runs until the process ends.
[[nodiscard]] task<> follow_table(gateway_state& state, record_log log, table_decoder decode);

}  // namespace cornelstall
