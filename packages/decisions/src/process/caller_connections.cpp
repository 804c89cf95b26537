#include "cornelstall/decisions/process/caller_connections.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// A request that has been arriving for longer is stalled; a body of 4 MiB at 40 Mbit/s takes less.
constexpr milliseconds slow_request_time{1000};

/// The connection that has been in @a stage for longest, for at least @a least.
std::optional<connection_id> longest_in(const caller_connections& all, connection_stage stage, milliseconds least,
                                        time_point now)
{
    std::optional<connection_id> chosen;
    auto longest = time_point::max();
    std::ranges::for_each(all.connections_, [&](const auto& entry) {
        const auto& [id, connection] = entry;
        if (connection.stage_ == stage && now - connection.since_ >= least && connection.since_ < longest)
        {
            longest = connection.since_;
            chosen = id;
        }
    });
    return chosen;
}

}  // namespace

connection_id open_connection(caller_connections& all, time_point now)
{
    const auto id = all.next_id_;
    all.next_id_ += connection_id{1};
    all.connections_[id].since_ = now;
    return id;
}

void set_stage(caller_connections& all, connection_id id, connection_stage stage, time_point now)
{
    const auto found = all.connections_.find(id);
    if (found != all.connections_.end())
    {
        found->second = {stage, now};
    }
}

void close_connection(caller_connections& all, connection_id id)
{
    all.connections_.erase(id);
}

std::optional<connection_id> choose_connection_to_close(const caller_connections& all, time_point now)
{
    if (all.connections_.size() <= all.limit_)
    {
        return std::nullopt;
    }
    if (const auto slow = longest_in(all, connection_stage::reading, slow_request_time, now))
    {
        return slow;
    }
    if (const auto idle = longest_in(all, connection_stage::idle, milliseconds{0}, now))
    {
        return idle;
    }
    return all.connections_.rbegin()->first;
}

}  // namespace cornelstall
