#include "cornelstall/decisions/process/server_limits.hpp"

namespace cornelstall
{

limit_change record_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                          request_rate limit, time_point now)
{
    const auto [found, inserted] = limits.limits_.try_emplace(server);
    auto& known = found->second;
    const bool is_new = inserted || known.started_at_ms_ != started_at_ms;
    const bool changed = is_new || known.limit_ != limit;
    if (is_new)
    {
        known = server_limit{};
        known.started_at_ms_ = started_at_ms;
        known.known_since_ = now;
    }
    known.limit_ = limit;
    known.stated_at_ = now;
    return changed ? limit_change::named : limit_change::none;
}

limit_change record_no_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                             time_point sent_at)
{
    const auto found = limits.limits_.find(server);
    if (found == limits.limits_.end() || found->second.started_at_ms_ != started_at_ms ||
        sent_at < found->second.known_since_)
    {
        return limit_change::none;
    }
    limits.limits_.erase(found);
    return limit_change::ended;
}

}  // namespace cornelstall
