#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "cornelstall/decisions/process/reconcile.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task_clock.hpp"

namespace cornelstall
{

/// @brief What the reconciler of one engine needs from the rest of the process.
struct reconciler_calls
{
    /// The engine's own list; nothing when it does not answer.
    std::function<task<std::optional<std::vector<holding>>>()> list_;
    /// Cancels or deletes; true when the engine acknowledged, also that it does not know the entry.
    std::function<task<bool>(holding)> release_;
    /// Asks a holder which of these requests it still wants; nothing when it does not answer.
    std::function<task<std::optional<std::set<request_id>>>(vm_id, std::vector<request_id>)> ask_;
    std::function<std::map<grant_id, grant>()> grants_;
    std::function<void(grant_id)> end_grant_;
    std::function<holder_condition(const vm_id&)> condition_of_;
};

/// @brief Keeps what one owned engine holds equal to what is wanted.
struct reconciler
{
    reconciler_calls calls_;
    task_clock clock_;
    metrics* metrics_ = nullptr;
    milliseconds period_{2'000};

    reconcile_state state_;
    bool stopping_ = false;  ///< set when another VM becomes the owner
};

/// @brief A reconciler for an engine that this VM owns from now on.
[[nodiscard]] std::shared_ptr<reconciler> make_reconciler(reconciler_calls calls, task_clock clock, metrics& counters);

/// @brief Compares and releases each period until the reconciler stops.
[[nodiscard]] task<> reconcile_engine(std::shared_ptr<reconciler> self);

/// @brief One round of reconcile_engine.
[[nodiscard]] task<> reconcile_once(std::shared_ptr<reconciler> self);

}  // namespace cornelstall
