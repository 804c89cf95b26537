#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cornelstall/decisions/version/replay.hpp"
#include "cornelstall/runtime/connection/log_connection.hpp"

namespace cornelstall
{

/// @brief Access to the stream `configuration`. Both functions throw connection_error as `read` and `append` do.
struct configuration_log
{
    std::function<task<log_page>(log_offset from, int limit, milliseconds wait)> read_;
    std::function<task<log_offset>(std::vector<std::string> records)> append_;
};

/// @brief The stream of the platform's log service.
[[nodiscard]] configuration_log configuration_log_of(const log_service& service);

/// @brief Decodes the records of a page; one that cannot be read becomes a `malformed_record`.
[[nodiscard]] std::vector<configuration_entry> decode_page(const log_page& page);

/// @brief Bounds of reading.
struct page_settings
{
    int records_ = 32;              ///< a page is held in memory, at up to 1 MiB a record
    milliseconds poll_wait_{2000};  ///< how long the service holds a read at the head of the stream
};

/// @brief Reads one page from `next_read_offset` and applies it.
/// @param replay must outlive the task
/// @param wait how long the service waits for a first record
/// @return the page as read
/// @throws connection_error; the replay is then unchanged
[[nodiscard]] task<log_page> read_page(configuration_log log, configuration_replay& replay, parse_function parse,
                                       int records, milliseconds wait);

}  // namespace cornelstall
