#include "cornelstall/gateway/version/follow_table.hpp"

#include <algorithm>

#include "cornelstall/gateway/connection/http_client.hpp"
#include "cornelstall/gateway/process/evacuation_list.hpp"
#include "cornelstall/gateway/process/read_backoff.hpp"
#include "cornelstall/wire.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind record_unreadable{3021, "routes_unreadable"};
constexpr event_kind log_unreachable{3022, "routes_log_unreachable"};
constexpr event_kind log_reached{3023, "routes_log_reached"};

/// Interval between checks whether a read is due.
constexpr milliseconds check_interval{100};
constexpr milliseconds initial_backoff{100};
/// Longest delay between failed reads of the first two readers, which have to notice when the log is back.
constexpr milliseconds max_reader_backoff{500};
/// Transfers from other VMs that may fail before a VM reads a new version from the log itself.
constexpr int max_failed_transfers = 4;
/// A VM on the slowest link needs about 0.2 s for the largest documents.
constexpr milliseconds transfer_timeout{600};
/// A VM that was refused a transfer asks another one after a random delay of at most this length; by then more VMs have
/// the version.
constexpr milliseconds max_transfer_delay{120};
constexpr byte_count max_document_bytes{4ULL * 1024 * 1024};

struct follower
{
    gateway_state& state_;
    record_log log_;
    table_decoder decode_;
    evacuation_decoder decode_evacuation_;
    read_backoff backoff_{initial_backoff, max_reader_backoff};
    bool log_unreachable_ = false;
    int failed_transfers_ = 0;  ///< since the last new version
};

/// The evacuation that @a record requests or removes; `std::nullopt` when the record is not about evacuations.
std::optional<evacuation_entry> decode_evacuation(const follower& self, const keyed_record& record)
{
    const auto data_centre = self.decode_evacuation_ ? self.decode_evacuation_(record) : std::nullopt;
    return data_centre ? std::optional(evacuation_entry{*data_centre, record.position_, !record.removed_})
                       : std::nullopt;
}

void apply_record(follower& self, const keyed_record& record)
{
    if (const auto evacuation = decode_evacuation(self, record))
    {
        if (!evacuation->data_centre_.empty())
        {
            apply_evacuation_record(self.state_, *evacuation);
        }
        return;
    }
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
                  {{"key", record.key_}, {"position", to_text(record.position_)}});
        return;
    }
    const auto version = table->version_;
    if (activate_table(self.state_, std::move(table)))
    {
        self.state_.table_document_ = {version, record.position_, record.key_, record.value_};
        self.state_.schedule_load_report_();
        self.failed_transfers_ = 0;
    }
}

double draw(gateway_state& state)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(state.random_);
}

/// Address at which the VM @a id serves its configuration: all VMs use the same port for metrics.
std::string document_address(const gateway_state& state, const vm_id& id)
{
    const auto& address = state.peers_.peers_.at(id).address_.get();
    return address.substr(0, address.rfind(':') + 1) + std::to_string(state.settings_.metrics_port_);
}

/// Gets the newest version from another VM.
/// @param next raised to the position after the record of the document, but not beyond the records about evacuations
/// that this VM knows
/// @return true when a newer version became active
task<bool> fetch_from_peer(follower& self, vm_id source, log_position& next)
{
    auto& state = self.state_;
    const http_client client{state.executor_, document_address(state, source), max_document_bytes};
    const auto response = co_await call(client, "GET", configuration_path, "", "", transfer_timeout);
    const auto document = response.status_ == 200 ? decode_document(response.body_) : std::nullopt;
    if (!document || (state.table_ && document->version_ <= state.table_->version_))
    {
        ++self.failed_transfers_;
        co_return false;
    }
    const auto version_before = state.table_ ? state.table_->version_ : configuration_version{};
    apply_record(self, {document->key_, document->text_, false, document->position_});
    const bool activated = state.table_ && state.table_->version_ > version_before;
    self.failed_transfers_ += activated ? 0 : 1;
    const auto known_end = state.directory_.evacuations_.known_end_;
    next = activated ? std::max(next, std::min(document->position_.next(), known_end)) : next;
    co_return activated;
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

/// True when the log has answered and the answer is of its present era.
bool accept_page(follower& self, const record_page& page)
{
    const bool is_usable = accept_era_of(self.state_, page, "configuration");
    update_reachability(self, is_usable);
    return is_usable;
}

void apply_page(follower& self, const record_page& page, std::chrono::nanoseconds requested_at,
                milliseconds poll_timeout)
{
    auto& state = self.state_;
    std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply_record(self, record); });
    confirm_evacuations(state.directory_.evacuations_, page.next_);
    if (!page.records_.empty() && page.next_ < page.end_)
    {
        // The next read shows the records that this page had no room for.
        state.schedule_load_report_();
        return;
    }
    // The log answers with an empty page only at the end of the wait, so the table was up to date at that time.
    const auto confirmed = page.records_.empty() ? std::min(boot_time(), requested_at + poll_timeout) : requested_at;
    confirm_table_read(state, confirmed);
    if (!page.records_.empty())
    {
        state.schedule_load_report_();
    }
}

