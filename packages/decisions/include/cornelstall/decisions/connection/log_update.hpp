#pragma once

#include <optional>
#include <vector>

#include "cornelstall/decisions/process/server_directory.hpp"

namespace cornelstall
{

/// @brief One change of the server list.
struct server_list_change
{
    listed_server server_;  ///< only the id is meaningful when the server was removed
    bool removed_ = false;
    log_position at_;  ///< position of the record
};

/// @brief Positions whose records a VM has not read, because the log no longer had them when the VM came back to it.
/// Its changes with these positions are the difference between the lists before and after, which has no trace of a
/// server that was added and removed in between. They hold only for a VM that knows the list exactly up to `begin_` or
/// less.
struct unread_span
{
    log_position begin_;  ///< first position
    log_position end_;    ///< one past the last position
};

/// @brief A span of reads of the log without an outage, as `known_reads`.
struct reported_reads
{
    milliseconds since_age_{0};
    milliseconds until_age_{0};
};

/// @brief What a VM has read from the platform's log, as sent to the other VMs.
struct log_update
{
    bool log_reachable_ = false;                     ///< the last read of the VM succeeded
    std::optional<milliseconds> routing_table_age_;  ///< time since its routing table was last known to be up to date
    /// The evacuation requests in force, as old as the routing table at most. Without them the age of the routing table
    /// says nothing about evacuations.
    std::optional<evacuation_snapshot> evacuations_;
    std::optional<milliseconds> server_list_age_;  ///< time since its server list was last known to be up to date
    log_position changes_begin_;                   ///< first position covered by `changes_`
    log_position changes_end_;                     ///< one past the last position covered by `changes_`
    std::vector<server_list_change> changes_;      ///< ordered by position
    std::optional<unread_span> unread_;            ///< within `changes_begin_` to `changes_end_`
    log_position server_list_end_;  ///< one past the last position known to the VM, from the log or from other VMs
    std::optional<reported_reads> reads_;
    /// How long the sender still defers removals after an outage. VMs of former releases, which report no reads, and
    /// this value say that an outage came before the reads.
    milliseconds removal_grace_{0};
};

/// @brief When a removal that was learned at @a learned_at is applied although the entry may only have expired in an
/// outage of the log: at the end of the grace period, but early enough that no request is sent after @a bound.
[[nodiscard]] time_point removal_due(time_point learned_at, time_point grace_end, milliseconds bound);

/// @brief The data age at which the VM at @a position reads the log itself. Later positions wait longer, so that one
/// read serves all VMs while the first readers are alive.
/// @param bound age that the data must not exceed
[[nodiscard]] milliseconds log_poll_delay(std::size_t position, milliseconds bound);

/// @brief Longest delay between failed reads of the log by the VM at @a position. The first two, which have to notice
/// when the log is back, wait for at most @a reader_limit. The others follow the reports of these two, but they are
/// never asleep for longer than a VM may go without reading: the log may be back for them alone.
/// @param bound age that the data must not exceed
[[nodiscard]] milliseconds max_failed_read_delay(std::size_t position, milliseconds reader_limit, milliseconds bound);

/// @brief True when the changes of @a update bring a VM that knows the list exactly up to @a known_end to the list at
/// `changes_end_`.
[[nodiscard]] bool can_follow(const log_update& update, log_position known_end);

/// @brief Gives the positions of an update without an era, from a VM of a former release, the era @a era.
void assume_era(log_update& update, log_era era);

/// @brief Removes what @a update says of positions in the log and of how new the data are, when the era of its
/// positions is not known.
void drop_positions(log_update& update);

/// @brief Splits @a update into parts of at most @a max_changes changes with contiguous ranges of positions. Only the
/// last part has the age of the server list, because the others do not reach its end. The changes of unread positions
/// stay in one part, because a VM must not apply some of them; when they are too many for that, the parts begin after
/// them.
[[nodiscard]] std::vector<log_update> split_log_update(const log_update& update, std::size_t max_changes);

/// @brief Removes the changes before @a from and moves `changes_begin_` there, or to the end of the unread positions
/// that @a from is within.
void drop_changes_before(log_update& update, log_position from);

}  // namespace cornelstall
