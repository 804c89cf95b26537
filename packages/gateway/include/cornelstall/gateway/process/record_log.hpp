#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/decisions.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief A record of a compacted topic, which keeps the newest record of each key.
struct keyed_record
{
    std::string key_;
    std::string value_;
    bool removed_ = false;  ///< the record deletes its key
    log_position position_;
};

/// @brief The result of a read of a topic.
struct record_page
{
    bool reached_ = false;  ///< the log answered
    bool expired_ = false;  ///< the log no longer has the requested records
    bool complete_ = true;  ///< false when the log has more of the newest records but did not send them
    std::vector<keyed_record> records_;
    /// First position covered by a read of changes; above the requested one when records were discarded.
    log_position first_;
    log_position next_;           ///< one past the last position covered by this read
    log_position end_;            ///< one past the last position of the log when it answered; the first when not stated
    std::optional<log_era> era_;  ///< that the log stated; nothing when it stated none, or none that can be read
};

/// @brief The result of an append to a topic.
struct append_result
{
    bool acknowledged_ = false;   ///< false when the log did not confirm the append, which may still have taken place
    std::optional<log_era> era_;  ///< as in `record_page`
};

/// @brief Access to a topic of the platform's log.
struct record_log
{
    std::function<task<record_page>()> read_newest_;  ///< reads the newest record of every key
    /// Reads the records from a position on. A page of another era than that of the position starts at the offset in
    /// its own era, which may have other records there. Waits up to the given time for the first one.
    std::function<task<record_page>(log_position, milliseconds)> read_from_;
    std::function<task<append_result>(std::string key, std::string value)> append_;  ///< appends a value for a key
};

}  // namespace cornelstall
