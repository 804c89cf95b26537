#include "cornelstall/decisions/process/server_limits.hpp"

#include <algorithm>
#include <cmath>

namespace cornelstall
{

namespace
{

/// News is reported for this long, several times, because datagrams can be lost.
constexpr milliseconds news_period{3000};
/// A VM that gets answers with a limit confirms it to the other VMs at this interval.
constexpr milliseconds refresh_interval{2000};
/// Longer than the interval of reports, so that a confirmation is reported once at least.
constexpr milliseconds refresh_period{600};
constexpr std::chrono::minutes limit_retention{2};
constexpr std::chrono::seconds ended_retention{10};
constexpr double ms_per_s = 1000.0;

double allowance(const server_limit& limit, time_point now)
{
    const std::chrono::duration<double> elapsed = std::max(now - limit.allowance_at_, time_point::duration{0});
    return std::min(limit.share_.burst_, limit.allowance_ + limit.share_.rate_.get() * elapsed.count());
}

limit_change name_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms, request_rate limit,
                        time_point stated_at, time_point now)
{
    const auto [found, inserted] = limits.limits_.try_emplace(server);
    auto& known = found->second;
    if (inserted || known.started_at_ms_ != started_at_ms)
    {
        known = server_limit{};
        known.started_at_ms_ = started_at_ms;
        known.known_since_ = now;
        known.allowance_at_ = now;
        known.refreshed_at_ = now;
    }
    const bool changed = known.known_since_ == now || known.limit_ != limit;
    known.limit_ = limit;
    known.stated_at_ = stated_at;
    limits.ended_.erase(server);
    if (changed)
    {
        known.report_until_ = now + news_period;
    }
    return changed ? limit_change::named : limit_change::none;
}

limit_change end_limit(server_limits& limits, const server_id& server, time_point ended_at, time_point now)
{
    const auto found = limits.limits_.find(server);
    limits.ended_[server] = {found->second.started_at_ms_, ended_at, now + news_period};
    limits.limits_.erase(found);
    return limit_change::ended;
}

limit_change merge_reported(server_limits& limits, const reported_limit& reported, time_point now)
{
    const auto known = limits.limits_.find(reported.server_);
    const bool is_known = known != limits.limits_.end();
    if (is_known &&
        (reported.started_at_ms_ < known->second.started_at_ms_ ||
         (reported.started_at_ms_ == known->second.started_at_ms_ && reported.stated_at_ <= known->second.stated_at_)))
    {
        return limit_change::none;
    }
    if (reported.limit_)
    {
        const auto ended = limits.ended_.find(reported.server_);
        const bool is_older = ended != limits.ended_.end() && ended->second.started_at_ms_ == reported.started_at_ms_ &&
                              reported.stated_at_ <= ended->second.ended_at_;
        return is_older ? limit_change::none
                        : name_limit(limits, reported.server_, reported.started_at_ms_, *reported.limit_,
                                     reported.stated_at_, now);
    }
    return is_known && reported.started_at_ms_ == known->second.started_at_ms_
               ? end_limit(limits, reported.server_, reported.stated_at_, now)
               : limit_change::none;
}

}  // namespace

limit_change record_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                          request_rate limit, time_point now)
{
    const auto change = name_limit(limits, server, started_at_ms, limit, now, now);
    auto& known = limits.limits_.at(server);
    if (now - known.refreshed_at_ >= refresh_interval)
    {
        known.refreshed_at_ = now;
        known.report_until_ = std::max(known.report_until_, now + refresh_period);
    }
    return change;
}

limit_change record_no_limit(server_limits& limits, const server_id& server, std::uint64_t started_at_ms,
                             time_point sent_at, time_point now)
{
    const auto found = limits.limits_.find(server);
    const bool ends = found != limits.limits_.end() && found->second.started_at_ms_ == started_at_ms &&
                      sent_at >= found->second.known_since_;
    return ends ? end_limit(limits, server, now, now) : limit_change::none;
}

std::vector<changed_limit> merge_reported_limits(server_limits& limits, const std::vector<reported_limit>& reported,
                                                 time_point now)
{
    std::vector<changed_limit> changed;
    std::ranges::for_each(reported, [&](const reported_limit& entry) {
        const auto change = merge_reported(limits, entry, now);
        if (change != limit_change::none)
        {
            changed.push_back({entry.server_, change, entry.limit_});
        }
    });
    return changed;
}

std::vector<reported_limit> limits_to_report(const server_limits& limits, time_point now)
{
    std::vector<reported_limit> reported;
    std::ranges::for_each(limits.limits_, [&](const auto& entry) {
        const auto& limit = entry.second;
        if (limit.report_until_ > now)
        {
            reported.push_back({entry.first, limit.started_at_ms_, limit.limit_, limit.stated_at_});
        }
    });
    std::ranges::for_each(limits.ended_, [&](const auto& entry) {
        const auto& ended = entry.second;
        if (ended.report_until_ > now)
        {
            reported.push_back({entry.first, ended.started_at_ms_, std::nullopt, ended.ended_at_});
        }
    });
    return reported;
}

void drop_old_limits(server_limits& limits, time_point now)
{
    std::erase_if(limits.limits_, [now](const auto& entry) { return now - entry.second.stated_at_ > limit_retention; });
    std::erase_if(limits.ended_, [now](const auto& entry) { return now - entry.second.ended_at_ > ended_retention; });
}

void set_share(server_limit& limit, const limit_share& share, time_point now)
{
    limit.allowance_ = std::min(share.burst_, allowance(limit, now));
    limit.allowance_at_ = now;
    limit.share_ = share;
}

void start_allowance(server_limit& limit, double part, time_point now)
{
    limit.allowance_ = limit.share_.burst_ * std::clamp(part, 0.0, 1.0);
    limit.allowance_at_ = now;
}

std::optional<milliseconds> time_until_allowed(const server_limit& limit, time_point now)
{
    const double missing = 1.0 - allowance(limit, now);
    if (missing <= 0.0)
    {
        return milliseconds{0};
    }
    if (limit.share_.rate_.get() <= 0.0 || limit.share_.burst_ < 1.0)
    {
        return std::nullopt;
    }
    return milliseconds{static_cast<std::int64_t>(std::ceil(missing / limit.share_.rate_.get() * ms_per_s))};
}

bool take_allowance(server_limit& limit, time_point now)
{
    const double available = allowance(limit, now);
    if (available < 1.0)
    {
        return false;
    }
    limit.allowance_ = available - 1.0;
    limit.allowance_at_ = now;
    return true;
}

}  // namespace cornelstall
