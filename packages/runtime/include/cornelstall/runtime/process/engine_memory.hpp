#pragma once

#include <memory>

#include "cornelstall/runtime/process/entry_state.hpp"
#include "cornelstall/runtime/process/reconciler.hpp"

namespace cornelstall
{

/// @brief A reconciler for @a engine, which this VM owns, wired to the engine's HTTP interface and to the members.
[[nodiscard]] std::shared_ptr<reconciler> make_engine_reconciler(entry_state& state, const engine_id& engine);

}  // namespace cornelstall
