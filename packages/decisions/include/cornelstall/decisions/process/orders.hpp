#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/decisions/version/configuration.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Time constant of the exponential smoothing of demand: 63% of a step is reflected after this time.
inline constexpr milliseconds demand_time_constant{10'000};
/// @brief Utilization above which a model gets another engine.
inline constexpr double high_utilization = 0.8;
/// @brief Utilization below which a model may lose an engine.
inline constexpr double low_utilization = 0.4;
/// @brief Time for which utilization must be low before a model loses an engine. Loading the weights again would cost
/// more than this time.
inline constexpr milliseconds low_utilization_duration{60'000};
/// @brief Share of prefill in the work of a model from which some of its engines get the prefill role.
inline constexpr double prefill_role_share = 0.6;
/// @brief Share of prefill down to which these engines return to the mixed role.
inline constexpr double mixed_role_share = 0.4;
/// @brief Minimum number of engines of a model for which roles are assigned.
inline constexpr std::size_t min_engines_for_roles = 4;
/// @brief Maximum number of orders in one planning round.
inline constexpr std::size_t max_orders_per_round = 4;
/// @brief Time after which an order whose effect has not been reported may be sent again.
inline constexpr milliseconds order_effect_timeout{120'000};

/// @brief Time until the owners of all engines know that an engine is being drained. Only a report from after this time
/// can show that the engine is idle.
inline constexpr milliseconds drain_propagation_time{3'000};

/// @brief Smoothed demand for one model.
struct smoothed_demand
{
    token_rate prefill_;                   ///< uncached prompt tokens per second
    token_rate decode_;                    ///< generated tokens per second
    double worth_ = 1.0;                   ///< mean worth of the ranks of the requests, weighted by tokens
    std::optional<time_point> low_since_;  ///< time since which utilization has been low
    bool has_sample_ = false;
    time_point sampled_at_;
};

/// @brief Demand since the previous sample, including refused requests.
struct demand_sample
{
    token_rate prefill_;
    token_rate decode_;
    double worth_ = 1.0;
};

/// @brief Kinds of orders, which are commands to an engine.
enum class order_kind
{
    load_model,
    unload_model,
    load_adapter,
    set_role
};

/// @brief An order before its id and fencing number are assigned, which happens when it is sent.
struct planned_order
{
    order_kind kind_ = order_kind::load_model;
    engine_id engine_;
    model_id model_;
    model_version version_;
    adapter_id adapter_;
    engine_role role_ = engine_role::mixed;

    friend bool operator==(const planned_order&, const planned_order&) = default;
};

/// @brief An order that was sent and whose effect has not been reported yet, or that waits until its engine is drained.
struct pending_order
{
    planned_order order_;
    time_point since_;  ///< when the order was sent or the drain started
};

/// @brief State of the planner, kept by the lease holder. A new holder starts with an empty state: it learns the loaded
/// models from reports, and engines refuse to load a model twice.
struct order_planner
{
    std::map<model_id, smoothed_demand> demand_;
    std::map<engine_id, pending_order> pending_;   ///< orders that were sent; one per engine at a time
    std::map<engine_id, pending_order> draining_;  ///< engines that are drained for an order
};

/// @brief Input of one planning round.
struct order_planning_input
{
    std::span<const engine_state* const> engines_;  ///< of this data centre
    const fleet_policy* fleet_ = nullptr;
    int free_transfers_ = 0;  ///< of the weight store: concurrency limit less transfers in progress
    time_point now_;
};

/// @brief Result of one planning round.
struct order_plan
{
    std::vector<planned_order> orders_;      ///< to be sent now, at most `max_orders_per_round`
    std::vector<engine_id> drain_;           ///< engines that must get no new work, because they are being changed
    std::vector<model_id> below_min_ready_;  ///< models below `min_ready` for which no engine is free
    std::vector<model_id> outdated_;  ///< models that keep an old version, because a change would violate `min_ready`
};

/// @brief Adds a sample to the smoothed demand of @a model.
void add_demand_sample(order_planner& planner, const model_id& model, const demand_sample& sample, time_point now);

/// @brief Records that an engine accepted an order, or may have accepted it.
void mark_order_sent(order_planner& planner, const planned_order& order, time_point now);

/// @brief Records that an engine refused an order, so that the next round plans for it again.
void mark_order_refused(order_planner& planner, const engine_id& engine);

/// @brief Number of engines like @a engine that @a demand would fully utilize.
[[nodiscard]] double engines_needed(const smoothed_demand& demand, const engine_load& engine) noexcept;

/// @brief Plans the next orders.
///
/// Models below `min_ready` come first. A model above 80% utilization gets engines for 80%; a model below 40% for 60 s
/// loses one engine. Empty engines are used before surplus engines of other models. Loads share the free transfers of
/// the weight store by worth times unmet demand, where each further transfer of a model counts less. Before a model is
/// unloaded or an engine changes its role, the engine is drained and must report that it is idle. A new version is
/// rolled out to one engine of a model at a time, and only while `min_ready` other engines serve the model.
/// @return the plan; the caller reports each order that it sends with mark_order_sent
/// @note O(m (e + m)) for m models and e engines.
[[nodiscard]] order_plan plan_orders(order_planner& planner, const order_planning_input& input);

}  // namespace cornelstall
