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
        if (entry.second.evacuated_ && entry.second.position_ < snapshot.end_ && !is_listed(snapshot, entry.first))
        {
            removed.push_back(entry.first);
        }
    });
    return removed;
}

std::vector<evacuation_entry> apply_snapshot(evacuations& known, const evacuation_snapshot& snapshot)
{
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

bool apply_evacuation(evacuations& known, const data_centre_id& data_centre, log_position position, bool evacuated)
{
    if (position < known.known_end_)
    {
        return false;
    }
    const auto [found, inserted] = known.records_.try_emplace(data_centre);
    auto& record = found->second;
    if (!inserted && position <= record.position_)
    {
        return false;
    }
    const bool changed = record.evacuated_ != evacuated;
    record = {position, evacuated};
    return changed;
}

void confirm_evacuations(evacuations& known, log_position end)
{
    known.known_end_ = std::max(known.known_end_, end);
    std::erase_if(known.records_, [&known](const auto& entry) {
        return !entry.second.evacuated_ && entry.second.position_ < known.known_end_;
    });
}

std::vector<evacuation_entry> apply_full_evacuation_read(evacuations& known, const evacuation_snapshot& read)
{
    return apply_snapshot(known, read);
}

std::vector<evacuation_entry> merge_reported(evacuations& known, const evacuation_snapshot& reported)
{
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
    const auto bytes = std::accumulate(report.entries_.begin(), report.entries_.end(), std::uint64_t{0},
                                       [](std::uint64_t sum, const evacuation_entry& entry) {
                                           return sum + entry_bytes + entry.data_centre_.get().size();
                                       });
    return known.known_ && bytes <= limit.get() ? std::optional(std::move(report)) : std::nullopt;
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
