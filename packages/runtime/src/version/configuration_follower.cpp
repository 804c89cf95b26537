#include "cornelstall/runtime/version/configuration_follower.hpp"

#include <algorithm>
#include <iterator>
#include <string>

#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/wire/version/configuration_codec.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind version_in_force{3001, "configuration_in_force"};
constexpr event_kind log_unreachable{3002, "configuration_log_unreachable"};
constexpr event_kind records_missed{3003, "configuration_records_missed"};
constexpr event_kind snapshot_appended{3004, "configuration_snapshot_appended"};
constexpr event_kind snapshot_failed{3005, "configuration_snapshot_failed"};
constexpr event_kind declaration_unreadable{3006, "declaration_unreadable"};
constexpr event_kind record_malformed{3007, "configuration_record_malformed"};

void announce(configuration_follower& follower)
{
    const auto& state = follower.replay_.state_;
    if (state.active_config_->version_ <= follower.announced_)
    {
        return;
    }
    follower.announced_ = state.active_config_->version_;
    log_event(severity::info, version_in_force, "a new configuration is in force",
              {{"version", std::to_string(follower.announced_.get())}});
    std::ranges::for_each(state.parse_errors_, [](const auto& entry) {
        log_event(severity::error, declaration_unreadable, entry.second, {{"service", entry.first.get()}});
    });
    if (follower.on_version_)
    {
        follower.on_version_(state.active_config_);
    }
}

/// Plans the next snapshot after a page.
void plan_snapshot(configuration_follower& follower, milliseconds retention, bool first_time, time_point now)
{
    const auto& replay = follower.replay_;
    if (retention <= milliseconds{0} || replay.state_.active_config_->version_ == configuration_version{0})
    {
        return;
    }
    const bool is_newer = replay.newest_snapshot_ > follower.noted_snapshot_;
    if (first_time || is_newer || !follower.snapshot_due_)
    {
        follower.noted_snapshot_ = replay.newest_snapshot_;
        follower.snapshot_due_ = next_snapshot_time(now, retention, !first_time, follower.spread_);
    }
}

void apply_effects(configuration_follower& follower, const log_page& page, const configuration_replay& before)
{
    const auto& replay = follower.replay_;
    if (replay.records_missed_ > before.records_missed_)
    {
        log_event(severity::warning, records_missed, "records are gone before they were read; a snapshot is searched",
                  {{"oldest", std::to_string(page.oldest_.get())}});
    }
    if (replay.malformed_ > before.malformed_)
    {
        log_event(severity::warning, record_malformed, "records of the stream cannot be read and are skipped",
                  {{"count", std::to_string(replay.malformed_ - before.malformed_)}});
    }
    if (!is_caught_up(replay, page.next_))
    {
        // Versions on the way to the head are out of date already.
        return;
    }
    const bool first_time = !follower.caught_up_;
    follower.caught_up_ = true;
    plan_snapshot(follower, page.retention_, first_time, std::chrono::steady_clock::now());
    announce(follower);
}

task<> follow_once(std::shared_ptr<configuration_follower> follower)
{
    const auto wait = follower->caught_up_ ? follower->settings_.pages_.poll_wait_ : milliseconds{0};
    configuration_replay before;
    before.records_missed_ = follower->replay_.records_missed_;
    before.malformed_ = follower->replay_.malformed_;
    const auto from = next_read_offset(follower->replay_);
    const auto started = std::chrono::steady_clock::now();
    const auto page = co_await read_page(follower->log_, follower->replay_, follower->parse_,
                                         follower->settings_.pages_.records_, wait);
    apply_effects(*follower, page, before);
    const bool returned_early = std::chrono::steady_clock::now() - started < follower->settings_.least_backoff_;
    if (page.records_.empty() && next_read_offset(follower->replay_) == from && returned_early)
    {
        // A search at the head of the stream, or a service that holds no reads, must not be asked again at once.
        co_await sleep_for(follower->settings_.least_backoff_);
    }
}

task<> append_snapshot(std::shared_ptr<configuration_follower> follower)
{
    const auto& state = follower->replay_.state_;
    const auto id = follower->snapshot_prefix_ + "-" + std::to_string(state.read_through_.get());
    const auto parts = make_snapshot(state, id, follower->settings_.snapshot_part_);
    std::vector<std::string> texts;
    std::ranges::transform(parts, std::back_inserter(texts), [](const snapshot_record& part) { return encode(part); });
    // One append keeps the parts together.
    const auto first = co_await follower->log_.append_(std::move(texts));
    ++follower->snapshots_appended_;
    log_event(severity::info, snapshot_appended, "the whole configuration was appended",
              {{"offset", std::to_string(first.get())}, {"parts", std::to_string(parts.size())}});
}

bool is_snapshot_due(const configuration_follower& follower)
{
    return follower.snapshot_due_ && *follower.snapshot_due_ <= std::chrono::steady_clock::now() &&
           follower.replay_.snapshot_search_offset_ == log_offset{0};
}

milliseconds spread_backoff(milliseconds backoff, double spread)
{
    // Between half and the whole, so that the members do not return all at once.
    constexpr double half = 0.5;
    return milliseconds{static_cast<milliseconds::rep>(static_cast<double>(backoff.count()) * (half + half * spread))};
}

task<bool> succeeds(task<> work, const event_kind& failure)
{
    std::string problem;
    try
    {
        co_await std::move(work);
        co_return true;
    }
    catch (const error& caught)
    {
        problem = caught.what();
    }
    log_event(severity::warning, failure, problem);
    co_return false;
}

}  // namespace

task<> follow_configuration(std::shared_ptr<configuration_follower> follower)
{
    auto backoff = follower->settings_.least_backoff_;
    while (!follower->stopping_)
    {
        if (follower->is_elected_ && !follower->is_elected_())
        {
            co_await sleep_for(follower->settings_.least_backoff_);
            continue;
        }
        bool succeeded = co_await succeeds(follow_once(follower), log_unreachable);
        if (succeeded && is_snapshot_due(*follower))
        {
            // The next snapshot that is read, this one included, sets the time anew; a failed append is repeated.
            succeeded = co_await succeeds(append_snapshot(follower), snapshot_failed);
            if (succeeded)
            {
                follower->snapshot_due_.reset();
            }
        }
        if (succeeded)
        {
            backoff = follower->settings_.least_backoff_;
            continue;
        }
        ++follower->failures_;
        co_await sleep_for(spread_backoff(backoff, follower->spread_));
        backoff = std::min(backoff * 2, follower->settings_.most_backoff_);
    }
}

bool offer_state(configuration_follower& follower, const full_state& offered)
{
    if (offered.version_ < follower.replay_.state_.active_config_->version_)
    {
        return false;
    }
    const bool changed = replace_if_newer(follower.replay_.state_, offered, follower.parse_);
    announce(follower);
    return changed;
}

}  // namespace cornelstall
