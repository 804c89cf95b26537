#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

struct gateway_state;

/// @brief Source of a change that this VM has read from the log itself.
inline constexpr const char* log_read = "log";

/// @brief A change of the server list that is still sent to other VMs.
struct recent_change
{
    time_point seen_at_;
    server_list_change change_;
};

/// @brief A removal that is not applied yet, because the entry may only have expired in an outage of the log.
struct deferred_removal
{
    log_position at_;
    time_point due_at_;
    bool after_return_ = false;  ///< the log may have lost the entry when it came back from a copy
};

/// @brief A return of the log from an older copy.
struct list_return
{
    /// End of the first full list that was read after the return. What stands before it may be from the copy.
    log_position first_end_;
    std::chrono::nanoseconds read_at_{0};  ///< boot time of that read
};

/// @brief Log updates of other VMs since the list was last confirmed, by what became of them.
struct update_counts
{
    std::uint32_t applied_ = 0;       ///< confirmed the list or added changes
    std::uint32_t out_of_order_ = 0;  ///< a later report of the VM had been received before
    std::uint32_t with_gap_ = 0;      ///< changes are missing before those of the update
    std::uint32_t without_age_ = 0;   ///< the sender has not read the log lately
    milliseconds longest_delay_{0};   ///< of a report until it was handled, beyond the usual time
};

/// @brief What this VM knows of the platform's server list from its own reads and from other VMs.
struct server_list
{
    bool listed_ = false;                           ///< the full list has been read once
    log_position next_;                             ///< one past the last known position
    std::chrono::nanoseconds confirmed_at_{0};      ///< boot time at which the list was last known to be up to date
    std::chrono::nanoseconds read_at_{0};           ///< boot time of this VM's last read of the log
    std::chrono::nanoseconds own_confirmed_at_{0};  ///< like `confirmed_at_`, from own reads only; reports carry it
    log_position changes_begin_;                    ///< `changes_` is complete from here to `next_`
    std::deque<recent_change> changes_;             ///< recent changes, ordered by position, for VMs that lack them
    std::optional<unread_span> unread_;             ///< positions that `changes_` spans without their records
    /// The records after the last full read have been read to their end. Before, servers may be missing or known that
    /// were removed or added at `next_` or later, while the pages of the full read were sent.
    bool is_exact_ = true;
    known_reads reads_;  ///< by this VM and by those whose reports it has received
    std::map<server_id, deferred_removal> deferred_removals_;
    std::optional<list_return> return_;  ///< the last one
    /// Entries of the list after the return that say less than was known before. They take effect when the log still
    /// has them after the time in which the entries of servers that are gone expire.
    std::map<server_id, server_list_change> doubted_;
    update_counts updates_;  ///< since the list was last confirmed
};

/// @brief Applies a change that was read from the log or received from another VM, unless the list is known beyond it:
/// an answer of the log may arrive after reports that reach further.
/// @param source the VM whose report contained the change, or `log_read`; logged
void apply_change(gateway_state& state, const server_list_change& change, const std::string& source = log_read);

/// @brief Applies a read of the full list and removes the known servers that are not in it. After a return of the log
/// from a copy, a ready server that is missing is removed only if its entry is not written again within the grace
/// period, and an entry that says less than is known is doubted.
/// @param listed all ids in the list, including those whose entries cannot be decoded
/// @param next one past the last position covered by the read
/// @param known_before end of the known list when the read was requested. A read that ends after it, but before what
/// has become known since, is ignored.
void apply_full_list(gateway_state& state, std::vector<server_list_change> entries, const std::set<server_id>& listed,
                     log_position next, log_position known_before = {});

/// @brief Records that the log has just answered a read of this VM that was sent at @a requested_at, before what was
/// read is applied. If no VM had read the list for some time, removals are deferred for a grace period: servers could
/// not renew their entries during the outage either.
void record_list_read(gateway_state& state, std::chrono::nanoseconds requested_at);

/// @brief Applies the entries that the log had when it came back from a copy and that it still has when the entries of
/// servers that are gone have expired, although they say less than was known before.
void apply_doubted_entries(gateway_state& state);

/// @brief Removes the servers that have not renewed their entries within the grace period, unless the log is away
/// again, and those whose removal was deferred for an outage that there was not, as other VMs have reported since.
void apply_deferred_removals(gateway_state& state);

/// @brief Records that the list is known up to, but not including, @a next and was up to date at @a confirmed_at.
void confirm_list(gateway_state& state, log_position next, std::chrono::nanoseconds confirmed_at);

/// @brief Records a confirmation, as confirm_list() does, by a read of this VM itself.
void confirm_list_read(gateway_state& state, log_position next, std::chrono::nanoseconds confirmed_at);

/// @brief Records that a read of this VM itself confirmed the active routing table and the evacuation requests at
/// @a confirmed_at.
void confirm_table_read(gateway_state& state, std::chrono::nanoseconds confirmed_at);

/// @brief Builds the log update that this VM sends to the other VMs, and drops changes past their retention time.
[[nodiscard]] log_update make_log_update(gateway_state& state);

/// @brief Applies a log update of another VM. Its changes are applied only when they leave no gap after the changes
/// that are known here.
/// @param version routing table version of the sender; the table age in @a update is used only if this VM has the same
/// version
/// @param source the sender; logged
void apply_log_update(gateway_state& state, const log_update& update, configuration_version version,
                      const vm_id& source = {});

/// @brief Time since the list was last known to be up to date.
[[nodiscard]] milliseconds server_list_age(const gateway_state& state);

/// @brief Logs why this VM has to read the list itself, although other VMs read it and report it.
void log_missing_updates(const gateway_state& state);

/// @brief The position, from 0, of this VM among the VMs that can read the log.
[[nodiscard]] std::size_t own_reader_position(const gateway_state& state);

/// @brief True when data last confirmed at @a confirmed_at (boot time) is so old that this VM must read the log itself.
[[nodiscard]] bool is_read_due(const gateway_state& state, std::chrono::nanoseconds confirmed_at);

}  // namespace cornelstall
