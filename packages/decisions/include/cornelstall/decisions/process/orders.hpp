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

/// @brief Time constant of the smoothing of demand: a step counts to 63% after it.
inline constexpr milliseconds demand_time_constant{10'000};
/// @brief Use above which a model gets another engine.
inline constexpr double high_utilization = 0.8;
/// @brief Use below which a model may lose an engine.
inline constexpr double low_utilization = 0.4;
/// @brief Time for which use must be low before an engine is taken away; loading weights again costs more than this.
inline constexpr milliseconds low_utilization_duration{60'000};
/// @brief Share of prefill in a model's work from which some of its engines prefill only.
inline constexpr double prefill_role_share = 0.6;
/// @brief Share below which they return to mixed work.
inline constexpr double mixed_role_share = 0.4;
/// @brief Fewest engines of a model among which roles are told apart.
inline constexpr std::size_t min_engines_for_roles = 4;
/// @brief Most orders that one round gives.
inline constexpr std::size_t max_orders_per_round = 4;
/// @brief Time after which an order whose effect is not reported may be given again.
inline constexpr milliseconds order_effect_timeout{120'000};

/// @brief Time until all owners know that an engine is drained; only a later report can show that it is idle.
inline constexpr milliseconds drain_settling_time{3'000};

/// @brief Demand for one model, smoothed.
struct smoothed_demand
{
    token_rate prefill_;                   ///< uncached prompt tokens a second
    token_rate decode_;                    ///< generated tokens a second
    double worth_ = 1.0;                   ///< mean worth of the ranks that ask, weighted by tokens
    std::optional<time_point> low_since_;  ///< since when use has been low
    bool has_sample_ = false;
    time_point sampled_at_;
};

/// @brief What was asked for since the last sample, refused requests included.
struct demand_sample
{
    token_rate prefill_;
    token_rate decode_;
    double worth_ = 1.0;
};

/// @brief Kinds of order that engines understand.
enum class order_kind
{
    load_model,
    unload_model,
    load_adapter,
    set_role
};

/// @brief An order without its id and fencing number, which are given when it is sent.
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

/// @brief An order that was given and whose effect no report shows yet.
struct pending_order
{
    planned_order order_;
    time_point since_;
};

/// @brief State of the planner, kept by the lease holder. A new holder starts empty: it sees loaded models in reports,
/// and engines refuse a second load of the same model.
struct order_planner
{
    std::map<model_id, smoothed_demand> demand_;
    std::map<engine_id, pending_order> pending_;   ///< one order per engine at a time
    std::map<engine_id, pending_order> draining_;  ///< engines that are emptied for an order, since `since_`
};

/// @brief What a round looks at.
struct order_planning_input
{
    std::span<const engine_state* const> engines_;  ///< of this data centre
    const fleet_policy* fleet_ = nullptr;
    int free_transfers_ = 0;  ///< weight store: concurrent limit less transfers in progress
    time_point now_;
};

/// @brief What a round decides.
struct order_plan
{
    std::vector<planned_order> orders_;      ///< to give now, at most `max_orders_per_round`
    std::vector<engine_id> drain_;           ///< engines that get no new work: all that are emptied for a change
    std::vector<model_id> below_min_ready_;  ///< models below `min_ready` for which no engine is free
    std::vector<model_id> outdated_;  ///< models that keep an old version, since a change would break `min_ready`
};

/// @brief Adds a sample of @a model to its smoothed demand.
void add_demand_sample(order_planner& planner, const model_id& model, const demand_sample& sample, time_point now);

/// @brief Notes that an engine took an order, or may have taken it.
void mark_order_sent(order_planner& planner, const planned_order& order, time_point now);

/// @brief Notes that an engine refused an order; the next round plans afresh.
void mark_order_refused(order_planner& planner, const engine_id& engine);

/// @brief Engines that @a demand would occupy at full use on engines like @a engine.
[[nodiscard]] double engines_needed(const smoothed_demand& demand, const engine_load& engine) noexcept;

/// @brief Plans the next orders.
///
/// Models below `min_ready` come first. A model above 80% use gets engines for 80%; one below 40% for 60 s loses one.
/// Empty engines are used before surplus engines of other models. Loads share the weight store's free transfers by
/// worth times unmet demand, each further transfer of a model counting less. An engine is drained, and idle by its own
/// report, before a model is unloaded or its role changes. A version is changed one engine of a model at a time, and
/// only while `min_ready` others serve.
/// @return the plan; the caller notes with mark_order_sent what was sent
/// O(m (e + m)) for m models and e engines.
[[nodiscard]] order_plan plan_orders(order_planner& planner, const order_planning_input& situation);

}  // namespace cornelstall
