#include "cornelstall/gateway/version/follow_table.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

constexpr event_kind record_unreadable{3021, "routes_unreadable"};
constexpr event_kind log_unreachable{3022, "routes_log_unreachable"};
constexpr event_kind log_reached{3023, "routes_log_reached"};

/// Longest wait of a long poll of the first reader. Each response confirms the active table, so this bounds the age of
/// the confirmation.
constexpr milliseconds long_poll_timeout{600};
/// Interval between checks whether a read is due.
constexpr milliseconds check_interval{100};
constexpr milliseconds initial_backoff{100};
constexpr milliseconds max_backoff{500};

struct follower
{
    gateway_state& state_;
    record_log log_;
    table_decoder decode_;
    bool log_unreachable_ = false;
};

void apply_record(follower& self, const keyed_record& record)
{
    if (record.removed_)
    {
        return;
    }
    auto table = self.decode_(record);
    if (!table)
    {
        log_event(severity::error, record_unreadable,
                  "cannot decode a version of the routing table; keeping the active version, publish a corrected "
                  "configuration",
                  {{"key", record.key_}, {"offset", std::to_string(record.offset_.get())}});
        return;
    }
    activate_table(self.state_, std::move(table));
}

void update_reachability(follower& self, bool reachable)
{
    if (reachable != self.log_unreachable_)
    {
        return;
    }
    self.log_unreachable_ = !reachable;
    if (reachable)
    {
        log_event(severity::info, log_reached, "the configuration log can be read again");
        return;
    }
    log_event(severity::warning, log_unreachable,
              "cannot read the configuration log; keeping the active version and retrying");
}

void apply_page(follower& self, const record_page& page, std::chrono::nanoseconds requested_at,
                milliseconds poll_timeout)
{
    auto& state = self.state_;
    std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply_record(self, record); });
    // The log answers with an empty page only at the end of the wait, so the table was up to date at that time.
    const auto confirmed = page.records_.empty() ? std::min(boot_time(), requested_at + poll_timeout) : requested_at;
    state.table_confirmed_at_ = std::max(state.table_confirmed_at_, confirmed);
    state.table_read_at_ = boot_time();
    if (!page.records_.empty())
    {
        state.schedule_load_report_();
    }
}

/// True when this VM long-polls the log for the next version. The other VMs learn of a new version from load
/// reports.
bool is_first_reader(const gateway_state& state)
{
    return own_reader_position(state) == 0;
}

bool is_behind_peers(const gateway_state& state)
{
    return !state.table_ || state.table_->version_ < newest_peer_version(state.peers_);
}

task<> follow_changes(follower& self, log_offset next)
{
    auto& state = self.state_;
    auto backoff = initial_backoff;
    while (true)
    {
        const bool long_polls = is_first_reader(state);
        if (!long_polls && !is_behind_peers(state) && !is_read_due(state, state.table_confirmed_at_))
        {
            co_await sleep_for(check_interval);
            continue;
        }
        const auto poll_timeout = long_polls ? long_poll_timeout : milliseconds{0};
        const auto requested_at = boot_time();
        const auto page = co_await self.log_.read_from_(next, poll_timeout);
        update_reachability(self, page.reached_);
        if (page.expired_)
        {
            co_return;
        }
        if (page.reached_)
        {
            apply_page(self, page, requested_at, poll_timeout);
            next = page.next_;
            backoff = initial_backoff;
        }
        if (!page.reached_ || is_behind_peers(state))
        {
            // Either the log is unreachable, or another VM has a version that was appended after this VM's read.
            co_await sleep_for(backoff);
            backoff = std::min(backoff * 2, max_backoff);
        }
    }
}

}  // namespace

task<> follow_table(gateway_state& state, record_log log, table_decoder decode)
{
    follower self{state, std::move(log), std::move(decode), false};
    auto backoff = initial_backoff;
    while (true)
    {
        const auto requested_at = boot_time();
        const auto full_read = co_await self.log_.read_newest_();
        update_reachability(self, full_read.reached_);
        if (!full_read.reached_)
        {
            co_await sleep_for(backoff);
            backoff = std::min(backoff * 2, max_backoff);
            continue;
        }
        backoff = initial_backoff;
        std::ranges::for_each(full_read.records_, [&self](const keyed_record& record) { apply_record(self, record); });
        state.table_confirmed_at_ = std::max(state.table_confirmed_at_, requested_at);
        state.table_read_at_ = boot_time();
        state.schedule_load_report_();
        co_await follow_changes(self, full_read.next_);
    }
}

}  // namespace cornelstall
