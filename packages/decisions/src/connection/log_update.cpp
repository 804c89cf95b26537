#include "cornelstall/decisions/connection/log_update.hpp"

#include <algorithm>
#include <span>

namespace cornelstall
{

namespace
{

/// Shares of the staleness bound. At the first the first VM reads the log; at the second its read and its report are
/// overdue, and the second VM reads it. At the third every VM does, so that the read and the use of what it shows end
/// within the bound.
constexpr double first_poll_share = 0.3;
constexpr double second_poll_share = 0.5;
constexpr double max_poll_share = 0.75;
/// Share of the bound for which a server may be used after its removal was learned; the rest is for requests that have
/// been placed by then.
constexpr double max_deferral_share = 0.9;
/// Staggers the other VMs, so that a fleet that lost its readers does not read all at once.
constexpr milliseconds poll_delay_step{20};
/// VMs that read the log for the others.
constexpr std::size_t reader_count = 2;

milliseconds share_of(milliseconds bound, double share)
{
    return milliseconds{static_cast<std::int64_t>(share * static_cast<double>(bound.count()))};
}

}  // namespace

milliseconds log_poll_delay(std::size_t position, milliseconds bound)
{
    if (position == 0)
    {
        return share_of(bound, first_poll_share);
    }
    const auto steps = static_cast<std::int64_t>(std::min<std::size_t>(position, 1000));
    return std::min(share_of(bound, max_poll_share), share_of(bound, second_poll_share) + poll_delay_step * steps);
}

milliseconds max_failed_read_delay(std::size_t position, milliseconds reader_limit, milliseconds bound)
{
    const auto poll_delay = log_poll_delay(position, bound);
    return position < reader_count ? std::min(reader_limit, poll_delay) : poll_delay;
}

time_point removal_due(time_point learned_at, time_point grace_end, milliseconds bound)
{
    return std::min(grace_end, learned_at + share_of(bound, max_deferral_share));
}

std::vector<log_update> split_log_update(const log_update& update, std::size_t max_changes)
{
    std::vector<log_update> parts;
    auto from = update.changes_begin_;
    auto remaining = std::span(update.changes_);
    while (remaining.size() > max_changes)
    {
        log_update part = update;
        part.server_list_age_.reset();
        part.changes_begin_ = from;
        part.changes_end_ = remaining[max_changes - 1].at_.next();
        part.changes_.assign(remaining.begin(), remaining.begin() + static_cast<std::ptrdiff_t>(max_changes));
        from = part.changes_end_;
        remaining = remaining.subspan(max_changes);
        parts.push_back(std::move(part));
    }
    log_update last = update;
    last.changes_begin_ = from;
    last.changes_.assign(remaining.begin(), remaining.end());
    parts.push_back(std::move(last));
    return parts;
}

void drop_changes_before(log_update& update, log_offset from)
{
    update.changes_begin_ = std::max(update.changes_begin_, std::min(from, update.changes_end_));
    std::erase_if(update.changes_,
                  [&update](const server_list_change& change) { return change.at_ < update.changes_begin_; });
}

}  // namespace cornelstall
