#include "cornelstall/gateway/process/server_list.hpp"

#include <algorithm>
#include <ranges>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/process/evacuation_list.hpp"
#include "cornelstall/gateway/process/gateway_state.hpp"
#include "request/send_watch.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind server_listed{4042, "server_listed"};
constexpr event_kind server_removed{4043, "server_removed"};
constexpr event_kind removal_deferred{4061, "server_removal_deferred"};
constexpr event_kind list_behind{4062, "server_list_behind"};
constexpr event_kind list_read_again{4064, "server_list_read_again"};
constexpr event_kind list_returned{4067, "server_list_returned"};
constexpr event_kind doubted_entry_applied{4068, "server_entry_accepted"};

/// This VM sends what it read itself until the read is this old. VMs that receive nothing newer read the log
/// themselves.
constexpr milliseconds max_own_read_age{3000};
/// Changes are kept this long for VMs that missed reports: longer than most process stalls and network partitions last.
constexpr std::chrono::seconds change_retention{30};
/// A VM that lacks more changes reads them from the log. Without this limit, the registration of 3,000 servers fills
/// the links of the VMs that receive the changes.
constexpr std::size_t max_changes_per_update = 96;
/// Room for evacuation requests in a load report: the names of all data centres of the largest deployment. The rest of
/// the datagram is for the load.
constexpr byte_count max_evacuation_bytes{512};
/// A VM that has been silent for three report intervals does not count as a log reader.
constexpr milliseconds reader_silence_limit{1000};
/// The log removes the entry of a server that is gone after three heartbeats (3.6 s), and servers write their entries
/// again within 2 s of its return.
constexpr milliseconds doubt_period{6000};

milliseconds age_of(std::chrono::nanoseconds boot_timestamp)
{
    return std::chrono::duration_cast<milliseconds>(boot_time() - boot_timestamp);
}

void remove_server(gateway_state& state, const server_id& id, log_position at, const std::string& source)
{
    if (remove_listed_server(state.directory_, id, at))
    {
        log_event(severity::info, server_removed, "server removed from the server list",
                  {{"server", id.get()},
                   {"position", to_text(at)},
                   {"source", source},
                   {"list_age_ms", std::to_string(server_list_age(state).count())}});
        listed_server removed;
        removed.id_ = id;
        review_sends_to(state, removed);
    }
}

/// Keeps @a change for the VMs that lack it. What lies before the known end is there already.
void keep_change(server_list& list, const server_list_change& change, time_point now)
{
    if (change.at_ >= list.next_)
    {
        list.changes_.push_back({now, change});
    }
}

/// Forgets the changes before @a begin. VMs that lack them read the log themselves.
void start_changes_at(server_list& list, log_position begin)
{
    list.changes_begin_ = std::max(list.changes_begin_, begin);
    list.unread_.reset();
    std::erase_if(list.changes_,
                  [&list](const recent_change& recent) { return recent.change_.at_ < list.changes_begin_; });
}

/// Records that the changes from @a unread on are the difference of two lists. Of several such differences only the
/// latest is sent to other VMs.
void add_unread(server_list& list, const unread_span& unread)
{
    if (list.unread_)
    {
        start_changes_at(list, list.unread_->end_);
    }
    list.unread_ = unread;
}

bool is_ready_server(const gateway_state& state, const server_id& id)
{
    const auto found = state.directory_.servers_.find(id);
    return found != state.directory_.servers_.end() && found->second.listed_.state_ == server_state::ready;
}

void apply_upsert(gateway_state& state, const server_list_change& change, const std::string& source)
{
    auto& list = state.server_list_;
    const auto now = std::chrono::steady_clock::now();
    const auto deferred = list.deferred_removals_.find(change.server_.id_);
    const bool is_outdated = deferred != list.deferred_removals_.end() && change.at_ <= deferred->second.at_;
    if (is_outdated)
    {
        return;
    }
    if (is_newer_entry(state.directory_, change.server_.id_, change.at_))
    {
        list.deferred_removals_.erase(change.server_.id_);
    }
    if (!upsert_listed_server(state.directory_, change.server_, change.at_, now))
    {
        return;
    }
    notify_capacity_changed(state.wait_queues_);
    review_sends_to(state, change.server_);
    log_event(severity::info, server_listed,
              change.server_.state_ == server_state::ready ? "server listed as ready" : "server listed as draining",
              {{"server", change.server_.id_.get()},
               {"address", change.server_.address_.get()},
               {"position", to_text(change.at_)},
               {"source", source},
               {"list_age_ms", std::to_string(server_list_age(state).count())}});
}