/// Applies a read of the newest records of all keys. Records about evacuations that are missing from a read that is not
/// complete may still be in force.
void apply_newest(follower& self, const record_page& page)
{
    begin_era(self.state_.directory_.evacuations_, page.next_);
    std::ranges::for_each(page.records_, [&self](const keyed_record& record) { apply_record(self, record); });
    if (!page.complete_)
    {
        return;
    }
    evacuation_snapshot read{page.next_, {}};
    std::ranges::for_each(page.records_, [&](const keyed_record& record) {
        const auto evacuation = decode_evacuation(self, record);
        if (evacuation && !evacuation->data_centre_.empty())
        {
            read.entries_.push_back(*evacuation);
        }
    });
    apply_evacuation_read(self.state_, read);
}

/// Boot time at which the table and the evacuations were both known to be the newest.
std::chrono::nanoseconds confirmed_at(const gateway_state& state)
{
    return std::min(state.table_confirmed_at_, state.evacuations_confirmed_at_);
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

/// The VM to get a newer version from, or nothing when none has one or transfers have failed too often.
std::optional<vm_id> choose_source(follower& self)
{
    auto& state = self.state_;
    if (self.failed_transfers_ >= max_failed_transfers)
    {
        return std::nullopt;
    }
    const auto own = state.table_ ? state.table_->version_ : configuration_version{};
    return choose_configuration_source(state.peers_, state.settings_.data_centre_, own, draw(state),
                                       std::chrono::steady_clock::now());
}

/// Waits after a read that failed or that did not show the newest version. Reports of other VMs end the wait: those
/// that have read the log since make the read needless, and a newer version can be got from the VM that has it.
task<> back_off(follower& self)
{
    const auto known = newest_peer_version(self.state_.peers_);
    const auto confirmed_before = confirmed_at(self.state_);
    const std::function<bool()> is_over = [&state = self.state_, known, confirmed_before] {
        return newest_peer_version(state.peers_) > known || confirmed_at(state) > confirmed_before;
    };
    co_await wait_after_failed_read(self.state_, self.backoff_, is_over);
}

task<> follow_changes(follower& self, log_position next)
{
    auto& state = self.state_;
    while (true)
    {
        apply_doubted_evacuations(state);
        const bool long_polls = is_first_reader(state);
        const bool read_due = is_read_due(state, confirmed_at(state));
        if (!long_polls && !is_behind_peers(state) && !read_due)
        {
            co_await sleep_for(check_interval);
            continue;
        }
        const auto source = choose_source(self);
        if (!long_polls && source)
        {
            const bool fetched = co_await fetch_from_peer(self, *source, next);
            if (!fetched)
            {
                co_await sleep_for(milliseconds{
                    static_cast<std::int64_t>(draw(state) * static_cast<double>(max_transfer_delay.count()))});
            }
            continue;
        }
        // Each response confirms the active table, so the wait of a long poll bounds the age of the confirmation.
        const auto poll_timeout = long_polls ? log_poll_delay(0, state.settings_.staleness_bound_) : milliseconds{0};
        const auto requested_at = boot_time();
        const auto page = co_await self.log_.read_from_(next, poll_timeout);
        const bool reached = accept_page(self, page);
        const bool returned = reached && state.era_.era_.value_or(log_era{}) != next.era();
        const bool records_discarded = reached && page.first_ > next;
        if (reached && (returned || page.expired_ || records_discarded))
        {
            co_return;
        }
        if (reached)
        {
            apply_page(self, page, requested_at, poll_timeout);
            next = page.next_;
            reset(self.backoff_);
            self.failed_transfers_ = 0;
        }
        if (!reached || is_behind_peers(state))
        {
            self.failed_transfers_ = 0;
            // Either the log is unreachable, or another VM has a version that was appended after this VM's read.
            co_await back_off(self);
        }
    }
}

}  // namespace

task<> follow_table(gateway_state& state, record_log log, table_decoder decode, evacuation_decoder decode_evacuation)
{
    follower self{state, std::move(log), std::move(decode), std::move(decode_evacuation)};
    while (true)
    {
        const auto requested_at = boot_time();
        const auto full_read = co_await self.log_.read_newest_();
        const bool reached = accept_page(self, full_read);
        if (reached)
        {
            apply_newest(self, full_read);
        }
        if (!reached || !full_read.complete_)
        {
            co_await back_off(self);
            continue;
        }
        reset(self.backoff_);
        confirm_table_read(state, requested_at);
        state.schedule_load_report_();
        co_await follow_changes(self, full_read.next_);
    }
}

}  // namespace cornelstall
