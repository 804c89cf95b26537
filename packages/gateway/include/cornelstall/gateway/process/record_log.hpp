#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cornelstall/decisions.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief A record of a topic that keeps the newest record of each key.
struct keyed_record
{
    std::string key_;
    std::string value_;
    bool removed_ = false;  ///< the key was dropped
    log_offset offset_;
};

/// @brief What a read of a topic brought.
struct record_page
{
    bool reached_ = false;  ///< the log answered
    bool expired_ = false;  ///< the log no longer has the records asked for
    std::vector<keyed_record> records_;
    log_offset next_;  ///< offset after the last record that is covered
};

/// @brief A topic of the platform's log.
struct record_log
{
    std::function<task<record_page>()> newest_;  ///< the newest record of every key
    /// Records from an offset; waits up to the given time for the first one.
    std::function<task<record_page>(log_offset, milliseconds)> read_;
    /// Appends the value of a key; false when it is not certain that it was appended.
    std::function<task<bool>(std::string key, std::string value)> append_;
};

}  // namespace cornelstall
