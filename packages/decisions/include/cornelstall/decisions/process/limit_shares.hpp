#pragma once

#include "cornelstall/decisions/connection/load_report.hpp"
#include "cornelstall/decisions/process/cells.hpp"
#include "cornelstall/decisions/process/server_directory.hpp"

namespace cornelstall
{

/// @brief What decides on the share of this VM in the limit of a server.
struct limit_share_request
{
    vm_id vm_;  ///< this VM
    server_id server_;
    request_rate limit_;                  ///< for all VMs together
    std::size_t servers_of_service_ = 1;  ///< servers of the limited server's service
};

/// @brief The share of this VM and its place among the VMs that may send to the server.
struct placed_share
{
    limit_share share_;
    double start_ = 0.0;  ///< part of the burst with which the VM begins when the limit is new
};

/// @brief Computes the share of this VM in a limit. All VMs of a cell that hear each other compute the same senders:
/// so few that their bursts and rates together stay within the limit, whatever the size of the fleet.
[[nodiscard]] placed_share share_of_limit(const vm_peers& peers, const limit_share_request& request, time_point now);

/// @brief Computes the shares of this VM in all limits anew, because VMs or limits have come or gone.
void update_limit_shares(server_directory& directory, const vm_peers& peers, const vm_id& self, time_point now);

}  // namespace cornelstall
