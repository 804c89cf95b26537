#include "cornelstall/decisions/version/replay.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

// Fractions of the retention between which a snapshot of known age is replaced. They are below one half, which leaves
// time to repeat a failed append.
constexpr double earliest_snapshot_share = 0.3;
constexpr double latest_snapshot_share = 0.4;
// A snapshot of unknown age may be close to its deletion, so it is replaced soon.
constexpr double unknown_age_snapshot_share = 0.02;

log_offset offset_after(log_offset offset)
{
    return offset.next();
}

void apply_in_order(configuration_replay& replay, const configuration_entry& entry, const parse_function& parse)
{
    auto& state = replay.state_;
    if (const auto* const change = std::get_if<change_record>(&entry.record_); change != nullptr)
    {
        const auto result = apply_change(state, entry.offset_, *change, parse);
        replay.rejected_changes_ += result.status_ == change_status::rejected ? 1 : 0;
        return;
    }
    if (entry.offset_ <= state.read_through_)
    {
        return;
    }
    state.read_through_ = entry.offset_;
    if (const auto* const part = std::get_if<snapshot_record>(&entry.record_); part != nullptr)
    {
        // The state already includes the snapshot's content; only its offset is recorded.
        if (assemble(replay.assembly_, *part))
        {
            replay.newest_snapshot_ = entry.offset_;
        }
        return;
    }
    ++replay.malformed_;
}

/// Returns true when the entry completes a snapshot that covers the gap.
bool search_for_snapshot(configuration_replay& replay, const configuration_entry& entry, log_offset oldest,
                         const parse_function& parse)
{
    replay.snapshot_search_offset_ = offset_after(entry.offset_);
    const auto* const part = std::get_if<snapshot_record>(&entry.record_);
    const auto full = part == nullptr ? std::nullopt : assemble(replay.assembly_, *part);
    if (!full)
    {
        return false;
    }
    replace_if_newer(replay.state_, *full, parse);
    replay.newest_snapshot_ = entry.offset_;
    return can_continue_reading(replay.state_, oldest);
}

}  // namespace

log_offset next_read_offset(const configuration_replay& replay)
{
    return replay.snapshot_search_offset_ > log_offset{0} ? replay.snapshot_search_offset_
                                                          : offset_after(replay.state_.read_through_);
}

bool is_caught_up(const configuration_replay& replay, log_offset head)
{
    return replay.snapshot_search_offset_ == log_offset{0} && head <= offset_after(replay.state_.read_through_);
}

void apply_page(configuration_replay& replay, std::span<const configuration_entry> entries, log_offset oldest,
                const parse_function& parse)
{
    const bool was_searching = replay.snapshot_search_offset_ > log_offset{0};
    if (can_continue_reading(replay.state_, oldest))
    {
        replay.snapshot_search_offset_ = log_offset{0};
        if (was_searching)
        {
            // A peer's state has covered the gap meanwhile. This page was read from the search offset, not in order.
            return;
        }
        std::ranges::for_each(entries, [&](const configuration_entry& entry) { apply_in_order(replay, entry, parse); });
        return;
    }
    if (!was_searching)
    {
        ++replay.records_missed_;
        replay.snapshot_search_offset_ = oldest;
    }
    if (std::ranges::any_of(entries, [&](const configuration_entry& entry) {
            return search_for_snapshot(replay, entry, oldest, parse);
        }))
    {
        replay.snapshot_search_offset_ = log_offset{0};
    }
}

time_point next_snapshot_time(time_point seen, milliseconds retention, bool age_known, double spread)
{
    const double share = age_known
                             ? earliest_snapshot_share + (latest_snapshot_share - earliest_snapshot_share) * spread
                             : unknown_age_snapshot_share * spread;
    return seen + milliseconds{static_cast<milliseconds::rep>(static_cast<double>(retention.count()) * share)};
}

}  // namespace cornelstall
