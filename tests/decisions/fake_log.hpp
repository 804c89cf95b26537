#pragma once

#include <algorithm>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall::testing
{

/// @brief A stream of the log, with offsets, retention, and appends that arrive after their caller has timed out.
template <class Record>
struct fake_stream
{
    struct entry
    {
        Record record_;
        time_point appended_at_;
    };
    struct late_append
    {
        Record record_;
        time_point arrives_at_;
    };

    std::vector<entry> entries_;  ///< entry n has offset n + 1
    std::vector<late_append> late_;
    std::size_t dropped_ = 0;  ///< number of oldest entries that are no longer retained
    std::chrono::milliseconds retention_{std::chrono::hours{1}};
    bool down_ = false;  ///< the log is unreachable; the tests check this before each use

    void append(Record record, time_point now)
    {
        entries_.push_back({std::move(record), now});
    }

    void append_late(Record record, time_point arrives_at)
    {
        late_.push_back({std::move(record), arrives_at});
    }

    /// Appends the late records that are due and drops entries older than the retention time.
    void advance(time_point now)
    {
        const auto due = std::stable_partition(late_.begin(), late_.end(),
                                               [&](const late_append& late) { return late.arrives_at_ > now; });
        std::for_each(due, late_.end(), [&](const late_append& late) { append(late.record_, now); });
        late_.erase(due, late_.end());
        while (dropped_ < entries_.size() && entries_[dropped_].appended_at_ + retention_ < now)
        {
            ++dropped_;
        }
    }

    [[nodiscard]] log_offset oldest() const
    {
        return log_offset{dropped_ + 1};
    }

    /// Reads at most @a limit records starting at @a from.
    template <class Batch>
    [[nodiscard]] Batch read(log_offset from, std::size_t limit) const
    {
        const std::size_t first = std::max<std::size_t>(from.get() - 1, dropped_);
        const std::size_t last = std::min(entries_.size(), first + limit);
        Batch batch{oldest(), log_offset{std::max(first, last) + 1}, last >= entries_.size(), {}};
        for (std::size_t index = first; index < last; ++index)
        {
            batch.records_.push_back({log_offset{index + 1}, entries_[index].record_});
        }
        return batch;
    }
};

}  // namespace cornelstall::testing
