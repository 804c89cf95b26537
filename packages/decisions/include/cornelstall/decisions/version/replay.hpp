#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "cornelstall/decisions/version/ordering.hpp"

namespace cornelstall
{

/// @brief Progress of a reader through the stream. It reads records in order, or searches for a snapshot when records
/// that it needs have been deleted from the log.
struct configuration_replay
{
    configuration_state state_;
    snapshot_assembly assembly_;
    log_offset snapshot_search_offset_;   ///< next offset to search; 0 while reading in order
    log_offset newest_snapshot_;          ///< offset of the last part of the newest complete snapshot read; 0 if none
    std::uint64_t malformed_ = 0;         ///< number of records skipped because they could not be decoded
    std::uint64_t rejected_changes_ = 0;  ///< number of publications rejected because of a stale base
    std::uint64_t records_missed_ = 0;    ///< number of times that records were deleted before they were read
};

/// @brief Returns the offset to read next.
[[nodiscard]] log_offset next_read_offset(const configuration_replay& replay);

/// @brief Returns true when all records up to the head of the stream have been read.
/// @param head the offset that the next appended record will get
[[nodiscard]] bool is_caught_up(const configuration_replay& replay, log_offset head);

/// @brief Applies a page read from `next_read_offset`. After a gap in the records, changes are skipped until a snapshot
/// covers the gap. Until then the active configuration remains unchanged.
/// @param entries in order of their offsets
/// @param oldest offset of the oldest record that the log retains
void apply_page(configuration_replay& replay, std::span<const configuration_entry> entries, log_offset oldest,
                const parse_function& parse);

/// @brief Returns the time at which a reader appends the next snapshot.
/// @param seen when the reader read the newest snapshot, or first reached the head of the stream
/// @param retention how long the log retains a record
/// @param age_known false when that snapshot was appended at an unknown earlier time
/// @param spread 0 to 1, different for each reader, so that usually one reader appends a snapshot and the others read
/// it before they are due
[[nodiscard]] time_point next_snapshot_time(time_point seen, milliseconds retention, bool age_known, double spread);

}  // namespace cornelstall
