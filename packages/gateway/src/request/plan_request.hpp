#pragma once

#include <optional>

#include "cornelstall/gateway/request/exchange.hpp"
#include "request/send_plan.hpp"

namespace cornelstall
{

/// @brief Waits until servers can take the request, in the order of the wait queue.
/// @return the plan, or nothing when the request is to be refused
[[nodiscard]] task<std::optional<send_plan>> wait_for_plan(exchange& current, engine_hold& hold);

/// @brief The plan for a send that can begin now. When engines have to become idle first, they are held for it.
/// @return nothing when no send can begin now
[[nodiscard]] std::optional<send_plan> plan_without_wait(exchange& current, engine_hold& hold);

}  // namespace cornelstall
