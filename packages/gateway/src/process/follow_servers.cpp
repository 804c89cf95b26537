#include "cornelstall/gateway/process/follow_servers.hpp"

#include <algorithm>
#include <set>

namespace cornelstall
{

namespace
{

constexpr event_kind server_changed{4042, "server_listed"};
constexpr event_kind server_removed{4043, "server_removed"};
constexpr event_kind entry_unreadable{4044, "server_entry_unreadable"};
constexpr event_kind list_unreachable{4045, "server_list_unreachable"};
constexpr event_kind list_reached{4046, "server_list_reached"};

/// Time between reads; a server that leaves must get no request two seconds after it said so.
constexpr milliseconds poll_interval{700};
constexpr milliseconds first_pause{200};
constexpr milliseconds longest_pause{1000};
/// Entries that lapsed while the log was away are written again within two seconds of its return.
constexpr milliseconds lapse_grace{2500};

struct follower
{
    gateway_state& state_;
    record_log log_;
    server_decoder decode_;
    bool lost_ = false;       ///< the last read failed
    time_point lapse_until_;  ///< removals read before are confirmed at this instant
    std::map<server_id, log_offset> lapsed_;
};

void remove_server(follower& self, const server_id& id, log_offset at)
{
    if (unlist_server(self.state_.directory_, id, at))
    {
        log_event(severity::info, server_removed, "a server is gone from the list",
                  {{"server", id.get()}, {"offset", std::to_string(at.get())}});
    }
}

/// True when the removal of a server says only that it could not write its entry.
bool may_have_lapsed(const follower& self, const server_id& id, time_point now)
{
    const auto found = self.state_.directory_.servers_.find(id);
    return now < self.lapse_until_ && found != self.state_.directory_.servers_.end() &&
           found->second.listed_.state_ == server_state::ready;
}

void apply_removal(follower& self, const server_id& id, log_offset at)
{
    if (may_have_lapsed(self, id, std::chrono::steady_clock::now()))
    {
        self.lapsed_[id] = at;
        return;
    }
    remove_server(self, id, at);
}

void apply_entry(follower& self, const keyed_record& record)
{
    const server_id id{record.key_};
    if (record.removed_)
    {
        apply_removal(self, id, record.offset_);
        return;
    }
    auto entry = self.decode_(record);
    if (!entry)
    {
        log_event(severity::warning, entry_unreadable, "the entry names no server that can be used",
                  {{"server", record.key_}, {"offset", std::to_string(record.offset_.get())}});
        return;
    }
    self.lapsed_.erase(id);
    const std::string address = entry->address_.get();
    const char* const condition = entry->state_ == server_state::ready ? "ready" : "draining";
    if (list_server(self.state_.directory_, std::move(*entry), record.offset_, std::chrono::steady_clock::now()))
    {
        log_event(severity::info, server_changed, condition,
                  {{"server", record.key_}, {"address", address}, {"offset", std::to_string(record.offset_.get())}});
    }
}

void confirm_lapses(follower& self)
{
    if (self.lapsed_.empty() || std::chrono::steady_clock::now() < self.lapse_until_)
    {
        return;
    }
    const auto lapsed = std::exchange(self.lapsed_, {});
    std::ranges::for_each(lapsed, [&self](const auto& entry) { remove_server(self, entry.first, entry.second); });
}

/// Removes the servers that the whole list does not have.
void remove_missing(follower& self, const record_page& whole)
{
    std::set<server_id> listed;
    std::ranges::for_each(whole.records_, [&listed](const keyed_record& record) {
        if (!record.removed_)
        {
            listed.insert(server_id{record.key_});
        }
    });
    std::vector<server_id> missing;
    std::ranges::for_each(self.state_.directory_.servers_, [&](const auto& entry) {
        if (!listed.contains(entry.first))
        {
            missing.push_back(entry.first);
        }
    });
    std::ranges::for_each(missing, [&](const server_id& id) { apply_removal(self, id, whole.next_); });
}

void note_reached(follower& self, bool reached)
{
    if (reached == !self.lost_)
    {
        return;
    }
    self.lost_ = !reached;
    if (reached)
    {
        self.lapse_until_ = std::chrono::steady_clock::now() + lapse_grace;
        log_event(severity::info, list_reached, "the list of servers can be read again");
        return;
    }
    log_event(severity::warning, list_unreachable, "the list of servers cannot be read; the last one is kept");
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

/// Follows the changes after @a next until the log no longer has them.
task<> follow_changes(follower& self, log_offset next)
{
    auto pause = poll_interval;
    while (true)
    {
        co_await sleep_for(pause);
        const auto page = co_await self.log_.read_(next, milliseconds{0});
        note_reached(self, page.reached_);
        pause = page.reached_ ? poll_interval : longest_pause;
        if (page.expired_)
        {
            co_return;
        }
        if (page.reached_)
        {
            std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply_entry(self, record); });
            confirm_lapses(self);
            next = page.next_;
        }
    }
}

}  // namespace

task<> follow_servers(gateway_state& state, record_log log, server_decoder decode)
{
    follower self{state, std::move(log), std::move(decode), false, {}, {}};
    while (true)
    {
        const auto whole = co_await read_whole(self);
        std::ranges::for_each(whole.records_, [&self](const keyed_record& record) { apply_entry(self, record); });
        remove_missing(self, whole);
        state.servers_listed_ = true;
        co_await follow_changes(self, whole.next_);
    }
}

}  // namespace cornelstall
