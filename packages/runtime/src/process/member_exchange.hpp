#pragma once

#include "cornelstall/runtime/process/member_loop.hpp"

/// @file
/// One exchange and what follows from it; used by the tasks and the handlers of the member loop.

namespace cornelstall::detail
{

[[nodiscard]] time_point now_of(const member_loop& loop);

/// @brief Sleeps for @a delay or until the loop stops.
[[nodiscard]] task<> pause(member_loop_ptr loop, milliseconds delay);

/// @brief Exchanges with a known peer over @a channel and applies the reply.
/// @return false when the peer did not answer or another process answered
[[nodiscard]] task<bool> exchange_with(member_loop_ptr loop, vm_id who, std::shared_ptr<peer_channel> channel);

/// @brief Exchanges with whichever process answers at @a address.
[[nodiscard]] task<> exchange_with_seed(member_loop_ptr loop, socket_address address);

/// @brief Handler of `Exchange`.
[[nodiscard]] task<exchange_delta> answer_exchange(member_loop_ptr loop, exchange_delta delta,
                                                   std::shared_ptr<peer_call> call);

/// @brief Handler of `Probe`: exchanges with the target on a new channel.
[[nodiscard]] task<probe_reply> answer_probe(member_loop_ptr loop, probe_request request);

/// @brief Reports the members that died and whether the live members differ from @a before.
void report_changes(member_loop& loop, const std::vector<member>& before, const std::vector<member>& died);

/// @brief The members of the own data centre that may own engines.
[[nodiscard]] std::vector<member> own_live_members(const member_loop& loop);

/// @brief Starts a task for each peer without one.
void start_peer_tasks(const member_loop_ptr& loop);

/// @brief Whether this VM exchanges with @a who, and in which scope.
[[nodiscard]] std::map<vm_id, exchange_scope> wanted_peers(const member_loop& loop);

}  // namespace cornelstall::detail
