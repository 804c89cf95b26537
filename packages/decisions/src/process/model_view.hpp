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
    std::vector<const engine_state*> serving_;  ///< ready, model loaded, not draining
    std::size_t loading_engines_ = 0;
    std::size_t changing_engines_ = 0;  ///< engines that drain or have a pending order to unload or change role
    double needed_engines_ = 0.0;       ///< at full utilization
    double prefill_share_ = 0.0;
    std::size_t target_engines_ = 0;
    bool has_surplus_ = false;

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
    /// Number of engines that should be limited to prefill, given the @a current number.
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
