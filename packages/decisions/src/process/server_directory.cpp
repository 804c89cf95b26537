#include "cornelstall/decisions/process/server_directory.hpp"

#include <algorithm>
#include <ranges>

namespace cornelstall
{

namespace
{

/// Short, because the first failure may be caused by the request itself; the backoff doubles with each further failure.
constexpr milliseconds initial_backoff{250};
/// A dead server is retried at this interval; its entry expires after three missed heartbeats anyway.
constexpr milliseconds max_backoff{4000};
/// A full server frees a slot within a few passes.
constexpr milliseconds full_backoff{60};

/// Number of pass ratios of which the smallest becomes the slowdown; one stream yields them in about 250 ms.
constexpr int ratios_per_update = 4;
/// Smaller ratios are caused by requests that this VM does not know yet, not by the server.
constexpr double min_slowdown = 2.0;
constexpr double max_slowdown = 16.0;
/// A longer pause is cut to this, so that one wrong answer does not close a server for good.
constexpr std::chrono::hours max_pause{1};

/// The notice about the lifetime of @a server. A notice about an earlier lifetime is discarded.
server_notice& notice_about(server_directory& directory, const listed_server& server)
{
    auto& notice = directory.notices_[server.id_];
    if (notice.started_at_ms_ != server.started_at_ms_ || notice.address_ != server.address_)
    {
        notice = server_notice{};
        notice.started_at_ms_ = server.started_at_ms_;
        notice.address_ = server.address_;
    }
    return notice;
}

/// The notice about the listed lifetime of @a server, or null.
const server_notice* find_notice(const server_directory& directory, const listed_server& server)
{
    const auto found = directory.notices_.find(server.id_);
    const bool applies = found != directory.notices_.end() && found->second.started_at_ms_ == server.started_at_ms_ &&
                         found->second.address_ == server.address_;
    return applies ? &found->second : nullptr;
}

/// True when @a server is the lifetime that is listed under its id, or when none is listed.
bool is_listed_lifetime(const server_directory& directory, const listed_server& server)
{
    const auto found = directory.servers_.find(server.id_);
    return found == directory.servers_.end() || (found->second.listed_.started_at_ms_ == server.started_at_ms_ &&
                                                 found->second.listed_.address_ == server.address_);
}

/// The limit of the listed lifetime of @a server, or null.
const server_limit* find_limit(const server_directory& directory, const listed_server& server)
{
    const auto found = directory.limits_.limits_.find(server.id_);
    const bool applies =
        found != directory.limits_.limits_.end() && found->second.started_at_ms_ == server.started_at_ms_;
    return applies ? &found->second : nullptr;
}

bool set_leaving(server_notice& notice, bool own, time_point now)
{
    const bool is_new = !notice.leaving_;
    notice.noted_at_ = is_new ? now : notice.noted_at_;
    notice.leaving_ = true;
    notice.own_ = notice.own_ || own;
    return is_new;
}

}  // namespace

bool is_newer_entry(const server_directory& directory, const server_id& id, log_position position)
{
    const auto removed = directory.removed_.find(id);
    const auto listed = directory.servers_.find(id);
    return (removed == directory.removed_.end() || removed->second.position_ < position) &&
           (listed == directory.servers_.end() || listed->second.record_position_ < position);
}

bool upsert_listed_server(server_directory& directory, listed_server entry, log_position position, time_point now)
{
    const auto removed = directory.removed_.find(entry.id_);
    if (removed != directory.removed_.end())
    {
        if (position <= removed->second.position_)
        {
            return false;
        }
        directory.removed_.erase(removed);
    }
    auto [found, inserted] = directory.servers_.try_emplace(entry.id_);
    auto& server = found->second;
    if (!inserted && position < server.record_position_)
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
    server.record_position_ = position;
    server.warm_up_until_ = now + entry.cold_remaining_;
    server.listed_ = std::move(entry);
    return changed;
}

bool may_be_outdated(const server_directory& directory, const listed_server& entry)
{
    const auto listed = directory.servers_.find(entry.id_);
    if (listed == directory.servers_.end())
    {
        const auto removed = directory.removed_.find(entry.id_);
        return removed != directory.removed_.end() &&
               (removed->second.started_at_ms_ == 0 || entry.started_at_ms_ <= removed->second.started_at_ms_);
    }
    const auto& known = listed->second.listed_;
    const bool is_undrained = known.state_ == server_state::draining && entry.state_ == server_state::ready;
    return entry.started_at_ms_ == known.started_at_ms_ ? is_undrained : entry.started_at_ms_ < known.started_at_ms_;
}

bool remove_listed_server(server_directory& directory, const server_id& id, log_position position)
{
    const auto found = directory.servers_.find(id);
    if (found != directory.servers_.end() && position < found->second.record_position_)
    {
        return false;
    }
    auto& removed = directory.removed_[id];
    removed.position_ = position;
    removed.started_at_ms_ =
        found == directory.servers_.end() ? removed.started_at_ms_ : found->second.listed_.started_at_ms_;
    return directory.servers_.erase(id) > 0;
}

known_server* find_server(server_directory& directory, const server_id& id)
{
    const auto found = directory.servers_.find(id);
    return found == directory.servers_.end() ? nullptr : &found->second;
}

bool record_leaving(server_directory& directory, const listed_server& server, time_point now)
{
    return is_listed_lifetime(directory, server) && set_leaving(notice_about(directory, server), true, now);
}

bool record_reported_leaving(server_directory& directory, const leaving_server& server, time_point now)
{
    const auto found = directory.servers_.find(server.id_);
    if (found == directory.servers_.end() || found->second.listed_.started_at_ms_ != server.started_at_ms_)
    {
        return false;
    }
    return set_leaving(notice_about(directory, found->second.listed_), false, now - server.age_);
}

void record_pause(server_directory& directory, const listed_server& server, milliseconds duration, time_point now)
{
    if (!is_listed_lifetime(directory, server))
    {
        return;
    }
    auto& notice = notice_about(directory, server);
    notice.paused_until_ = std::max(notice.paused_until_, now + std::min<milliseconds>(duration, max_pause));
}

bool is_leaving(const server_directory& directory, const listed_server& server)
{
    const auto* const notice = find_notice(directory, server);
    return notice != nullptr && notice->leaving_;
}

std::vector<leaving_server> recently_leaving(const server_directory& directory, milliseconds limit, time_point now)
{
    std::vector<leaving_server> leaving;
    std::ranges::for_each(directory.notices_, [&](const auto& entry) {
        const auto& notice = entry.second;
        if (notice.leaving_ && notice.own_ && now - notice.noted_at_ < limit)
        {
            leaving.push_back(
                {entry.first, notice.started_at_ms_, std::chrono::duration_cast<milliseconds>(now - notice.noted_at_)});
        }
    });
    return leaving;
}

bool accepts_work(const server_directory& directory, const known_server& server, time_point now)
{
    if (server.listed_.state_ != server_state::ready ||
        is_evacuated(directory.evacuations_, server.listed_.data_centre_))
    {
        return false;
    }
    const auto* const notice = find_notice(directory, server.listed_);
    return notice == nullptr || (!notice->leaving_ && notice->paused_until_ <= now);
}

bool accepts_work(const server_directory& directory, const server_id& id, std::uint64_t started_at_ms, time_point now)
{
    const auto found = directory.servers_.find(id);
    return found != directory.servers_.end() && found->second.listed_.started_at_ms_ == started_at_ms &&
           accepts_work(directory, found->second, now);
}

std::optional<milliseconds> time_until_pause_ends(const server_directory& directory, const service_id& service,
                                                  const std::vector<server_id>& tried, time_point now)
{
    std::optional<milliseconds> shortest;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](const known_server& server) {
        const auto* const notice = find_notice(directory, server.listed_);
        const bool was_tried = std::ranges::find(tried, server.listed_.id_) != tried.end();
        if (was_tried || server.listed_.service_ != service || server.listed_.state_ != server_state::ready ||
            notice == nullptr || notice->leaving_ || notice->paused_until_ <= now ||
            is_evacuated(directory.evacuations_, server.listed_.data_centre_))
        {
            return;
        }
        const auto left = std::chrono::ceil<milliseconds>(notice->paused_until_ - now);
        shortest = std::min(shortest.value_or(left), left);
    });
    return shortest;
}

