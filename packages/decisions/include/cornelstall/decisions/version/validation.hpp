#pragma once

#include <string>
#include <vector>

#include "cornelstall/decisions/version/configuration.hpp"

namespace cornelstall
{

/// @brief The floors of all ranks together may promise at most this share; the rest absorbs bursts.
inline constexpr double max_floor_sum = 0.9;

/// @brief Stable numbers of the faults that a check over several declarations can find.
enum class policy_fault_id
{
    duplicate = 308,
    unknown_model = 309,
    unknown_rank = 310,
    floors_too_high = 311
};

/// @brief One disagreement between declarations.
struct policy_fault
{
    policy_fault_id id_ = policy_fault_id::duplicate;
    service_id service_;
    std::string field_;  ///< path within the declaration, such as `callers[2].key_sha256`
    std::string problem_;
    std::string remedy_;
};

/// @brief Checks declarations against each other: models and ranks exist, keys and plain service names are unique over
/// all services, and the floors leave room.
/// @param services sorted as faults are to be reported
/// @param fleet null when no fleet declaration is at hand; then models and ranks are not checked
/// @return all faults, empty when there are none
/// @note O(n log n) in the number of callers.
[[nodiscard]] std::vector<policy_fault> validate(const std::vector<service_policy>& services,
                                                 const fleet_policy* fleet);

/// @brief Checks a whole configuration, whose fleet declaration counts as at hand.
[[nodiscard]] std::vector<policy_fault> validate(const configuration& candidate);

}  // namespace cornelstall
