#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "cornelstall/decisions/version/ordering.hpp"

namespace cornelstall
{

/// @brief One reader's way through the stream: in order, or in search of a snapshot when records that it needs are
/// gone.
struct configuration_replay
{
    configuration_state state_;
    snapshot_assembly assembly_;
    log_offset snapshot_search_offset_;   ///< next record to search for a snapshot; 0 while reading in order
    log_offset newest_snapshot_;          ///< offset of the last part of the newest whole snapshot read; 0 for none
    std::uint64_t malformed_ = 0;         ///< records skipped because they could not be read
    std::uint64_t rejected_changes_ = 0;  ///< publications that were void
    std::uint64_t records_missed_ = 0;    ///< times that records were gone before they were read
};

/// @brief The offset to read next.
[[nodiscard]] log_offset next_read_offset(const configuration_replay& replay);

/// @brief True when nothing up to the head of the stream is unread.
/// @param head the offset that the next append gets
[[nodiscard]] bool is_caught_up(const configuration_replay& replay, log_offset head);

/// @brief Applies one page that was read from `next_read_offset`. While records are missing, changes are passed over
/// until a snapshot bridges the gap; the state in force stays as it is meanwhile.
/// @param entries in order of their offsets
/// @param oldest the oldest record that the log still holds
void apply_page(configuration_replay& replay, std::span<const configuration_entry> entries, log_offset oldest,
                const parse_function& parse);

/// @brief When a reader appends a snapshot.
/// @param seen when it read the newest snapshot, or the head for the first time
/// @param age_known false when the snapshot was appended at an unknown time before
/// @param spread 0 to 1, different for each reader, so that usually one appends and the others see its snapshot
[[nodiscard]] time_point next_snapshot_time(time_point seen, milliseconds retention, bool age_known, double spread);

}  // namespace cornelstall
