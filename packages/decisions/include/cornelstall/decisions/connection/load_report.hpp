#pragma once

#include <map>
#include <vector>

#include "cornelstall/decisions/connection/log_update.hpp"
#include "cornelstall/decisions/connection/transit_time.hpp"
#include "cornelstall/decisions/process/suspect_parts.hpp"
#include "cornelstall/decisions/request/server_choice.hpp"

namespace cornelstall
{

/// @brief A request that a VM is running on a backend server.
struct reported_work
{
    server_id server_;
    engine_work work_;
};

/// @brief All requests that a VM is running; replaces the previous report of that VM.
struct load_report
{
    vm_id vm_;
    incarnation incarnation_;  ///< increases with each process start; a higher value replaces a lower one
    std::uint64_t sequence_ = 0;
    std::optional<milliseconds> sent_at_;  ///< the sender's clock, which goes on while the VM is suspended
    socket_address address_;
    data_centre_id data_centre_;
    std::vector<reported_work> work_;
    configuration_version version_;
    bool leaving_ = false;
    log_update log_update_;
    bool log_update_only_ = false;                 ///< carries no load; the work reported before stays
    std::vector<leaving_server> leaving_servers_;  ///< servers that told the sender that they are leaving
    std::vector<reported_part> suspect_parts_;     ///< a report with parts or limits carries nothing else
    std::vector<reported_limit> limits_;           ///< as `suspect_parts_`
    std::size_t vms_known_ = 0;   ///< VMs known to the sender, directly or from reports, including itself
    std::size_t parts_left_ = 0;  ///< reports with further work that follow, each with the next sequence number
    bool continues_ = false;      ///< adds to the work of the report with the sequence number before
};

/// @brief Another VM, with the contents of its last load report.
struct vm_peer
{
    socket_address address_;
    incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    time_point heard_at_;
    std::vector<reported_work> work_;  ///< while a report in several parts arrives, also what may have ended since
    configuration_version version_;
    bool log_reachable_ = false;
    log_position server_list_end_;  ///< the VM knows the server list up to, but not including, this position
    data_centre_id data_centre_;
    transit_clock transit_;
    std::vector<reported_work> arrived_work_ = {};  ///< work of the report of which further parts are awaited
    std::size_t parts_awaited_ = 0;
};

/// @brief The other VMs by id.
struct vm_peers
{
    std::map<vm_id, vm_peer> peers_;
    std::size_t max_vms_reported_ = 0;  ///< largest VM count reported by another VM
};

/// @brief The number of known VMs, including this one. VMs of other cells that started later are known only from the
/// counts that other VMs report.
[[nodiscard]] std::size_t known_vms(const vm_peers& peers);

/// @brief How much longer than usual @a report took to arrive and to be handled.
/// @param clock this VM's clock now, which goes on while the VM is suspended
[[nodiscard]] milliseconds time_in_transit(vm_peers& peers, const load_report& report, std::chrono::nanoseconds clock);

/// @brief Removes the load reports that are followed by a later one of the same VM. Reports that carry no load stay.
void drop_superseded(std::vector<load_report>& reports);

/// @brief Adds @a delay to the ages in @a report, so that they hold at the time when the report is handled.
void add_delay(load_report& report, milliseconds delay);

/// @brief Splits @a report so that each part has at most @a work_per_part requests. All requests have to be reported:
/// engines whose requests a VM does not know look free to it.
[[nodiscard]] std::vector<load_report> split_work(load_report report, std::size_t work_per_part);

/// @brief Applies @a report to @a peers and @a load. What a report in several parts does not list any more is removed
/// with its last part; when a part is lost, the rest waits for the next report.
/// @param now when the report arrived, without the time for which it waited to be handled
/// @return false when the report is not newer than the last one applied
bool apply_report(vm_peers& peers, fleet_load& load, const load_report& report, time_point now);

/// @brief Adds a VM whose address is known but that has not sent a report yet.
void add_peer(vm_peers& peers, const vm_id& id, const socket_address& address, time_point now);

/// @brief The position, from 0, of this VM in the order in which the live VMs read the platform's log: first those that
/// can read it, then the others. All VMs compute the same order.
/// @param reachable whether this VM can read the log
/// @param limit a VM that has been silent for this long is not counted
[[nodiscard]] std::size_t log_reader_position(const vm_peers& peers, const vm_id& self, bool reachable,
                                              milliseconds limit, time_point now);

/// @brief The smallest position from which a VM lacks changes of the server list, or @a own_next when none does. VMs
/// that have been silent for @a limit or have not read the list yet are not counted.
[[nodiscard]] log_position oldest_missing_position(const vm_peers& peers, log_position own_next, milliseconds limit,
                                                   time_point now);

/// @brief The highest routing table version that another VM has.
[[nodiscard]] configuration_version newest_peer_version(const vm_peers& peers);

/// @brief Drops the load of VMs that have been silent for @a limit: their process counts as ended, and its requests
/// with it.
/// @return the VMs whose load was dropped
std::vector<vm_id> drop_load_of_silent_peers(vm_peers& peers, fleet_load& load, milliseconds limit, time_point now);

}  // namespace cornelstall
