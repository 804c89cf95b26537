#pragma once

#include <map>
#include <optional>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @file
/// Limits that servers name in their answers: the rate of requests that a server takes from all VMs together. A limit
/// holds for one lifetime of the server and as long as its answers name it.

/// @brief The limit of one server.
struct server_limit
{
    std::uint64_t started_at_ms_ = 0;  ///< lifetime of the server that the limit holds for
    request_rate limit_;
    time_point known_since_;  ///< when this VM learned that the server has a limit
    time_point stated_at_;    ///< when the server last named it, as far as known
};

/// @brief The servers with a limit.
struct server_limits
{
    std::map<server_id, server_limit> limits_;
};

/// @brief How an answer changes what is known about the limit of its server.
enum class limit_change
{
    none,
    named,  ///< the server has named a limit, or another one than before
    ended   ///< the server takes any rate again
};

/// @brief Records that an answer of @a server named @a limit.
limit_change record_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                          request_rate limit, time_point now);

/// @brief Records that an answer of @a server named no limit. That ends a limit only if the request was sent, at
/// @a sent_at, when the limit was known: an answer from before the limit may arrive after one that names it.
limit_change record_no_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                             time_point sent_at);

}  // namespace cornelstall
