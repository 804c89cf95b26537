#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelstall/decisions/process/cells.hpp"
#include "cornelstall/decisions/process/engine_simulation.hpp"
#include "cornelstall/decisions/process/server_directory.hpp"

namespace cornelstall
{

/// @brief The load of all backend servers as known to this VM, from its own requests and from reports of other VMs.
struct fleet_load
{
    std::unordered_map<server_id, engine_simulation> engines_;
};

/// @brief The inputs to the choice of a server for one request.
struct choice_request
{
    service_id service_;
    engine_work work_;                  ///< token counts are 0 for plain calls
    data_centre_id data_centre_;        ///< data centre of this VM
    std::vector<server_id> tried_;      ///< servers that were already tried and are excluded
    std::uint64_t tie_break_seed_ = 0;  ///< random number for breaking ties and for sampling
    execution_id hold_id_;              ///< id of the placeholders by which this request holds engines
    cell_partition partition_;          ///< partition of the fleet into cells
    vm_id vm_;                          ///< this VM; the servers of its cell are preferred
};

/// @brief The chosen server and the forecast for it.
struct server_choice
{
    known_server* server_ = nullptr;
    placement_forecast forecast_;
    std::size_t considered_ = 0;  ///< number of candidate servers
};

/// @brief A sort key for servers that are otherwise equal; the order differs for each @a seed.
[[nodiscard]] std::uint64_t tie_breaker(const server_id& id, std::uint64_t seed);

/// @brief The ready servers of the requested service that were not tried: those of the own cell, or all when the cell
/// has none or more than half of its servers are in backoff at @a now. Servers whose limit does not let this VM send
/// now are left out. Large sets are sampled.
[[nodiscard]] std::vector<known_server*> candidate_servers(server_directory& directory, const choice_request& request,
                                                           time_point now);

/// @brief Chooses a server. For engines it is the one with the largest expected benefit, for plain services the one
/// with the fewest requests, preferring the own data centre. A server in backoff is chosen only when no other is left.
[[nodiscard]] server_choice choose_server(server_directory& directory, fleet_load& load,
                                          const service_description& service, const choice_request& request,
                                          time_point now);

}  // namespace cornelstall
