#pragma once

#include <optional>

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Decodes a record of the server list; empty when it describes no usable server.
using server_decoder = std::function<std::optional<listed_server>(const keyed_record&)>;

/// @brief Keeps the server directory in step with the server list in @a log until the process ends.
[[nodiscard]] task<> follow_servers(gateway_state& state, record_log log, server_decoder decode);

}  // namespace cornelstall
