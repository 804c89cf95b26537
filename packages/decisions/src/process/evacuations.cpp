#include "cornelstall/decisions/process/evacuations.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace cornelstall
{

namespace
{

/// Encoded size of one entry at most, without the name of the data centre.
constexpr std::uint64_t entry_bytes = 20;
/// Removals that are remembered at most. There are far fewer data centres.
constexpr std::size_t max_ended = 64;
/// Returns of the log within the age of a report from before them.
constexpr std::size_t max_former_ends = 4;

std::uint64_t size_of(const evacuation_entry& entry)
{
    return entry_bytes + entry.data_centre_.get().size();
}

/// True when the record at @a position has been taken into account, or one that replaced it.
bool is_taken_into_account(const evacuations& known, log_position position)
{
    const auto covers_it = [position](log_position end) {
        return covers(end, position);
    };
    return covers_it(known.known_end_) || std::ranges::any_of(known.former_ends_, covers_it);
}

void remember_end(evacuations& known, const data_centre_id& data_centre, log_position position)
{
    known.ended_[data_centre] = position;
    if (known.ended_.size() > max_ended)
    {
        known.ended_.erase(
            std::ranges::min_element(known.ended_, {}, &std::pair<const data_centre_id, log_position>::second));
    }
}

/// True for a request that a log may have had in the copy that it came back from, although its removal is known.
bool is_doubted(const evacuations& known, const data_centre_id& data_centre, log_position position)
{
    const auto ended = known.ended_.find(data_centre);
    return known.first_end_ && position < *known.first_end_ && ended != known.ended_.end() &&
           !is_same_era(ended->second, position);
}

bool is_listed(const evacuation_snapshot& snapshot, const data_centre_id& data_centre)
{
    return std::ranges::find(snapshot.entries_, data_centre, &evacuation_entry::data_centre_) !=
           snapshot.entries_.end();
}

/// The evacuated data centres whose newest record @a snapshot covers without listing them.
std::vector<data_centre_id> removed_by(const evacuations& known, const evacuation_snapshot& snapshot)
{
    std::vector<data_centre_id> removed;
    std::ranges::for_each(known.records_, [&](const auto& entry) {
        if (entry.second.evacuated_ && covers(snapshot.end_, entry.second.position_) &&
            !is_listed(snapshot, entry.first))
        {
            removed.push_back(entry.first);
        }
    });
    return removed;
}

std::vector<evacuation_entry> apply_snapshot(evacuations& known, const evacuation_snapshot& snapshot)
{
    begin_era(known, snapshot.end_);
    std::vector<evacuation_entry> changes;
    // A snapshot without records before its end covers nothing that could have been removed.
    if (snapshot.end_ > known.known_end_)
    {
        const auto last = snapshot.end_.previous();
        std::ranges::transform(removed_by(known, snapshot), std::back_inserter(changes),
                               [last](const data_centre_id& data_centre) {
                                   return evacuation_entry{data_centre, last, false};
                               });
        std::ranges::for_each(changes, [&known](const evacuation_entry& removed) {
            known.records_[removed.data_centre_] = {removed.position_, false};
            remember_end(known, removed.data_centre_, removed.position_);
        });
        std::erase_if(known.doubted_, [&snapshot](const auto& doubted) {
            return covers(snapshot.end_, doubted.second) && !is_listed(snapshot, doubted.first);
        });
    }
    std::ranges::copy_if(snapshot.entries_, std::back_inserter(changes), [&known](const evacuation_entry& entry) {
        return apply_evacuation(known, entry.data_centre_, entry.position_, entry.evacuated_);
    });
    confirm_evacuations(known, snapshot.end_);
    known.known_ = true;
    return changes;
}

}  // namespace

void begin_era(evacuations& known, log_position end)
{
    if (!known.known_ || is_same_era(known.known_end_, end) || end < known.known_end_)
    {
        return;
    }
    known.former_ends_.push_back(known.known_end_);
    if (known.former_ends_.size() > max_former_ends)
    {
        known.former_ends_.erase(known.former_ends_.begin());
    }
    known.known_end_ = {end.era(), record_offset{0}};
    known.first_end_ = end;
    known.doubted_.clear();
}

std::vector<evacuation_entry> settle_evacuations(evacuations& known)
{
    std::vector<evacuation_entry> changes;
    std::ranges::transform(known.doubted_, std::back_inserter(changes), [](const auto& doubted) {
        return evacuation_entry{doubted.first, doubted.second, true};
    });
    std::ranges::for_each(changes, [&known](const evacuation_entry& entry) {
        known.records_[entry.data_centre_] = {entry.position_, true};
        known.ended_.erase(entry.data_centre_);
    });
    known.doubted_.clear();
    known.first_end_.reset();
    return changes;
}

bool apply_evacuation(evacuations& known, const data_centre_id& data_centre, log_position position, bool evacuated)
{
    const auto ended = known.ended_.find(data_centre);
    if (is_taken_into_account(known, position) || (ended != known.ended_.end() && position <= ended->second))
    {
        return false;
    }
    if (evacuated && is_doubted(known, data_centre, position))
    {
        known.doubted_[data_centre] = position;
        return false;
    }
    const auto doubted = known.doubted_.find(data_centre);
    if (doubted != known.doubted_.end() && doubted->second < position)
    {
        known.doubted_.erase(doubted);
    }
    const auto [found, inserted] = known.records_.try_emplace(data_centre);
    auto& record = found->second;
    if (!inserted && position <= record.position_)
    {
        return false;
    }
    const bool changed = record.evacuated_ != evacuated;
    record = {position, evacuated};
    if (evacuated)
    {
        known.ended_.erase(data_centre);
    }
    else
    {
        remember_end(known, data_centre, position);
    }
    return changed;
}

void confirm_evacuations(evacuations& known, log_position end)
{
    known.known_end_ = std::max(known.known_end_, end);
    std::erase_if(known.records_, [&known](const auto& entry) {
        return !entry.second.evacuated_ && covers(known.known_end_, entry.second.position_);
    });
}

std::vector<evacuation_entry> apply_full_evacuation_read(evacuations& known, const evacuation_snapshot& read)
{
    return apply_snapshot(known, read);
}

std::vector<evacuation_entry> merge_reported(evacuations& known, const evacuation_snapshot& reported)
{
    if (known.known_ && !is_same_era(known.known_end_, reported.end_))
    {
        return {};
    }
    return apply_snapshot(known, reported);
}

std::optional<evacuation_snapshot> to_report(const evacuations& known, byte_count limit)
{
    evacuation_snapshot report{known.known_end_, {}};
    std::ranges::for_each(known.records_, [&report](const auto& entry) {
        if (entry.second.evacuated_)
        {
            report.entries_.push_back({entry.first, entry.second.position_, true});
        }
    });
    auto bytes = std::accumulate(report.entries_.begin(), report.entries_.end(), std::uint64_t{0},
                                 [](std::uint64_t sum, const evacuation_entry& entry) { return sum + size_of(entry); });
    const bool fits = bytes <= limit.get();
    if (!known.former_ends_.empty())
    {
        // Other VMs may keep these requests because the log has lost the removals.
        std::ranges::for_each(known.ended_, [&](const auto& ended) {
            const evacuation_entry entry{ended.first, ended.second, false};
            if (bytes + size_of(entry) <= limit.get())
            {
                bytes += size_of(entry);
                report.entries_.push_back(entry);
            }
        });
    }
    return known.known_ && fits && known.doubted_.empty() ? std::optional(std::move(report)) : std::nullopt;
}

bool is_evacuated(const evacuations& known, const data_centre_id& data_centre)
{
    const auto found = known.records_.find(data_centre);
    return found != known.records_.end() && found->second.evacuated_;
}

std::size_t count_evacuated(const evacuations& known)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        known.records_ | std::views::values, [](const evacuation_record& record) { return record.evacuated_; }));
}

}  // namespace cornelstall
