#pragma once

#include <string>
#include <vector>

#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The platform's log service.
struct log_service
{
    std::string base_url_;  ///< `http://ip:port`; empty when there is none
    milliseconds append_timeout_{2000};
    milliseconds read_timeout_{3000};  ///< besides the time of a long poll
};

/// @brief One record of a stream.
struct log_record
{
    log_offset offset_;
    std::string data_;
};

/// @brief A page of records read from a stream.
struct log_page
{
    std::vector<log_record> records_;
    log_offset oldest_;  ///< the oldest record that the service still holds
    log_offset next_;    ///< the offset that the next append gets
    milliseconds retention_{0};
};

/// @brief Error ids of log calls, besides those of `make_call`.
inline constexpr int log_refused = 211;    ///< outage or rate limit: the records were not appended
inline constexpr int log_malformed = 212;  ///< the answer is not valid

/// @brief Appends @a records to @a stream in one call.
/// @return the offset of the first of them
/// @throws connection_error `log_refused` when nothing was appended; any other id leaves it unknown
[[nodiscard]] task<log_offset> append(log_service service, std::string stream, std::vector<std::string> records);

/// @brief Reads up to @a limit records of @a stream, beginning at @a from.
/// @param wait how long the service waits for a first record
/// @throws connection_error
[[nodiscard]] task<log_page> read(log_service service, std::string stream, log_offset from, int limit,
                                  milliseconds wait);

}  // namespace cornelstall