void drop_old_changes(server_list& list, time_point now)
{
    while (!list.changes_.empty() && now - list.changes_.front().seen_at_ > change_retention)
    {
        list.changes_begin_ = std::max(list.changes_begin_, list.changes_.front().change_.at_.next());
        list.changes_.pop_front();
    }
    if (list.unread_ && list.unread_->end_ <= list.changes_begin_)
    {
        list.unread_.reset();
    }
}

/// True when a change that another VM sent can be applied; that VM may run a release that accepted an odd entry.
bool is_usable(const server_list_change& change)
{
    const auto endpoint = parse_endpoint(change.server_.address_.get());
    return !change.server_.id_.empty() &&
           (change.removed_ || (endpoint && endpoint->port() != 0 && change.server_.slots_ > 0));
}

/// Adds what the sender of @a update knows of reads of the log. Also of an update whose changes cannot be applied.
void add_reported_reads(known_reads& known, const log_update& update, std::chrono::nanoseconds now)
{
    const bool after_outage = update.removal_grace_ > milliseconds{0};
    if (update.reads_)
    {
        add_reads(known, {now - update.reads_->since_age_, now - update.reads_->until_age_, after_outage});
    }
    else if (after_outage)
    {
        const auto outage_end = now + std::min(update.removal_grace_, removal_grace_period) - removal_grace_period;
        add_reads(known, {outage_end, outage_end, true});
    }
}

