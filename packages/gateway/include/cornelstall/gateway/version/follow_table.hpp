#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Decodes a configuration; null when the record is none or cannot be read.
using table_decoder = std::function<std::shared_ptr<const routing_table>(const keyed_record&)>;

/// @brief Keeps the newest version of the routes in force and notes when it was last known to be the newest.
[[nodiscard]] task<> follow_table(gateway_state& state, record_log log, table_decoder decode);

}  // namespace cornelstall
