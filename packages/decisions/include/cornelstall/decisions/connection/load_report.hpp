#pragma once

#include <map>
#include <vector>

#include "cornelstall/decisions/connection/log_update.hpp"
#include "cornelstall/decisions/request/server_choice.hpp"

namespace cornelstall
{

/// @brief One request that a VM has running on a backend server.
struct reported_work
{
    server_id server_;
    engine_work work_;
};

/// @brief Everything that a VM has running; replaces what that VM reported before.
struct load_report
{
    vm_id vm_;
    incarnation incarnation_;  ///< start of the process; a higher one replaces a lower one
    std::uint64_t sequence_ = 0;
    socket_address address_;
    std::vector<reported_work> work_;
    configuration_version version_;
    bool leaving_ = false;
    log_update log_update_;
    bool log_update_only_ = false;  ///< says nothing of the work
    std::size_t vms_known_ = 0;     ///< VMs that the sender knows or has heard of, itself included
};

/// @brief A VM that reports its load.
struct vm_peer
{
    socket_address address_;
    incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    time_point heard_at_;
    std::vector<reported_work> work_;
    configuration_version version_;
    bool reaches_store_ = false;
    log_offset server_list_end_;  ///< the VM knows the list of servers up to before this offset
};

/// @brief The other VMs by id.
struct vm_peers
{
    std::map<vm_id, vm_peer> peers_;
    std::size_t vms_reported_ = 0;  ///< the most VMs that another VM knows
};

/// @brief VMs that are known, this one included. VMs of other cells that came later are known from what others report.
[[nodiscard]] std::size_t known_vms(const vm_peers& peers);

/// @brief Takes over @a report into @a load.
/// @return false when the report is older than one that was taken over already
bool apply_report(vm_peers& peers, fleet_load& load, const load_report& report, time_point now);

/// @brief Adds a VM whose address is known but that has not reported yet.
void add_peer(vm_peers& peers, const vm_id& id, const socket_address& address, time_point now);

/// @brief The place of this VM among those that live and reach the platform's log, from 0; the order is the same on
/// all.
/// @param limit a VM that was silent for this long does not count
[[nodiscard]] std::size_t log_reader_position(const vm_peers& peers, const vm_id& self, milliseconds limit,
                                              time_point now);

/// @brief The offset from which the VM that lags most lacks changes of the list of servers; @a own_next when none does.
/// VMs that were silent for @a limit or have not read the list yet do not count.
[[nodiscard]] log_offset oldest_missing_offset(const vm_peers& peers, log_offset own_next, milliseconds limit,
                                               time_point now);

/// @brief The highest version of the routes that another VM has.
[[nodiscard]] configuration_version newest_peer_version(const vm_peers& peers);

/// @brief Drops the load of VMs that were silent for @a limit: their requests have ended with them.
/// @return the VMs whose load was dropped
std::vector<vm_id> drop_load_of_silent_peers(vm_peers& peers, fleet_load& load, milliseconds limit, time_point now);

}  // namespace cornelstall
