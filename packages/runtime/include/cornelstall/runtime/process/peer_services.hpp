#pragma once

#include "cornelstall/runtime/connection/peer_server.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"

namespace cornelstall
{

/// @brief Longest wait for a peer's answer to a call that does not queue.
inline constexpr milliseconds peer_call_limit{1000};

/// @brief Handlers of `Reserve`, `Release`, `Renew`, `Wanted` and `FetchConfiguration`.
void add_owner_handlers(peer_handlers& handlers, entry_state& state);

/// @brief Access to owners among all members: local calls for own engines, gRPC for those of others.
[[nodiscard]] owner_access make_fleet_access(entry_state& state);

/// @brief Announces running grants to owners that did not give them, after the ownership has moved.
void announce_grants(entry_state& state);

}  // namespace cornelstall
