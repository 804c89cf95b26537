#include "cornelstall/gateway/process/server_list.hpp"

#include <algorithm>
#include <ranges>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind server_changed{4042, "server_listed"};
constexpr event_kind server_removed{4043, "server_removed"};

/// What this VM read itself is told this long; others that hear nothing newer read the log themselves.
constexpr milliseconds tell_for{3000};
/// Changes are kept this long for VMs that missed their reports, longer than VMs stand still or are cut off on most
/// days.
constexpr std::chrono::seconds keep_for{30};
/// A VM that lacks more changes reads them from the log. While 3,000 servers registered, readers told them all to VMs
/// whose links were full of it.
constexpr std::size_t most_told = 96;
/// Entries that lapsed while the log was away are written again within two seconds of its return.
constexpr milliseconds lapse_grace{2500};
/// A log that some VM could read this short a time ago was not away for the three heartbeats after which entries lapse.
constexpr milliseconds shortest_lapse{2500};
/// A VM that is silent for three reports does not count among the readers.
constexpr milliseconds reader_silence{1000};

void remove_server(gateway_state& state, const server_id& id, log_offset at)
{
    if (remove_listed_server(state.directory_, id, at))
    {
        log_event(severity::info, server_removed, "a server is gone from the list",
                  {{"server", id.get()}, {"offset", std::to_string(at.get())}});
    }
}

/// True when the removal of a server may only say that it could not write its entry.
bool may_have_lapsed(const gateway_state& state, const server_id& id, time_point now)
{
    const auto found = state.directory_.servers_.find(id);
    return now < state.server_list_.defer_removals_until_ && found != state.directory_.servers_.end() &&
           found->second.listed_.state_ == server_state::ready;
}

void apply_listing(gateway_state& state, const server_list_change& change)
{
    state.server_list_.deferred_removals_.erase(change.server_.id_);
    if (!upsert_listed_server(state.directory_, change.server_, change.at_, std::chrono::steady_clock::now()))
    {
        return;
    }
    state.server_list_.changes_.push_back({std::chrono::steady_clock::now(), change});
    log_event(severity::info, server_changed,
              change.server_.state_ == server_state::ready ? "a server is ready" : "a server is draining",
              {{"server", change.server_.id_.get()},
               {"address", change.server_.address_.get()},
               {"offset", std::to_string(change.at_.get())}});
}

void drop_old_changes(server_list& list, time_point now)
{
    while (!list.changes_.empty() && now - list.changes_.front().seen_at_ > keep_for)
    {
        list.changes_from_ = std::max(list.changes_from_, list.changes_.front().change_.at_.next());
        list.changes_.pop_front();
    }
}

milliseconds age_of(std::chrono::nanoseconds moment)
{
    return std::chrono::duration_cast<milliseconds>(boot_time() - moment);
}

}  // namespace

void apply_change(gateway_state& state, const server_list_change& change)
{
    if (!change.removed_)
    {
        apply_listing(state, change);
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    state.server_list_.changes_.push_back({now, change});
    if (may_have_lapsed(state, change.server_.id_, now))
    {
        state.server_list_.deferred_removals_[change.server_.id_] = change.at_;
        return;
    }
    remove_server(state, change.server_.id_, change.at_);
}

void handle_list_recovery(gateway_state& state)
{
    if (age_of(state.server_list_.confirmed_at_) >= shortest_lapse)
    {
        state.server_list_.defer_removals_until_ = std::chrono::steady_clock::now() + lapse_grace;
    }
}

void apply_deferred_removals(gateway_state& state)
{
    auto& list = state.server_list_;
    if (list.deferred_removals_.empty() || std::chrono::steady_clock::now() < list.defer_removals_until_)
    {
        return;
    }
    const auto lapsed = std::exchange(list.deferred_removals_, {});
    std::ranges::for_each(lapsed, [&state](const auto& entry) { remove_server(state, entry.first, entry.second); });
}

void apply_full_list(gateway_state& state, std::vector<server_list_change> entries, const std::set<server_id>& listed,
                     log_offset next)
{
    auto& list = state.server_list_;
    // Told to others like changes that were read one by one, so in the order of their offsets.
    std::ranges::sort(entries, {}, &server_list_change::at_);
    std::ranges::for_each(entries, [&state](const server_list_change& entry) { apply_change(state, entry); });
    std::vector<server_id> missing;
    std::ranges::copy_if(state.directory_.servers_ | std::views::keys, std::back_inserter(missing),
                         [&listed](const server_id& id) { return !listed.contains(id); });
    // A server that comes again under this id is listed at `next` or later.
    const log_offset last{next.get() == 0 ? 0 : next.get() - 1};
    std::ranges::for_each(missing, [&](const server_id& id) {
        server_list_change change;
        change.server_.id_ = id;
        change.removed_ = true;
        change.at_ = last;
        apply_change(state, change);
    });
    if (!list.listed_)
    {
        list.changes_.clear();
        list.changes_from_ = next;
        list.listed_ = true;
    }
}

void confirm_list(gateway_state& state, log_offset next, std::chrono::nanoseconds confirmed_at)
{
    state.server_list_.next_ = std::max(state.server_list_.next_, next);
    state.server_list_.confirmed_at_ = std::max(state.server_list_.confirmed_at_, confirmed_at);
}

log_update make_log_update(gateway_state& state)
{
    auto& list = state.server_list_;
    const auto now = std::chrono::steady_clock::now();
    drop_old_changes(list, now);
    log_update news;
    news.log_reachable_ = state.server_list_reachable_;
    news.server_list_end_ = list.listed_ ? list.next_ : log_offset{0};
    if (state.table_ && age_of(state.table_read_at_) < tell_for)
    {
        news.routing_table_age_ = age_of(state.table_confirmed_at_);
    }
    if (list.listed_ && age_of(list.read_at_) < tell_for)
    {
        news.server_list_age_ = age_of(list.confirmed_at_);
        news.changes_begin_ = list.changes_from_;
        news.changes_end_ = list.next_;
        std::ranges::transform(list.changes_, std::back_inserter(news.changes_), &recent_change::change_);
        drop_changes_before(news, oldest_missing_offset(state.peers_, list.next_, reader_silence, now));
        if (news.changes_.size() > most_told)
        {
            drop_changes_before(news, news.changes_[news.changes_.size() - most_told].at_);
        }
    }
    return news;
}

void apply_log_update(gateway_state& state, const log_update& news, configuration_version version)
{
    const auto now = boot_time();
    if (news.routing_table_age_ && state.table_ && state.table_->version_ == version)
    {
        state.table_confirmed_at_ = std::max(state.table_confirmed_at_, now - *news.routing_table_age_);
    }
    auto& list = state.server_list_;
    if (!list.listed_ || list.next_ < news.changes_begin_)
    {
        return;
    }
    std::ranges::for_each(news.changes_, [&state, known = list.next_](const server_list_change& change) {
        if (change.at_ >= known)
        {
            apply_change(state, change);
        }
    });
    list.next_ = std::max(list.next_, news.changes_end_);
    if (news.server_list_age_)
    {
        confirm_list(state, news.changes_end_, now - *news.server_list_age_);
        apply_deferred_removals(state);
    }
}

std::size_t own_rank(const gateway_state& state)
{
    return log_reader_position(state.peers_, vm_id{state.settings_.name_}, reader_silence,
                               std::chrono::steady_clock::now());
}

bool is_read_due(const gateway_state& state, std::chrono::nanoseconds confirmed_at)
{
    return age_of(confirmed_at) >= log_poll_delay(own_rank(state));
}

}  // namespace cornelstall
