#pragma once

#include <memory>

#include "request/send_plan.hpp"

namespace cornelstall
{

/// @brief Watches a send whose server has accepted the connection, if other engines hold memory for it: until its first
/// event, the server is probed when it is silent for much longer than forecast.
void watch_send(gateway_state& state, const std::shared_ptr<send_resources>& send);

/// @brief Reviews the sends to the server that @a changed names or that has its address, after the entry was added,
/// changed or removed.
void review_sends_to(gateway_state& state, const listed_server& changed);

/// @brief Ends the reservations of the present send, because its server has sent the whole answer.
void release_reservations(const exchange& current);

}  // namespace cornelstall
