#pragma once

#include <memory>

#include "cornelstall/runtime/process/entry_state.hpp"
#include "cornelstall/runtime/process/order_giver.hpp"

namespace cornelstall
{

/// @brief An order giver for this VM's data centre, wired to the engines, the weight store and the demand of all
/// members.
[[nodiscard]] std::shared_ptr<order_giver> make_order_giver(entry_state& state, std::shared_ptr<lease_keeper> lease);

/// @brief Publishes this VM's demand by model to the other members, every 5 s. One task per process.
[[nodiscard]] task<> publish_demand(entry_state& state);

}  // namespace cornelstall
