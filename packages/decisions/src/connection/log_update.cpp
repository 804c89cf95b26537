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

using change_span = std::span<const server_list_change>;

bool is_unread(const log_update& update, log_position position)
{
    return update.unread_ && update.unread_->begin_ <= position && position < update.unread_->end_;
}

/// The number of the first @a changes, of which there are more than @a max_changes, that go into one part.
std::size_t part_size(const log_update& update, change_span changes, std::size_t max_changes)
{
    if (!is_unread(update, changes[max_changes].at_))
    {
        return max_changes;
    }
    const auto first_unread = std::ranges::find_if(
        changes, [&update](const server_list_change& change) { return is_unread(update, change.at_); });
    return static_cast<std::size_t>(first_unread - changes.begin());
}

/// One past the last position that a part covers whose last change is at @a last.
log_position part_end(const log_update& update, log_position last)
{
    return is_unread(update, last) ? update.unread_->end_ : last.next();
}

void drop_disjoint_unread(log_update& part)
{
    if (part.unread_ && (part.changes_end_ <= part.unread_->begin_ || part.unread_->end_ <= part.changes_begin_))
    {
        part.unread_.reset();
    }
}

std::ptrdiff_t count_unread(const log_update& update)
{
    return std::ranges::count_if(update.changes_,
                                 [&update](const server_list_change& change) { return is_unread(update, change.at_); });
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

bool can_follow(const log_update& update, log_position known_end)
{
    const bool stops_or_starts_within =
        update.unread_ && (update.changes_end_ < update.unread_->end_ ||
                           (update.unread_->begin_ < known_end && known_end < update.unread_->end_));
    return update.changes_begin_ <= known_end && !stops_or_starts_within;
}

void assume_era(log_update& update, log_era era)
{
    const auto assume = [era](log_position& position) {
        position = position.era() == log_era{} ? log_position{era, position.offset()} : position;
    };
    assume(update.changes_begin_);
    assume(update.changes_end_);
    assume(update.server_list_end_);
    std::ranges::for_each(update.changes_, assume, &server_list_change::at_);
    if (update.unread_)
    {
        assume(update.unread_->begin_);
        assume(update.unread_->end_);
    }
    if (update.evacuations_)
    {
        assume(update.evacuations_->end_);
        std::ranges::for_each(update.evacuations_->entries_, assume, &evacuation_entry::position_);
    }
}

void drop_positions(log_update& update)
{
    log_update kept;
    kept.log_reachable_ = update.log_reachable_;
    kept.reads_ = update.reads_;
    kept.removal_grace_ = update.removal_grace_;
    update = std::move(kept);
}

std::vector<log_update> split_log_update(const log_update& update, std::size_t max_changes)
{
    auto whole = update;
    if (count_unread(whole) > static_cast<std::ptrdiff_t>(max_changes))
    {
        drop_changes_before(whole, whole.unread_->end_);
    }
    std::vector<log_update> parts;
    auto from = whole.changes_begin_;
    auto remaining = change_span(whole.changes_);
    while (remaining.size() > max_changes)
    {
        const auto size = part_size(whole, remaining, max_changes);
        log_update part = whole;
        part.server_list_age_.reset();
        part.changes_begin_ = from;
        part.changes_end_ = part_end(whole, remaining[size - 1].at_);
        part.changes_.assign(remaining.begin(), remaining.begin() + static_cast<std::ptrdiff_t>(size));
        drop_disjoint_unread(part);
        from = part.changes_end_;
        remaining = remaining.subspan(size);
        parts.push_back(std::move(part));
    }
    log_update last = whole;
    last.changes_begin_ = from;
    last.changes_.assign(remaining.begin(), remaining.end());
    drop_disjoint_unread(last);
    parts.push_back(std::move(last));
    return parts;
}

void drop_changes_before(log_update& update, log_position from)
{
    update.changes_begin_ = std::max(update.changes_begin_, std::min(from, update.changes_end_));
    if (update.unread_ && update.unread_->begin_ < update.changes_begin_)
    {
        update.changes_begin_ = std::max(update.changes_begin_, update.unread_->end_);
        update.unread_.reset();
    }
    std::erase_if(update.changes_,
                  [&update](const server_list_change& change) { return change.at_ < update.changes_begin_; });
}

}  // namespace cornelstall
