#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cornelstall/decisions/process/orders.hpp"
#include "cornelstall/runtime/process/lease_keeper.hpp"

namespace cornelstall
{

/// @brief An order as it is sent.
struct given_order
{
    order_id id_;
    fencing_number fencing_;
    planned_order order_;
};

/// @brief What an engine answered to an order.
enum class order_answer
{
    taken,
    refused,
    stale,   ///< the engine has seen a higher fencing number
    unknown  ///< no answer: it may have been taken
};

/// @brief What an order giver needs from the rest of the process.
struct order_giver_calls
{
    /// Engines of the data centre as this VM knows them.
    std::function<std::vector<engine_state>()> engines_;
    std::function<std::shared_ptr<const configuration>()> configuration_;
    /// Demand since the last call, for each declared model, 0 included: a model without a sample keeps its demand.
    std::function<std::map<model_id, demand_sample>()> demand_;
    /// Transfers that the weight store still takes; nothing when it does not answer.
    std::function<task<std::optional<int>>()> free_transfers_;
    /// Reads the engine's load from the engine itself; nothing when it does not answer.
    std::function<task<std::optional<engine_load>>(engine_id)> read_back_;
    /// Sends within `max_order_execution_time`, on a connection of its own.
    std::function<task<order_answer>(given_order)> send_;
    /// Engines of the data centre that get no new work; replaces the former list.
    std::function<void(std::vector<engine_id>)> set_drained_;
};

/// @brief Gives orders to engines while its VM holds the lease.
struct order_giver
{
    std::shared_ptr<lease_keeper> lease_;
    order_giver_calls calls_;
    task_clock clock_;
    metrics* metrics_ = nullptr;
    milliseconds period_{1'000};

    order_planner planner_;
    std::map<engine_id, time_point> read_back_at_;  ///< when the state of an engine without fencing was asked for
    std::uint64_t orders_given_ = 0;
    bool held_ = false;
    bool stopping_ = false;
};

/// @brief Plans and gives orders each period until the giver stops. A plan starts afresh with each lease.
[[nodiscard]] task<> give_orders(std::shared_ptr<order_giver> giver);

/// @brief One round of give_orders.
[[nodiscard]] task<> give_orders_once(std::shared_ptr<order_giver> giver);

}  // namespace cornelstall