bool has_limit(const server_directory& directory, const known_server& server)
{
    return find_limit(directory, server.listed_) != nullptr;
}

bool is_within_limit(const server_directory& directory, const known_server& server, time_point now)
{
    const auto* const limit = find_limit(directory, server.listed_);
    return limit == nullptr || time_until_allowed(*limit, now) == milliseconds{0};
}

bool take_from_limit(server_directory& directory, const server_id& id, time_point now)
{
    const auto* const server = find_server(directory, id);
    if (server == nullptr || find_limit(directory, server->listed_) == nullptr)
    {
        return true;
    }
    return take_allowance(directory.limits_.limits_.at(id), now);
}

std::optional<milliseconds> time_until_within_limit(const server_directory& directory, const service_id& service,
                                                    const std::vector<server_id>& tried, time_point now)
{
    std::optional<milliseconds> shortest;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](const known_server& server) {
        const auto* const limit = find_limit(directory, server.listed_);
        const bool was_tried = std::ranges::find(tried, server.listed_.id_) != tried.end();
        if (limit == nullptr || was_tried || server.listed_.service_ != service ||
            !accepts_work(directory, server, now))
        {
            return;
        }
        const auto left = time_until_allowed(*limit, now);
        shortest = left ? std::min(shortest.value_or(*left), *left) : shortest;
    });
    return shortest;
}

