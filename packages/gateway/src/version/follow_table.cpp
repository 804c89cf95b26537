#include "cornelstall/gateway/version/follow_table.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

constexpr event_kind record_unreadable{3021, "routes_unreadable"};
constexpr event_kind log_lost{3022, "routes_log_unreachable"};
constexpr event_kind log_regained{3023, "routes_log_reached"};

/// Length of a poll of the first reader. The news is confirmed at each return, so this bounds its age.
constexpr milliseconds poll_wait{600};
/// Time between looks at whether a read is due.
constexpr milliseconds check_interval{100};
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{500};

struct follower
{
    gateway_state& state_;
    record_log log_;
    table_decoder decode_;
    bool lost_ = false;
};

void apply(follower& self, const keyed_record& record)
{
    if (record.removed_)
    {
        return;
    }
    auto table = self.decode_(record);
    if (!table)
    {
        log_event(severity::error, record_unreadable, "a version of the routes cannot be read; the present one is kept",
                  {{"key", record.key_}, {"offset", std::to_string(record.offset_.get())}});
        return;
    }
    activate_table(self.state_, std::move(table));
}

void note_reached(follower& self, bool reached)
{
    if (reached != self.lost_)
    {
        return;
    }
    self.lost_ = !reached;
    if (reached)
    {
        log_event(severity::info, log_regained, "the configuration can be read again");
        return;
    }
    log_event(severity::warning, log_lost, "the configuration cannot be read; the version in force is kept");
}

void apply_page(follower& self, const record_page& page, std::chrono::nanoseconds asked_at, milliseconds wait)
{
    auto& state = self.state_;
    std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply(self, record); });
    // An empty page was answered at the end of the wait, so the news is as fresh as that.
    const auto confirmed = page.records_.empty() ? std::min(boot_time(), asked_at + wait) : asked_at;
    state.table_confirmed_at_ = std::max(state.table_confirmed_at_, confirmed);
    state.table_read_at_ = boot_time();
    if (!page.records_.empty())
    {
        state.schedule_load_report_();
    }
}

/// True when this VM waits at the log for the next version; the others hear of it.
bool is_first_reader(const gateway_state& state)
{
    return own_rank(state) == 0;
}

bool is_behind(const gateway_state& state)
{
    return !state.table_ || state.table_->version_ < newest_peer_version(state.peers_);
}

task<> follow_changes(follower& self, log_offset next)
{
    auto& state = self.state_;
    auto pause = first_pause;
    while (true)
    {
        const bool waits = is_first_reader(state);
        if (!waits && !is_behind(state) && !is_read_due(state, state.table_confirmed_at_))
        {
            co_await sleep_for(check_interval);
            continue;
        }
        const auto wait = waits ? poll_wait : milliseconds{0};
        const auto asked_at = boot_time();
        const auto page = co_await self.log_.read_(next, wait);
        note_reached(self, page.reached_);
        if (page.expired_)
        {
            co_return;
        }
        if (page.reached_)
        {
            apply_page(self, page, asked_at, wait);
            next = page.next_;
            pause = first_pause;
        }
        if (!page.reached_ || is_behind(state))
        {
            // Another VM may have a version that this VM's read was too early for, or the log may be away.
            co_await sleep_for(pause);
            pause = std::min(pause * 2, longest_pause);
        }
    }
}

}  // namespace

task<> follow_table(gateway_state& state, record_log log, table_decoder decode)
{
    follower self{state, std::move(log), std::move(decode), false};
    auto pause = first_pause;
    while (true)
    {
        const auto asked_at = boot_time();
        const auto whole = co_await self.log_.newest_();
        note_reached(self, whole.reached_);
        if (!whole.reached_)
        {
            co_await sleep_for(pause);
            pause = std::min(pause * 2, longest_pause);
            continue;
        }
        pause = first_pause;
        std::ranges::for_each(whole.records_, [&self](const keyed_record& record) { apply(self, record); });
        state.table_confirmed_at_ = std::max(state.table_confirmed_at_, asked_at);
        state.table_read_at_ = boot_time();
        state.schedule_load_report_();
        co_await follow_changes(self, whole.next_);
    }
}

}  // namespace cornelstall
