#include "cornelstall/decisions/process/server_directory.hpp"

#include <algorithm>
#include <ranges>

namespace cornelstall
{

namespace
{

/// A first failure may be the request's own; the pause doubles when failures go on.
constexpr milliseconds first_avoidance{250};
/// A dead server is tried again once in this time; its entry lapses after three heartbeats anyway.
constexpr milliseconds longest_avoidance{4000};
/// A full server frees a slot within the time of a few passes.
constexpr milliseconds full_avoidance{60};

/// Ratios of which the smallest sets the pace; about a quarter of a second of one stream.
constexpr int ratios_for_pace = 4;
/// Smaller ratios come from work that this VM does not know yet, not from the server.
constexpr double least_slow_pace = 2.0;
constexpr double slowest_pace = 16.0;

}  // namespace

bool upsert_listed_server(server_directory& directory, listed_server entry, log_offset at, time_point now)
{
    const auto removed = directory.removed_.find(entry.id_);
    if (removed != directory.removed_.end())
    {
        if (at <= removed->second)
        {
            return false;
        }
        directory.removed_.erase(removed);
    }
    auto [found, inserted] = directory.servers_.try_emplace(entry.id_);
    auto& server = found->second;
    if (!inserted && at < server.listed_at_)
    {
        return false;
    }
    const bool restarted = !inserted && (entry.started_at_ms_ != server.listed_.started_at_ms_ ||
                                         entry.address_ != server.listed_.address_);
    if (restarted)
    {
        server = known_server{};
    }
    const bool changed = inserted || restarted || entry.state_ != server.listed_.state_;
    server.listed_at_ = at;
    server.cold_until_ = now + entry.cold_remaining_;
    server.listed_ = std::move(entry);
    return changed;
}

bool remove_listed_server(server_directory& directory, const server_id& id, log_offset at)
{
    const auto found = directory.servers_.find(id);
    if (found != directory.servers_.end() && at < found->second.listed_at_)
    {
        return false;
    }
    directory.removed_[id] = at;
    return directory.servers_.erase(id) > 0;
}

known_server* find_server(server_directory& directory, const server_id& id)
{
    const auto found = directory.servers_.find(id);
    return found == directory.servers_.end() ? nullptr : &found->second;
}

void record_failure(known_server& server, time_point now)
{
    server.avoid_step_ = std::clamp(server.avoid_step_ * 2, first_avoidance, longest_avoidance);
    server.avoid_until_ = now + server.avoid_step_;
    ++server.failures_in_a_row_;
}

void record_full(known_server& server, time_point now)
{
    server.avoid_until_ = std::max(server.avoid_until_, now + full_avoidance);
}

void record_pass_ratio(known_server& server, double ratio)
{
    server.least_ratio_ = server.ratios_ == 0 ? ratio : std::min(server.least_ratio_, ratio);
    if (++server.ratios_ >= ratios_for_pace)
    {
        server.slowdown_ = server.least_ratio_ < least_slow_pace ? 1.0 : std::min(server.least_ratio_, slowest_pace);
        server.ratios_ = 0;
    }
}

void record_success(known_server& server)
{
    server.failures_in_a_row_ = 0;
    server.avoid_step_ = milliseconds{0};
    server.avoid_until_ = time_point{};
}

std::vector<known_server*> ready_servers(server_directory& directory, const service_id& service)
{
    std::vector<known_server*> ready;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](known_server& server) {
        if (server.listed_.service_ == service && server.listed_.state_ == server_state::ready)
        {
            ready.push_back(&server);
        }
    });
    return ready;
}

bool any_ready(const server_directory& directory)
{
    return std::ranges::any_of(directory.servers_ | std::views::values,
                               [](const known_server& server) { return server.listed_.state_ == server_state::ready; });
}

}  // namespace cornelstall
