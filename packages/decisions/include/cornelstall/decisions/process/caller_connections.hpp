#pragma once

#include <map>
#include <optional>

#include "cornelstall/value.hpp"

namespace cornelstall
{

namespace detail
{
struct connection_tag;
}  // namespace detail

/// @file
/// The bound on callers' connections. Answers the load of callers that open connections and leave them open: a new
/// caller finds a place as long as another connection does nothing.

/// @brief Identifies a caller's connection among those of the process.
using connection_id = strong_number<detail::connection_tag, std::uint64_t>;

/// @brief What a caller's connection is doing.
enum class connection_stage
{
    idle,     ///< no byte of a request has arrived since the last answer
    reading,  ///< a request is arriving
    serving   ///< a request is being served
};

/// @brief The stage of a connection and when it began.
struct connection_entry
{
    connection_stage stage_ = connection_stage::idle;
    time_point since_;
};

/// @brief The callers' connections of the process.
struct caller_connections
{
    std::size_t limit_ = 1024;
    connection_id next_id_{1};
    std::map<connection_id, connection_entry> connections_;
};

/// @brief Adds a connection.
[[nodiscard]] connection_id open_connection(caller_connections& all, time_point now);

/// @brief Records that the connection @a id does something else now.
void set_stage(caller_connections& all, connection_id id, connection_stage stage, time_point now);

/// @brief Removes a connection.
void close_connection(caller_connections& all, connection_id id);

/// @brief The connection to close so that the open ones are within the limit: the one whose request has been arriving
/// for longest, if that is longer than a request of usual size takes; otherwise the one that has been idle for longest;
/// otherwise the newest. A connection whose request is being served is never closed unless all others are, too.
/// @return nothing when the limit is kept
[[nodiscard]] std::optional<connection_id> choose_connection_to_close(const caller_connections& all, time_point now);

}  // namespace cornelstall
