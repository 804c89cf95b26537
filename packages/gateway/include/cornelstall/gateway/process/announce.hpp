#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"

namespace cornelstall
{

/// @brief Writes this VM's address into @a log and learns those of the VMs that did so before. VMs that come later are
/// learned from their reports.
[[nodiscard]] task<> announce_vm(gateway_state& state, record_log log);

}  // namespace cornelstall
