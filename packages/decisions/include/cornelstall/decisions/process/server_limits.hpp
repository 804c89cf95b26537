#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @file
/// Limits that servers name in their answers: the rate of requests that a server takes from all VMs together. A limit
/// holds for one lifetime of the server and as long as its answers name it. Each VM that may send to the server has a
/// share of the rate (`limit_share`), so that no VM has to ask another one before it sends.

/// @brief The part of a limit that one VM may use.
struct limit_share
{
    request_rate rate_;   ///< 0 when other VMs send to the server
    double burst_ = 0.0;  ///< requests that may be sent at once after a pause

    friend bool operator==(const limit_share&, const limit_share&) = default;
};

/// @brief The limit of one server.
struct server_limit
{
    std::uint64_t started_at_ms_ = 0;  ///< lifetime of the server that the limit holds for
    request_rate limit_;
    time_point known_since_;  ///< when this VM learned that the server has a limit
    time_point stated_at_;    ///< when the server last named it, as far as known
    limit_share share_;
    double allowance_ = 0.0;   ///< requests that this VM may send, as of `allowance_at_`
    time_point allowance_at_;  ///< the time point of `allowance_`
    time_point refreshed_at_;  ///< when the other VMs were last to be told that the limit still holds
    time_point report_until_;  ///< reported to the other VMs until then
};

/// @brief A limit that has ended.
struct ended_limit
{
    std::uint64_t started_at_ms_ = 0;
    time_point ended_at_;
    time_point report_until_;
};

/// @brief The servers with a limit, and those whose limit has ended lately.
struct server_limits
{
    std::map<server_id, server_limit> limits_;
    std::map<server_id, ended_limit> ended_;
};

/// @brief What a VM reports about the limit of a server.
struct reported_limit
{
    server_id server_;
    std::uint64_t started_at_ms_ = 0;
    std::optional<request_rate> limit_;  ///< nothing when the limit has ended
    time_point stated_at_;
};

/// @brief How an answer or a report changes what is known about the limit of a server.
enum class limit_change
{
    none,
    named,  ///< the server has named a limit, or another one than before
    ended   ///< the server takes any rate again
};

/// @brief A server whose limit has changed.
struct changed_limit
{
    server_id server_;
    limit_change change_ = limit_change::none;
    std::optional<request_rate> limit_;
};

/// @brief Records that an answer of @a server named @a limit.
limit_change record_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                          request_rate limit, time_point now);

/// @brief Records that an answer of @a server named no limit. That ends a limit only if the request was sent, at
/// @a sent_at, when the limit was known: an answer from before the limit may arrive after one that names it.
limit_change record_no_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                             time_point sent_at, time_point now);

/// @brief Merges what another VM reports; the latest statement of a server holds.
/// @return the servers whose limit has changed
std::vector<changed_limit> merge_reported_limits(server_limits& limits, const std::vector<reported_limit>& reported,
                                                 time_point now);

/// @brief What to report to the other VMs.
[[nodiscard]] std::vector<reported_limit> limits_to_report(const server_limits& limits, time_point now);

/// @brief Drops limits that no answer or report has confirmed for minutes.
void drop_old_limits(server_limits& limits, time_point now);

/// @brief Sets the share of this VM. What it may send now is kept, up to the new burst.
void set_share(server_limit& limit, const limit_share& share, time_point now);

/// @brief Lets this VM begin with the part @a part of its burst, from 0 to 1. VMs that begin with different parts do
/// not send in the same moment.
void start_allowance(server_limit& limit, double part, time_point now);

/// @brief Time until this VM may send a request; nothing when it has no share.
[[nodiscard]] std::optional<milliseconds> time_until_allowed(const server_limit& limit, time_point now);

/// @brief Takes one request from what this VM may send.
/// @return false when it may not send now
[[nodiscard]] bool take_allowance(server_limit& limit, time_point now);

}  // namespace cornelstall
