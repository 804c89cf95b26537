#include "cornelstall/gateway/process/follow_servers.hpp"

#include <algorithm>
#include <ranges>

namespace cornelstall
{

namespace
{

constexpr event_kind entry_unreadable{4044, "server_entry_unreadable"};
constexpr event_kind list_unreachable{4045, "server_list_unreachable"};
constexpr event_kind list_reached{4046, "server_list_reached"};

/// Time between looks at whether a read is due.
constexpr milliseconds check_interval{100};
constexpr milliseconds first_pause{200};
constexpr milliseconds longest_pause{1000};

struct follower
{
    gateway_state& state_;
    record_log log_;
    server_decoder decode_;
};

/// The change that a record stands for; nothing when the entry names no server that can be used.
std::optional<server_list_change> change_of(const follower& self, const keyed_record& record)
{
    server_list_change change;
    change.at_ = record.offset_;
    if (record.removed_)
    {
        change.server_.id_ = server_id{record.key_};
        change.removed_ = true;
        return change;
    }
    const auto entry = self.decode_(record);
    if (!entry)
    {
        log_event(severity::warning, entry_unreadable, "the entry names no server that can be used",
                  {{"server", record.key_}, {"offset", std::to_string(record.offset_.get())}});
        return std::nullopt;
    }
    change.server_ = *entry;
    return change;
}

void take_whole(follower& self, const record_page& whole)
{
    std::vector<server_list_change> entries;
    std::set<server_id> listed;
    auto present = whole.records_ | std::views::filter([](const keyed_record& record) { return !record.removed_; });
    std::ranges::for_each(present, [&](const keyed_record& record) {
        listed.insert(server_id{record.key_});
        if (auto change = change_of(self, record))
        {
            entries.push_back(std::move(*change));
        }
    });
    apply_full_list(self.state_, std::move(entries), listed, whole.next_);
}

void apply_record(follower& self, const keyed_record& record)
{
    if (const auto change = change_of(self, record))
    {
        apply_change(self.state_, *change);
    }
}

void note_reached(follower& self, bool reached)
{
    auto& state = self.state_;
    if (reached == state.server_list_reachable_)
    {
        return;
    }
    state.server_list_reachable_ = reached;
    state.schedule_load_report_();
    if (!reached)
    {
        log_event(severity::warning, list_unreachable, "the list of servers cannot be read; the last one is kept");
        return;
    }
    handle_list_recovery(state);
    log_event(severity::info, list_reached, "the list of servers can be read");
}

task<record_page> read_whole(follower& self)
{
    auto pause = first_pause;
    while (true)
    {
        auto page = co_await self.log_.newest_();
        note_reached(self, page.reached_);
        if (page.reached_)
        {
            co_return page;
        }
        co_await sleep_for(pause);
        pause = std::min(pause * 2, longest_pause);
    }
}

/// Reads what has changed since the last known record.
/// @return false when the log no longer has these records
task<bool> read_changes(follower& self)
{
    auto& list = self.state_.server_list_;
    const auto asked_at = boot_time();
    const auto page = co_await self.log_.read_(list.next_, milliseconds{0});
    note_reached(self, page.reached_);
    if (!page.reached_)
    {
        co_await sleep_for(longest_pause);
        co_return true;
    }
    if (page.expired_)
    {
        co_return false;
    }
    std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply_record(self, record); });
    list.read_at_ = boot_time();
    confirm_list(self.state_, page.next_, asked_at);
    apply_deferred_removals(self.state_);
    self.state_.schedule_load_report_();
    co_return true;
}

}  // namespace

task<> follow_servers(gateway_state& state, record_log log, server_decoder decode)
{
    follower self{state, std::move(log), std::move(decode)};
    auto& list = state.server_list_;
    while (true)
    {
        const auto asked_at = boot_time();
        const auto whole = co_await read_whole(self);
        take_whole(self, whole);
        list.read_at_ = boot_time();
        confirm_list(state, whole.next_, asked_at);
        bool continuous = true;
        while (continuous)
        {
            co_await sleep_for(check_interval);
            if (is_read_due(state, list.confirmed_at_))
            {
                const bool known = co_await read_changes(self);
                continuous = known;
            }
        }
    }
}

}  // namespace cornelstall
