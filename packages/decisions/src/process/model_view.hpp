#pragma once

#include <algorithm>
#include <vector>

#include "cornelstall/decisions/process/orders.hpp"

namespace cornelstall::detail
{

/// @brief Planning state of one declared model in one planning round.
struct model_view
{
    const model_policy* policy_ = nullptr;
    smoothed_demand* demand_ = nullptr;
    std::vector<const engine_state*>
        serving_;  ///< ready, model loaded, not draining, no pending order except for adapters
    std::size_t loading_engines_ = 0;
    std::size_t changing_engines_ = 0;  ///< engines drained or under a pending order for an unload or a role change
    double needed_engines_ = 0.0;       ///< number of engines that the demand would fully utilize
    double prefill_share_ = 0.0;        ///< share of prefill in the work of the model
    std::size_t target_engines_ = 0;    ///< planned number of serving and loading engines
    bool has_surplus_ = false;          ///< utilization has been low for `low_utilization_duration`

    [[nodiscard]] std::size_t serving_or_loading() const noexcept;
    [[nodiscard]] std::size_t min_ready() const noexcept;
    /// Number of serving engines that are not limited to prefill.
    [[nodiscard]] std::size_t standalone_engines() const;
    [[nodiscard]] std::size_t missing_engines() const noexcept;
    [[nodiscard]] bool is_below_minimum() const;
    [[nodiscard]] bool is_outdated(const engine_state& engine) const;
    /// Returns whether `min_ready` standalone engines remain without @a engine.
    [[nodiscard]] bool can_remove(const engine_state& engine) const;
    [[nodiscard]] std::size_t count_role(engine_role role) const;
    /// Number of engines that should have the prefill role; @a current engines have it now.
    [[nodiscard]] std::size_t target_prefill_engines(std::size_t current) const noexcept;
    /// Value of one more engine: worth times unmet demand, divided by one plus the number of loading engines.
    [[nodiscard]] double marginal_value() const noexcept;
    /// Worth times needed engines, per serving or loading engine.
    [[nodiscard]] double work_value_per_engine() const noexcept;
};

/// @brief Removes pending orders that have taken effect or timed out, and entries of engines that no longer exist.
void drop_finished_orders(order_planner& planner, const order_planning_input& input);

/// @brief Creates a view for each declared model, ordered by name.
[[nodiscard]] std::vector<model_view> make_views(order_planner& planner, const order_planning_input& input);

}  // namespace cornelstall::detail
