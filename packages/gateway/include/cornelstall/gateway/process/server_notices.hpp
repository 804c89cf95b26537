#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Records what @a answer says about the server that sent it: that it is leaving, or that it wants no work from
/// this VM for a time. An answer of another server at the same address says nothing about @a server.
void apply_notices(gateway_state& state, const listed_server& server, const server_answer& answer);

/// @brief Records what @a answer says about the rate of requests that the server takes from all VMs together.
/// @param sent_at when the request was sent
void apply_limit(gateway_state& state, const listed_server& server, const stated_limit& limit, time_point sent_at);

/// @brief Merges what the VM @a sender reports about limits of servers.
void apply_reported_limits(gateway_state& state, const vm_id& sender, const std::vector<reported_limit>& reported);

/// @brief Records the servers that the VM @a sender reports as leaving.
void apply_reported_leaving(gateway_state& state, const vm_id& sender, const std::vector<leaving_server>& leaving);

}  // namespace cornelstall
