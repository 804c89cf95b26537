#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Appends this VM's address to @a log and reads the addresses of the other VMs, with retries until both have
/// succeeded. VMs that start later become known through their load reports.
[[nodiscard]] task<> announce_vm(gateway_state& state, record_log log);

}  // namespace cornelstall
