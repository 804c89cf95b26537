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

/// @brief Demand for one model seen by one member, smoothed by that member.
struct model_demand
{
    model_id model_;
    token_rate served_;
    token_rate refused_;
};

/// @brief The demand reported by one member.
struct demand_record
{
    std::vector<model_demand> demand_;
    std::uint64_t change_sequence_ =
        0;  ///< table sequence of the last change; 0 for the demand of others, not passed on
    time_point received_at_;
};

/// @brief Everything that one VM knows of the fleet through its peers. The sequence of the member table counts the
/// changes of all parts, so that one number acknowledges them all.
struct fleet_view
{
    membership_table members_;
    engine_table engines_;
    data_centre_table data_centres_;
    std::map<vm_id, demand_record> demand_;
    configuration_version version_;
};

/// @brief An unchanged demand is sent again after this time.
inline constexpr milliseconds demand_refresh{10'000};
/// @brief The demand of a member is not counted when it is older than this.
inline constexpr milliseconds demand_lifetime{120'000};

/// @brief A view that knows only @a self.
[[nodiscard]] fleet_view make_fleet_view(member self, time_point now);

/// @brief Sets the own demand when it differs by more than a fifth from what was set before, or the refresh is due.
/// @return true when it will be sent
bool update_own_demand(fleet_view& view, std::vector<model_demand> demand, time_point now);

/// @brief The demand by model, summed over the members that are live.
[[nodiscard]] std::map<model_id, model_demand> total_demand(const fleet_view& view, time_point now);

}  // namespace cornelstall
