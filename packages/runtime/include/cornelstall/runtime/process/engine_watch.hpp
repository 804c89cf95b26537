#pragma once

#include "cornelstall/runtime/process/entry_state.hpp"

namespace cornelstall
{

/// @brief Time between two load reports of an engine.
inline constexpr milliseconds load_poll_interval{500};
/// @brief Time between two reads of an engine's cache events.
inline constexpr milliseconds cache_poll_interval{1000};
/// @brief Time between two expiry checks of a queue.
inline constexpr milliseconds queue_check_interval{50};
/// @brief Failed load reports in a row after which an engine takes no new work.
inline constexpr int max_failed_reports = 3;

/// @brief Polls one engine for as long as this VM owns it: load, cache events, expiry of its queue. One task per owned
/// engine.
[[nodiscard]] task<> watch_engine(entry_state& state, engine_id engine);

/// @brief Starts a task for each owned engine that has none.
void watch_owned_engines(entry_state& state);

/// @brief Applies the platform's VM list: engines and plain servers of the own data centre.
void apply_vm_list(entry_state& state, const vm_list& list);

/// @brief Reads the VM list every 2 s; when it is not available the last one stays in use. One task per process.
[[nodiscard]] task<> follow_vm_list(entry_state& state);

}  // namespace cornelstall