/// Removes the server of @a change after @a grace, or at once when there is none or the server takes no work anyway.
/// @param after_return whether the log may have lost the entry when it came back from a copy
void apply_removal(gateway_state& state, const server_list_change& change, const std::string& source,
                   milliseconds grace, bool after_return)
{
    if (grace <= milliseconds{0} || !is_ready_server(state, change.server_.id_))
    {
        remove_server(state, change.server_.id_, change.at_, source);
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto due = removal_due(now, now + grace, state.settings_.staleness_bound_);
    const auto [deferred, inserted] = state.server_list_.deferred_removals_.try_emplace(
        change.server_.id_, deferred_removal{change.at_, due, after_return});
    if (!inserted)
    {
        // Read again; it is due as before.
        deferred->second.at_ = std::max(deferred->second.at_, change.at_);
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(due - now);
    log_event(severity::info, removal_deferred,
              "the entry of a ready server may be missing only because of an outage of the log or its return from a "
              "copy; the server is kept for a time",
              {{"server", change.server_.id_.get()},
               {"position", to_text(change.at_)},
               {"source", source},
               {"after_return", after_return ? "1" : "0"},
               {"readable_for_ms", std::to_string(age_of(state.server_list_.reads_.since_).count())},
               {"for_ms", std::to_string(left.count())}});
}

/// Applies @a change to the directory without keeping it for other VMs. The entry of a ready server may have been
/// removed only because the server could not renew it during an outage of the log.
void apply_to_directory(gateway_state& state, const server_list_change& change, const std::string& source)
{
    if (!change.removed_)
    {
        apply_upsert(state, change, source);
        return;
    }
    apply_removal(state, change, source, removal_grace(state.server_list_.reads_, boot_time()), false);
}

/// True for an entry that the log may have had in the copy that it came back from, and that says less than is known.
bool is_doubted(const gateway_state& state, const server_list_change& entry)
{
    const auto& list = state.server_list_;
    const bool may_be_copied =
        list.return_ && covers(list.return_->first_end_, entry.at_) && age_of(list.return_->read_at_) < doubt_period;
    const auto deferred = list.deferred_removals_.find(entry.server_.id_);
    const bool was_removed = deferred != list.deferred_removals_.end() && !is_same_era(deferred->second.at_, entry.at_);
    return may_be_copied && (was_removed || may_be_outdated(state.directory_, entry.server_));
}

/// Notes that the log has come back from a copy, whose list ends at @a next.
void begin_return(server_list& list, log_position next, std::size_t servers)
{
    log_event(
        severity::warning, list_returned,
        "the full server list was read after the log came back from an older copy; servers that are missing in it "
        "are kept for a time, and entries that say less than is known are not believed yet",
        {{"known_end", to_text(list.next_)}, {"position", to_text(next)}, {"servers", std::to_string(servers)}});
    list.return_ = list_return{next, boot_time()};
    list.doubted_.clear();
}

}  // namespace

void apply_change(gateway_state& state, const server_list_change& change, const std::string& source)
{
    if (change.at_ < state.server_list_.next_)
    {
        return;
    }
    keep_change(state.server_list_, change, std::chrono::steady_clock::now());
    state.server_list_.doubted_.erase(change.server_.id_);
    apply_to_directory(state, change, source);
}

void record_list_read(gateway_state& state, std::chrono::nanoseconds requested_at)
{
    // The log may have been away until it answered, and again as soon as it had received the request.
    state.server_list_.read_at_ = boot_time();
    add_reads(state.server_list_.reads_, {state.server_list_.read_at_, requested_at, false});
}

void apply_deferred_removals(gateway_state& state)
{
    auto& removals = state.server_list_.deferred_removals_;
    if (removals.empty() || server_list_age(state) >= min_expiry_outage)
    {
        return;
    }
    const bool is_grace_over = removal_grace(state.server_list_.reads_, boot_time()) == milliseconds{0};
    std::erase_if(removals, [&state, is_grace_over, now = std::chrono::steady_clock::now()](const auto& entry) {
        const bool is_due = (is_grace_over && !entry.second.after_return_) || entry.second.due_at_ <= now;
        if (is_due)
        {
            remove_server(state, entry.first, entry.second.at_, "deferred");
        }
        return is_due;
    });
}

void apply_doubted_entries(gateway_state& state)
{
    auto& list = state.server_list_;
    const bool is_settled = list.return_ && age_of(list.return_->read_at_) >= doubt_period;
    if (list.doubted_.empty() || !is_settled || server_list_age(state) >= min_expiry_outage)
    {
        return;
    }
    std::ranges::for_each(std::exchange(list.doubted_, {}) | std::views::values, [&](const server_list_change& entry) {
        log_event(severity::info, doubted_entry_applied,
                  "the log still has an entry that it had when it came back from a copy; it is believed",
                  {{"server", entry.server_.id_.get()}, {"position", to_text(entry.at_)}});
        apply_upsert(state, entry, log_read);
    });
}

void apply_full_list(gateway_state& state, std::vector<server_list_change> entries, const std::set<server_id>& listed,
                     log_position next, log_position known_before)
{
    auto& list = state.server_list_;
    const bool is_other_era = list.listed_ && !is_same_era(list.next_, next);
    const bool is_overtaken = list.listed_ && next < list.next_ && (known_before <= next || is_other_era);
    if (is_overtaken)
    {
        return;
    }
    if (is_other_era)
    {
        begin_return(list, next, listed.size());
    }
    else if (list.listed_ && list.next_ < next)
    {
        log_event(severity::info, list_read_again,
                  "the full server list was read again, without the records in between",
                  {{"known_end", to_text(list.next_)},
                   {"position", to_text(next)},
                   {"servers", std::to_string(listed.size())},
                   {"list_age_ms", std::to_string(server_list_age(state).count())}});
        add_unread(list, {list.next_, next});
    }
    // Log updates to other VMs carry these changes like those that were read one by one, ordered by position.
    std::ranges::sort(entries, {}, &server_list_change::at_);
    std::erase_if(list.doubted_, [&listed](const auto& entry) { return !listed.contains(entry.first); });
    std::ranges::for_each(entries, [&state, next, is_other_era](const server_list_change& entry) {
        if (is_doubted(state, entry))
        {
            state.server_list_.doubted_[entry.server_.id_] = entry;
            return;
        }
        state.server_list_.doubted_.erase(entry.server_.id_);
        // The pages of the read are no snapshot. What is newer than the first of them is read once more as a record,
        // which the other VMs get in its turn.
        if (entry.at_ < next && !is_other_era)
        {
            keep_change(state.server_list_, entry, std::chrono::steady_clock::now());
        }
        apply_to_directory(state, entry, log_read);
    });
    std::vector<server_id> unlisted;
    std::ranges::copy_if(state.directory_.servers_ | std::views::keys, std::back_inserter(unlisted),
                         [&listed](const server_id& id) { return !listed.contains(id); });
    // A server that registers again under this id has a record at `next` or later, so the removal must come before
    // that.
    const auto last_position = next.previous();
    const bool is_empty = last_position == next;
    std::ranges::for_each(unlisted, [&](const server_id& id) {
        server_list_change change;
        change.server_.id_ = id;
        change.removed_ = true;
        // An empty list has no position before its end; its first record must not count as older than the removal.
        change.at_ = is_empty ? state.directory_.servers_.at(id).record_position_ : last_position;
        const auto deferred = list.deferred_removals_.find(id);
        const bool is_kept = deferred != list.deferred_removals_.end() && deferred->second.after_return_;
        if (is_other_era || is_kept)
        {
            // The copy may lack the entry.
            apply_removal(state, change, log_read, removal_grace_period, true);
            return;
        }
        keep_change(list, change, std::chrono::steady_clock::now());
        apply_to_directory(state, change, log_read);
    });
    if (!list.listed_ || !list.is_exact_ || is_other_era)
    {
        // The difference to what was known before is not complete.
        start_changes_at(list, next);
    }
    list.listed_ = true;
    list.is_exact_ = false;
}

void confirm_list(gateway_state& state, log_position next, std::chrono::nanoseconds confirmed_at)
{
    state.server_list_.next_ = std::max(state.server_list_.next_, next);
    state.server_list_.confirmed_at_ = std::max(state.server_list_.confirmed_at_, confirmed_at);
}

void confirm_list_read(gateway_state& state, log_position next, std::chrono::nanoseconds confirmed_at)
{
    confirm_list(state, next, confirmed_at);
    record_list_read(state, confirmed_at);
    state.server_list_.own_confirmed_at_ = std::max(state.server_list_.own_confirmed_at_, confirmed_at);
}

void confirm_table_read(gateway_state& state, std::chrono::nanoseconds confirmed_at)
{
    state.table_read_at_ = boot_time();
    state.table_confirmed_at_ = std::max(state.table_confirmed_at_, confirmed_at);
    state.table_own_confirmed_at_ = std::max(state.table_own_confirmed_at_, confirmed_at);
    state.evacuations_confirmed_at_ = std::max(state.evacuations_confirmed_at_, confirmed_at);
}

log_update make_log_update(gateway_state& state)
{
    auto& list = state.server_list_;
    const auto now = std::chrono::steady_clock::now();
    drop_old_changes(list, now);
    log_update update;
    update.log_reachable_ = state.server_list_reachable_;
    update.server_list_end_ = list.listed_ ? list.next_ : log_position{};
    update.removal_grace_ = removal_grace(list.reads_, boot_time());
    if (list.listed_)
    {
        const auto until = reported_until(list.reads_, list.own_confirmed_at_);
        update.reads_ = reported_reads{age_of(list.reads_.since_), age_of(until)};
    }
    if (state.table_ && age_of(state.table_read_at_) < max_own_read_age)
    {
        update.routing_table_age_ = age_of(state.table_own_confirmed_at_);
    }
    update.evacuations_ = to_report(state.directory_.evacuations_, max_evacuation_bytes);
    if (list.listed_ && age_of(list.read_at_) < max_own_read_age)
    {
        update.server_list_age_ = age_of(list.own_confirmed_at_);
        update.changes_begin_ = list.changes_begin_;
        update.changes_end_ = list.next_;
        update.unread_ = list.unread_;
        std::ranges::transform(list.changes_, std::back_inserter(update.changes_), &recent_change::change_);
        drop_changes_before(update, oldest_missing_position(state.peers_, list.next_, reader_silence_limit, now));
        if (update.changes_.size() > max_changes_per_update)
        {
            drop_changes_before(update, update.changes_[update.changes_.size() - max_changes_per_update].at_);
        }
    }
    return update;
}

void apply_log_update(gateway_state& state, const log_update& update, configuration_version version,
                      const vm_id& source)
{
    const auto now = boot_time();
    if (update.routing_table_age_ && state.table_ && state.table_->version_ == version)
    {
        state.table_confirmed_at_ = std::max(state.table_confirmed_at_, now - *update.routing_table_age_);
    }
    // A later era than the log has stated to this VM may be malformed; the VM sees it in its own next read.
    const auto& evacuated = state.directory_.evacuations_;
    const bool knows_era = update.evacuations_ &&
                           update.evacuations_->end_.era() <= state.era_.era_.value_or(log_era{}) &&
                           (!evacuated.known_ || is_same_era(update.evacuations_->end_, evacuated.known_end_));
    if (knows_era)
    {
        apply_reported_evacuations(state, *update.evacuations_, source);
    }
    if (knows_era && update.routing_table_age_)
    {
        state.evacuations_confirmed_at_ = std::max(state.evacuations_confirmed_at_, now - *update.routing_table_age_);
    }
    auto& list = state.server_list_;
    add_reported_reads(list.reads_, update, now);
    // A server that is known here already from beyond the known end may have been removed at an unread offset.
    const bool lacks_records = update.unread_ && list.next_ <= update.unread_->begin_ && !list.is_exact_;
    // Whoever has not read the list in the era of the update, or has read it in a later one, cannot follow it.
    const bool is_other_era = update.changes_end_ > log_position{} && !is_same_era(update.changes_end_, list.next_);
    if (!list.listed_ || is_other_era || !can_follow(update, list.next_) || lacks_records)
    {
        ++list.updates_.with_gap_;
        return;
    }
    ++(update.server_list_age_ ? list.updates_.applied_ : list.updates_.without_age_);
    if (update.unread_ && list.next_ <= update.unread_->begin_)
    {
        add_unread(list, *update.unread_);
    }
    std::ranges::for_each(update.changes_, [&state, &source, known_end = list.next_](const server_list_change& change) {
        if (change.at_ >= known_end && is_usable(change))
        {
            apply_change(state, change, source.get());
        }
    });
    list.next_ = std::max(list.next_, update.changes_end_);
    if (update.server_list_age_)
    {
        confirm_list(state, update.changes_end_, now - *update.server_list_age_);
        apply_deferred_removals(state);
    }
}

milliseconds server_list_age(const gateway_state& state)
{
    return age_of(state.server_list_.confirmed_at_);
}

void log_missing_updates(const gateway_state& state)
{
    const auto& list = state.server_list_;
    log_event(severity::info, list_behind, "the reports of the other VMs do not keep the server list up to date",
              {{"list_age_ms", std::to_string(server_list_age(state).count())},
               {"position", std::to_string(own_reader_position(state))},
               {"known_end", to_text(list.next_)},
               {"applied", std::to_string(list.updates_.applied_)},
               {"without_age", std::to_string(list.updates_.without_age_)},
               {"with_gap", std::to_string(list.updates_.with_gap_)},
               {"out_of_order", std::to_string(list.updates_.out_of_order_)},
               {"longest_delay_ms", std::to_string(list.updates_.longest_delay_.count())}});
}

std::size_t own_reader_position(const gateway_state& state)
{
    return log_reader_position(state.peers_, vm_id{state.settings_.name_}, state.server_list_reachable_,
                               reader_silence_limit, std::chrono::steady_clock::now());
}

bool is_read_due(const gateway_state& state, std::chrono::nanoseconds confirmed_at)
{
    return age_of(confirmed_at) >= log_poll_delay(own_reader_position(state), state.settings_.staleness_bound_);
}

}  // namespace cornelstall
