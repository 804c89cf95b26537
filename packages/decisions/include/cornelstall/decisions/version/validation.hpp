#pragma once

#include <string>
#include <vector>

#include "cornelstall/decisions/version/configuration.hpp"

namespace cornelstall
{

/// @brief Upper limit on the sum of all ranks' floors. The rest of the capacity absorbs bursts.
inline constexpr double max_floor_sum = 0.9;

/// @brief Stable error numbers of inconsistencies between declarations.
enum class policy_fault_id
{
    duplicate = 308,
    unknown_model = 309,
    unknown_rank = 310,
    floors_too_high = 311
};

/// @brief An inconsistency between declarations.
struct policy_fault
{
    policy_fault_id id_ = policy_fault_id::duplicate;
    service_id service_;
    std::string field_;  ///< path of the field within the declaration, such as `callers[2].key_sha256`
    std::string problem_;
    std::string remedy_;
};

/// @brief Checks declarations for consistency with each other: all models and ranks exist, keys and names of plain
/// services are unique across all services, and the floors do not exceed `max_floor_sum`.
/// @param services in the order in which faults are reported
/// @param fleet null when there is no fleet declaration; models, ranks and floors are then not checked
/// @return all faults found
/// @note O(n log n) in the number of callers.
[[nodiscard]] std::vector<policy_fault> validate(const std::vector<service_policy>& services,
                                                 const fleet_policy* fleet);

/// @brief Checks a complete configuration, including its fleet policy.
[[nodiscard]] std::vector<policy_fault> validate(const configuration& candidate);

}  // namespace cornelstall
