#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The newest record about the evacuation of a data centre.
struct evacuation_record
{
    log_position position_;
    bool evacuated_ = false;  ///< false when the record removes the evacuation request
};

/// @brief The evacuation requests that are in force: those of the log's records before `known_end_`, and of later ones
/// that a read has shown already.
struct evacuations
{
    /// Removed requests are kept only while their record is not covered by `known_end_`.
    std::map<data_centre_id, evacuation_record> records_;
    log_position known_end_;                        ///< every record before this position is taken into account
    std::map<data_centre_id, log_position> ended_;  ///< the last removals of requests, for a log that forgets them
    std::vector<log_position> former_ends_;         ///< `known_end_` in earlier eras of the log, the latest last
    /// Set after a return of the log from a copy: records before this position may be from the copy.
    std::optional<log_position> first_end_;
    /// Requests that the log showed after its return although their removal is known.
    std::map<data_centre_id, log_position> doubted_;
    bool known_ = false;  ///< a whole read of the log or another VM's report has been applied
};

/// @brief A record about the evacuation of a data centre, with its place in the log.
struct evacuation_entry
{
    data_centre_id data_centre_;
    log_position position_;
    bool evacuated_ = false;
};

/// @brief The evacuation requests that were in force at one place of the log. A request of the same era that is not
/// listed was not in force there. A request of an earlier era may have been lost by the log and stays in force.
struct evacuation_snapshot
{
    log_position end_;  ///< covers every record before this position
    std::vector<evacuation_entry> entries_;
};

/// @brief Records that the log has come back from a copy when @a end is of a later era than what is known.
/// @param end the end of the first read of the later era; what stands before it may be from the copy
void begin_era(evacuations& known, log_position end);

/// @brief Puts the doubted requests in force: the log still has them although their removal could have been written
/// again.
/// @return the changes
[[nodiscard]] std::vector<evacuation_entry> settle_evacuations(evacuations& known);

/// @brief Applies the record at @a position. A record that is already taken into account changes nothing,
/// and a request whose removal is known is doubted when it may be from a copy.
/// @return true when the data centre became evacuated or is evacuated no longer
bool apply_evacuation(evacuations& known, const data_centre_id& data_centre, log_position position, bool evacuated);

/// @brief Records that all records before @a end have been applied.
void confirm_evacuations(evacuations& known, log_position end);

/// @brief Applies a whole read of the newest records. A request that is not among them counts as removed by the
/// position before the end of the read. A read that ends before `known_end_` is late: only its records from there on
/// count.
/// @return the changes of data centres that became evacuated or are evacuated no longer
[[nodiscard]] std::vector<evacuation_entry> apply_full_evacuation_read(evacuations& known,
                                                                       const evacuation_snapshot& read);

/// @brief Applies what another VM reported, like a whole read of the log. A report of another era than what is known
/// changes nothing: only an own read shows what the log has after its return.
/// @return the changes of data centres that became evacuated or are evacuated no longer
[[nodiscard]] std::vector<evacuation_entry> merge_reported(evacuations& known, const evacuation_snapshot& reported);

/// @brief What this VM reports to the others.
/// @param limit size that the entries may take in an encoded report
/// @return nothing when nothing is known yet, requests are doubted or the entries do not fit: a part of them would read
/// as the removal of the others
[[nodiscard]] std::optional<evacuation_snapshot> to_report(const evacuations& known, byte_count limit);

/// @brief True when nothing may be sent to the servers of @a data_centre.
[[nodiscard]] bool is_evacuated(const evacuations& known, const data_centre_id& data_centre);

/// @brief The number of evacuated data centres.
[[nodiscard]] std::size_t count_evacuated(const evacuations& known);

}  // namespace cornelstall
