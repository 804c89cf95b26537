#include "cornelstall/decisions/connection/log_update.hpp"

#include <algorithm>
#include <span>

namespace cornelstall
{

namespace
{

/// Age of its data at which the first VM reads the log. A leaving server must receive no requests later than 2 s after
/// it has announced that it leaves.
constexpr milliseconds first_poll_delay{600};
/// At this age a read of the first VM and its report are overdue; the second VM reads the log `poll_delay_step` later.
constexpr milliseconds second_poll_delay{1000};
/// Staggers the other VMs, so that a fleet that lost its readers does not read all at once.
constexpr milliseconds poll_delay_step{20};
constexpr milliseconds max_poll_delay{1500};

}  // namespace

milliseconds log_poll_delay(std::size_t position)
{
    if (position == 0)
    {
        return first_poll_delay;
    }
    const auto steps = static_cast<std::int64_t>(std::min<std::size_t>(position, 1000));
    return std::min(max_poll_delay, second_poll_delay + poll_delay_step * steps);
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