void record_failure(known_server& server, time_point now)
{
    server.backoff_ = std::clamp(server.backoff_ * 2, initial_backoff, max_backoff);
    server.avoid_until_ = now + server.backoff_;
    ++server.consecutive_failures_;
}

void record_full(known_server& server, time_point now)
{
    server.avoid_until_ = std::max(server.avoid_until_, now + full_backoff);
}

void record_pass_ratio(known_server& server, double ratio)
{
    server.min_ratio_ = server.ratio_count_ == 0 ? ratio : std::min(server.min_ratio_, ratio);
    if (++server.ratio_count_ >= ratios_per_update)
    {
        server.slowdown_ = server.min_ratio_ < min_slowdown ? 1.0 : std::min(server.min_ratio_, max_slowdown);
        server.ratio_count_ = 0;
    }
}

void record_success(known_server& server)
{
    server.consecutive_failures_ = 0;
    server.backoff_ = milliseconds{0};
    server.avoid_until_ = time_point{};
}

std::vector<known_server*> ready_servers(server_directory& directory, const service_id& service, time_point now)
{
    std::vector<known_server*> ready;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](known_server& server) {
        if (server.listed_.service_ == service && accepts_work(directory, server, now))
        {
            ready.push_back(&server);
        }
    });
    return ready;
}

service_servers count_servers(const server_directory& directory, const service_id& service, time_point now)
{
    service_servers counts;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](const known_server& server) {
        const auto* const notice = find_notice(directory, server.listed_);
        if (server.listed_.service_ != service || server.listed_.state_ != server_state::ready ||
            (notice != nullptr && notice->leaving_))
        {
            return;
        }
        const bool evacuated = is_evacuated(directory.evacuations_, server.listed_.data_centre_);
        auto& count =
            accepts_work(directory, server, now) ? counts.accepting_ : (evacuated ? counts.evacuated_ : counts.paused_);
        ++count;
    });
    return counts;
}

bool any_ready(const server_directory& directory)
{
    return std::ranges::any_of(directory.servers_ | std::views::values,
                               [](const known_server& server) { return server.listed_.state_ == server_state::ready; });
}

}  // namespace cornelstall
