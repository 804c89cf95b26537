#include "cornelstall/gateway/process/follow_servers.hpp"

#include <algorithm>
#include <ranges>
#include <set>

#include "cornelstall/gateway/process/read_backoff.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind entry_unreadable{4044, "server_entry_unreadable"};
constexpr event_kind list_unreachable{4045, "server_list_unreachable"};
constexpr event_kind list_reached{4046, "server_list_reached"};

/// Interval between checks whether a read is due.
constexpr milliseconds check_interval{100};
/// VMs that read the log for the others while it can be reached.
constexpr std::size_t reader_count = 2;
constexpr milliseconds initial_backoff{200};
/// Longest delay between failed reads of the first two readers, which have to notice when the log is back.
constexpr milliseconds max_reader_backoff{1000};

struct follower
{
    gateway_state& state_;
    record_log log_;
    server_decoder decode_;
    std::set<std::string> unreadable_ = {};  ///< keys whose newest entry describes no usable server
    read_backoff backoff_{initial_backoff, max_reader_backoff};
};

/// Waits after a failed read. Reports of other VMs that have read the list since end the wait.
task<> back_off(follower& self)
{
    const auto confirmed_before = self.state_.server_list_.confirmed_at_;
    const std::function<bool()> is_over = [&list = self.state_.server_list_, confirmed_before] {
        return list.confirmed_at_ > confirmed_before;
    };
    co_await wait_after_failed_read(self.state_, self.backoff_, is_over);
}

/// Keys that are remembered as unreadable at most; entries of further keys are not logged.
constexpr std::size_t max_unreadable_keys = 1000;

/// Logs an entry that describes no usable server, once until its key has a usable entry again.
void log_unreadable(follower& self, const keyed_record& record)
{
    if (self.unreadable_.size() < max_unreadable_keys && self.unreadable_.insert(record.key_).second)
    {
        log_event(severity::warning, entry_unreadable,
                  "ignoring a server list entry that describes no usable server; check what the server registered",
                  {{"server", record.key_}, {"position", to_text(record.position_)}});
    }
}

/// Converts a record to a change of the server list; empty when its entry describes no usable server.
std::optional<server_list_change> to_list_change(follower& self, const keyed_record& record)
{
    server_list_change change;
    change.at_ = record.position_;
    if (record.removed_)
    {
        self.unreadable_.erase(record.key_);
        change.server_.id_ = server_id{record.key_};
        change.removed_ = true;
        return change;
    }
    const auto entry = self.decode_(record);
    if (!entry)
    {
        log_unreadable(self, record);
        return std::nullopt;
    }
    self.unreadable_.erase(record.key_);
    change.server_ = *entry;
    return change;
}

void apply_full_read(follower& self, const record_page& full_read, log_position known_before)
{
    std::vector<server_list_change> entries;
    std::set<server_id> listed;
    auto present = full_read.records_ | std::views::filter([](const keyed_record& record) { return !record.removed_; });
    std::ranges::for_each(present, [&](const keyed_record& record) {
        listed.insert(server_id{record.key_});
        if (auto change = to_list_change(self, record))
        {
            entries.push_back(std::move(*change));
        }
    });
    apply_full_list(self.state_, std::move(entries), listed, full_read.next_, known_before);
}

void apply_record(follower& self, const keyed_record& record)
{
    if (const auto change = to_list_change(self, record))
    {
        apply_change(self.state_, *change);
    }
}

void update_reachability(follower& self, bool reachable)
{
    auto& state = self.state_;
    if (reachable == state.server_list_reachable_)
    {
        return;
    }
    state.server_list_reachable_ = reachable;
    state.schedule_load_report_();
    if (!reachable)
    {
        log_event(severity::warning, list_unreachable,
                  "cannot read the server list; keeping the last known list and retrying");
        return;
    }
    log_event(severity::info, list_reached, "the server list can be read");
}

/// True when the log has answered and the answer is of its present era.
bool accept_page(follower& self, const record_page& page)
{
    const bool is_usable = accept_era_of(self.state_, page, "servers");
    update_reachability(self, is_usable);
    return is_usable;
}

task<record_page> read_full_list(follower& self)
{
    while (true)
    {
        const auto requested_at = boot_time();
        auto page = co_await self.log_.read_newest_();
        const bool reached = accept_page(self, page);
        // A server that is missing in a part of the list has not left.
        if (reached && page.complete_)
        {
            reset(self.backoff_);
            record_list_read(self.state_, requested_at);
            co_return page;
        }
        co_await back_off(self);
    }
}

/// Reads the changes after the last known record.
/// @return false when the log no longer has them, so that the full list must be read
task<bool> read_changes(follower& self)
{
    auto& list = self.state_.server_list_;
    const auto requested_at = boot_time();
    const auto from = list.next_;
    const auto page = co_await self.log_.read_from_(from, milliseconds{0});
    const bool reached = accept_page(self, page);
    if (!reached)
    {
        co_await back_off(self);
        co_return true;
    }
    reset(self.backoff_);
    record_list_read(self.state_, requested_at);
    const bool returned = self.state_.era_.era_.value_or(log_era{}) != from.era();
    if (returned || page.expired_ || page.first_ > from)
    {
        co_return false;
    }
    std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply_record(self, record); });
    const bool reaches_end = page.next_ >= page.end_;
    list.is_exact_ = list.is_exact_ || reaches_end;
    confirm_list_read(self.state_, page.next_, reaches_end ? requested_at : std::chrono::nanoseconds{0});
    list.updates_ = {};
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
        const auto requested_at = boot_time();
        const auto known_before = list.next_;
        const auto full_read = co_await read_full_list(self);
        apply_full_read(self, full_read, known_before);
        confirm_list_read(state, full_read.next_, requested_at);
        bool can_read_changes = true;
        while (can_read_changes)
        {
            co_await sleep_for(check_interval);
            apply_deferred_removals(state);
            apply_doubted_entries(state);
            if (is_read_due(state, list.confirmed_at_))
            {
                if (own_reader_position(state) >= reader_count)
                {
                    log_missing_updates(state);
                }
                const bool has_records = co_await read_changes(self);
                can_read_changes = has_records;
            }
        }
    }
}

}  // namespace cornelstall
