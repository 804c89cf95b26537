#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cornelstall/decisions/process/data_centres.hpp"
#include "cornelstall/decisions/process/engine_summary.hpp"
#include "cornelstall/decisions/process/membership.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Demand for one model as measured and smoothed by one member.
struct model_demand
{
    model_id model_;
    token_rate served_;   ///< uncached prompt tokens per second
    token_rate refused_;  ///< the same for refused requests
};

/// @brief The demand reported by one member.
struct demand_record
{
    std::vector<model_demand> demand_;
    /// Table sequence of the last change; 0 for the demand of another member, which is not forwarded.
    std::uint64_t change_sequence_ = 0;
    time_point received_at_;
};

/// @brief The state of the fleet as known to one VM through its peers. Changes of all parts increment the sequence of
/// the member table, so that a peer acknowledges them with a single number.
struct fleet_view
{
    membership_table members_;
    engine_table engines_;
    data_centre_table data_centres_;
    std::map<vm_id, demand_record> demand_;
    configuration_version version_;
};

/// @brief Time after which unchanged demand is sent again.
inline constexpr milliseconds demand_refresh_interval{10'000};
/// @brief Age above which the demand of a member is ignored.
inline constexpr milliseconds max_demand_age{120'000};

/// @brief Creates a view that contains only @a self.
[[nodiscard]] fleet_view make_fleet_view(member self, time_point now);

/// @brief Stores the demand measured by this VM if a rate changed by more than 20% or demand_refresh_interval has
/// passed.
/// @return true if the demand was stored and will be sent
bool update_own_demand(fleet_view& view, std::vector<model_demand> demand, time_point now);

/// @brief Returns the demand for each model, summed over the present members whose demand is at most max_demand_age
/// old.
[[nodiscard]] std::map<model_id, model_demand> total_demand(const fleet_view& view, time_point now);

}  // namespace cornelstall
