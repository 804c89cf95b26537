#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelstall/decisions/process/cells.hpp"
#include "cornelstall/decisions/process/engine_simulation.hpp"
#include "cornelstall/decisions/process/server_directory.hpp"

namespace cornelstall
{

/// @brief The load of all backend servers as this VM sees it: what it sent itself and what other VMs told.
struct fleet_load
{
    std::unordered_map<server_id, engine_simulation> engines_;
};

/// @brief What the choice of a server depends on.
struct choice_request
{
    service_id service_;
    engine_work work_;                  ///< tokens are 0 for plain calls
    data_centre_id data_centre_;        ///< where this VM is
    std::vector<server_id> tried_;      ///< servers that are not chosen again
    std::uint64_t tie_break_seed_ = 0;  ///< a random number that breaks ties
    execution_id hold_id_;              ///< names the claims that this request has on engines
    cell_partition partition_;          ///< of the fleet
    vm_id vm_;                          ///< this VM, whose cell's servers are preferred
};

/// @brief The chosen server and why.
struct server_choice
{
    known_server* server_ = nullptr;
    placement_forecast forecast_;
    std::size_t considered_ = 0;  ///< servers that were ready and not tried
};

/// @brief Orders servers that are equally good, differently for each @a draw.
[[nodiscard]] std::uint64_t tie_breaker(const server_id& id, std::uint64_t draw);

/// @brief The ready servers of the service of @a request that were not tried: those of the own cell, or all when half
/// of these are to be avoided at @a now. Of very many servers a part is drawn.
[[nodiscard]] std::vector<known_server*> candidate_servers(server_directory& directory, const choice_request& request,
                                                           time_point now);

/// @brief Chooses a server: for engines the one where the request's expected value is the largest, for plain services
/// the one with the fewest requests, the own data centre first. Servers to avoid are taken only when no other is left.
[[nodiscard]] server_choice choose_server(server_directory& directory, fleet_load& load,
                                          const service_description& service, const choice_request& request,
                                          time_point now);

}  // namespace cornelstall
