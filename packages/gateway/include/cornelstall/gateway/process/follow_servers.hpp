#pragma once

#include <optional>

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Decodes a server's entry; nothing when it names no server that can be used.
using server_decoder = std::function<std::optional<listed_server>(const keyed_record&)>;

/// @brief Keeps the directory of servers as the log has it, until the process ends.
[[nodiscard]] task<> follow_servers(gateway_state& state, record_log log, server_decoder decode);

}  // namespace cornelstall
