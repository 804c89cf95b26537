#pragma once

#include <algorithm>
#include <vector>

#include "cornelstall/decisions/process/orders.hpp"

namespace cornelstall::detail
{

/// @brief One declared model in one round of planning.
struct model_view
{
    const model_policy* policy_ = nullptr;
    smoothed_demand* demand_ = nullptr;
    std::vector<const engine_state*> serving_;  ///< ready, loaded, not drained
    std::size_t loading_engines_ = 0;
    std::size_t changing_engines_ = 0;  ///< engines drained or under an order to unload or change role
    double needed_ = 0.0;               ///< engines at full use
    double prefill_share_ = 0.0;
    std::size_t target_engines_ = 0;
    bool has_surplus_ = false;

    [[nodiscard]] std::size_t serving_or_loading() const noexcept;
    [[nodiscard]] std::size_t min_ready() const noexcept;
    /// Engines that can answer requests by themselves.
    [[nodiscard]] std::size_t standalone_engines() const;
    [[nodiscard]] std::size_t missing_engines() const noexcept;
    [[nodiscard]] bool is_below_minimum() const;
    [[nodiscard]] bool is_outdated(const engine_state& engine) const;
    /// Whether `min_ready` others stay in service without @a engine.
    [[nodiscard]] bool can_remove(const engine_state& engine) const;
    [[nodiscard]] std::size_t count_role(engine_role role) const;
    /// Engines that should prefill only, given how many do so now.
    [[nodiscard]] std::size_t target_prefill_engines(std::size_t present) const noexcept;
    /// Worth times unmet demand, shared among the transfers that the model already has.
    [[nodiscard]] double marginal_value() const noexcept;
    /// Worth of the work that each of its engines carries.
    [[nodiscard]] double work_value_per_engine() const noexcept;
};

/// @brief Drops orders whose effect is reported or overdue, and engines that are gone.
void drop_finished_orders(order_planner& planner, const order_planning_input& situation);

/// @brief The declared models, in order of their names.
[[nodiscard]] std::vector<model_view> make_views(order_planner& planner, const order_planning_input& situation);

}  // namespace cornelstall::detail
