#pragma once

#include <span>
#include <string_view>

#include "cornelstall/decisions/request/server_choice.hpp"

namespace cornelstall
{

/// @file
/// Load pattern: one organisation sends many times its usual, and its requests take the places of all others. The
/// shares hold over all VMs of a cell, because load reports carry the organisation of each request. What one
/// organisation leaves unused others may use, as long as engines have places left.

/// @brief The hash by which load reports name an organisation; equal on all processors. Never 0.
[[nodiscard]] organisation_hash hash_of(const organisation_id& organisation);

/// @brief How the engines of a service are used, from one organisation's point of view.
struct organisation_usage
{
    double slots_used_share_ = 0.0;  ///< slots in use divided by all slots of the engines
    double share_of_fair_ = 0.0;     ///< the organisation's work divided by an equal share of all work; 1 is fair
};

/// @brief Sums up the work on @a servers by organisation. Work counts in the units of request_value().
/// @note Linear in the requests on @a servers.
[[nodiscard]] organisation_usage usage_of(const fleet_load& load, std::span<known_server* const> servers,
                                          const engine_profile& profile, organisation_hash organisation);

/// @brief The least benefit, as a fraction of its value, that a request must bring to be placed. It is 0 while engines
/// have places left, and for organisations that use no more than their share.
[[nodiscard]] double min_benefit_share(const organisation_usage& usage);

}  // namespace cornelstall
