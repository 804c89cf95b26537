#pragma once

#include <functional>
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
    log_offset offset_;
};

/// @brief The result of a read of a topic.
struct record_page
{
    bool reached_ = false;  ///< the log answered
    bool expired_ = false;  ///< the log no longer has the requested records
    bool complete_ = true;  ///< false when the log has more of the newest records but did not send them
    std::vector<keyed_record> records_;
    /// First offset covered by a read of changes; above the requested one when records were discarded.
    log_offset first_;
    log_offset next_;  ///< one past the last offset covered by this read
    log_offset end_;   ///< one past the last offset of the log when it answered; 0 when not stated
};

/// @brief Access to a topic of the platform's log.
struct record_log
{
    std::function<task<record_page>()> read_newest_;  ///< reads the newest record of every key
    /// Reads the records from an offset on; waits up to the given time for the first one.
    std::function<task<record_page>(log_offset, milliseconds)> read_from_;
    /// Appends a value for a key; false when the log did not confirm the append, which may still have taken place.
    std::function<task<bool>(std::string key, std::string value)> append_;
};

}  // namespace cornelstall
