#include "cornelstall/gateway/connection/load_exchange.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/process/server_notices.hpp"
#include "cornelstall/wire.hpp"

namespace cornelstall
{

namespace
{

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::udp;

constexpr event_kind peer_found{4040, "load_peer_found"};
constexpr event_kind peer_silent{4041, "load_peer_silent"};

/// Load changes within this time are sent in one report.
constexpr milliseconds report_coalescing_delay{1};
/// Reports are repeated because datagrams can be lost and because a VM without reports counts as stopped.
constexpr milliseconds report_interval{300};
/// A VM that has missed five reports counts as stopped, and its requests as ended.
constexpr milliseconds peer_silence_timeout{1500};
/// A VM that has been silent for this long is not sent reports until it reports again.
constexpr std::chrono::seconds peer_unreachable_timeout{30};
/// One datagram carries the report of a VM in all but the heaviest load, because each further one costs all receivers
/// a wake-up. Those above 1,400 bytes travel in up to three fragments.
constexpr byte_count max_sent_datagram{4096};
/// The entry of a request takes up to about 75 bytes of a datagram, and what else is in a report up to 350.
constexpr std::size_t max_work_per_datagram = 48;
/// One change of the server list takes about 100 bytes of a datagram.
constexpr std::size_t max_changes_per_datagram = 12;
/// Changes of the server list are sent again to VMs that still lack them after this time. By then most VMs have
/// reported up to which offset they know the list.
constexpr milliseconds changes_resend_interval{150};
/// A leaving server is reported for this long; by then the server list has its entry as draining or removed.
constexpr std::chrono::seconds leaving_report_period{10};
/// A leaving server takes about 30 bytes of a datagram.
constexpr std::size_t max_leaving_servers = 8;
/// Evidence about prompt parts and limits of servers are reported at once and then again at this interval while they
/// are new.
constexpr milliseconds news_interval{500};
/// Evidence about one prompt part takes up to about 130 bytes of a datagram.
constexpr std::size_t max_parts_per_datagram = 8;
/// Evidence that does not fit is reported once that with more crashes has been.
constexpr std::size_t max_parts_reported = 32;
/// The limit of one server takes up to about 50 bytes of a datagram.
constexpr std::size_t max_limits_per_datagram = 20;
/// VMs of other cells that each report about prompt parts and limits goes to. They pass on what is new to them.
constexpr std::size_t other_cell_recipients = 4;
/// Datagrams that are read before other work of the process goes on.
constexpr std::size_t max_datagrams_per_turn = 512;
/// Requested size of the socket's receive buffer.
constexpr int receive_buffer_bytes = 262144;

load_report make_report(load_exchange& exchange, log_update update)
{
    const auto& state = exchange.state_;
    load_report report;
    report.vm_ = vm_id{state.settings_.name_};
    report.incarnation_ = state.incarnation_;
    report.sequence_ = ++exchange.sequence_;
    report.sent_at_ = std::chrono::duration_cast<milliseconds>(boot_time());
    report.address_ = socket_address{state.settings_.ip_ + ":" + std::to_string(state.settings_.load_port_)};
    report.data_centre_ = state.settings_.data_centre_;
    report.version_ = state.table_ ? state.table_->version_ : configuration_version{};
    report.leaving_ = state.stopping_;
    report.vms_known_ = known_vms(state.peers_);
    report.log_update_ = std::move(update);
    report.leaving_servers_ =
        recently_leaving(state.directory_, leaving_report_period, std::chrono::steady_clock::now());
    if (report.leaving_servers_.size() > max_leaving_servers)
    {
        report.leaving_servers_.resize(max_leaving_servers);
    }
    return report;
}

void send_datagram(load_exchange& exchange, const std::string& bytes, const udp::endpoint& recipient)
{
    boost::system::error_code send_failed;
    exchange.socket_.send_to(boost::asio::buffer(bytes), recipient, 0, send_failed);
    if (send_failed)
    {
        exchange.state_.metrics_.count("gateway_load_reports_dropped_total");
    }
}

/// Sends @a report to the VMs of this VM's cell for which @a is_recipient returns true. VMs that have been silent for
/// too long are left out.
void send_to_peers(load_exchange& exchange, const load_report& report, time_point now,
                   const std::function<bool(const vm_peer&)>& is_recipient)
{
    const auto bytes = encode_load_report(report, max_sent_datagram, now);
    const auto partition = partition_fleet(known_vms(exchange.state_.peers_));
    const auto own_cell = cell_of(partition, report.vm_.get());
    std::ranges::for_each(exchange.state_.peers_.peers_, [&](const auto& entry) {
        const auto endpoint = parse_endpoint(entry.second.address_.get());
        if (!endpoint || now - entry.second.heard_at_ > peer_unreachable_timeout ||
            cell_of(partition, entry.first.get()) != own_cell || !is_recipient(entry.second))
        {
            return;
        }
        send_datagram(exchange, bytes, udp::endpoint(endpoint->address(), endpoint->port()));
    });
}

/// Sends @a report to some VMs of other cells, chosen at random.
void send_to_other_cells(load_exchange& exchange, const load_report& report, time_point now)
{
    auto& state = exchange.state_;
    const auto partition = partition_fleet(known_vms(state.peers_));
    const auto own_cell = cell_of(partition, report.vm_.get());
    std::vector<udp::endpoint> others;
    std::ranges::for_each(state.peers_.peers_, [&](const auto& entry) {
        const auto endpoint = parse_endpoint(entry.second.address_.get());
        if (endpoint && cell_of(partition, entry.first.get()) != own_cell)
        {
            others.emplace_back(endpoint->address(), endpoint->port());
        }
    });
    std::vector<udp::endpoint> recipients;
    std::ranges::sample(others, std::back_inserter(recipients), other_cell_recipients, state.random_);
    const auto bytes = encode_load_report(report, max_sent_datagram, now);
    std::ranges::for_each(recipients,
                          [&](const udp::endpoint& recipient) { send_datagram(exchange, bytes, recipient); });
}

/// A report that carries evidence about prompt parts and limits of servers instead of load.
load_report make_news_report(load_exchange& exchange)
{
    auto report = make_report(exchange, {});
    report.log_update_only_ = true;
    report.leaving_servers_.clear();
    return report;
}

/// Sends @a entries to the other VMs, some in each datagram, in the field @a member of the reports.
template <class Entry>
void send_entries(load_exchange& exchange, const std::vector<Entry>& entries, std::size_t per_datagram,
                  std::vector<Entry> load_report::*member, time_point now)
{
    for (std::size_t first = 0; first < entries.size(); first += per_datagram)
    {
        auto report = make_news_report(exchange);
        std::ranges::copy(entries | std::views::drop(first) | std::views::take(per_datagram),
                          std::back_inserter(report.*member));
        send_to_peers(exchange, report, now, [](const vm_peer&) { return true; });
        send_to_other_cells(exchange, report, now);
    }
}

/// Reports evidence about prompt parts and limits of servers: news at once, and again at an interval because datagrams
/// can be lost.
void send_fleet_news(load_exchange& exchange, time_point now)
{
    auto& state = exchange.state_;
    if (!state.fleet_news_ && now - exchange.news_sent_at_ < news_interval)
    {
        return;
    }
    state.fleet_news_ = false;
    exchange.news_sent_at_ = now;
    drop_old_parts(state);
    drop_old_limits(state.directory_.limits_, now);
    update_limit_shares(state.directory_, state.peers_, vm_id{state.settings_.name_}, now);
    auto parts = parts_to_report(state.suspect_parts_, now);
    parts.resize(std::min(parts.size(), max_parts_reported));
    send_entries(exchange, parts, max_parts_per_datagram, &load_report::suspect_parts_, now);
    send_entries(exchange, limits_to_report(state.directory_.limits_, now), max_limits_per_datagram,
                 &load_report::limits_, now);
}

/// Sends the changes of the server list to the VMs that lack them: at once when there are new changes, otherwise again
/// at an interval.
void send_changes(load_exchange& exchange, const log_update& update, time_point now)
{
    const bool has_new_changes = update.changes_end_ != exchange.sent_changes_end_;
    if (update.changes_.empty() || (!has_new_changes && now - exchange.changes_sent_at_ < changes_resend_interval))
    {
        return;
    }
    exchange.sent_changes_end_ = update.changes_end_;
    exchange.changes_sent_at_ = now;
    std::ranges::for_each(split_log_update(update, max_changes_per_datagram), [&](const log_update& part) {
        auto report = make_report(exchange, part);
        report.log_update_only_ = true;
        if (part.evacuations_ && !part.evacuations_->entries_.empty())
        {
            // The changes may fill the datagram; the report of the load that follows has the evacuations.
            report.log_update_.evacuations_.reset();
        }
        send_to_peers(exchange, report, now,
                      [&update](const vm_peer& peer) { return peer.server_list_end_ < update.changes_end_; });
    });
}

void report_to_peers(load_exchange& exchange, time_point now)
{
    send_fleet_news(exchange, now);
    auto update = make_log_update(exchange.state_);
    send_changes(exchange, update, now);
    drop_changes_before(update, update.changes_end_);
    auto report = make_report(exchange, std::move(update));
    report.work_ = exchange.state_.local_work_;
    const auto parts = split_work(std::move(report), max_work_per_datagram);
    exchange.sequence_ += parts.size() - 1;
    std::ranges::for_each(parts, [&](const load_report& part) {
        send_to_peers(exchange, part, now, [](const vm_peer&) { return true; });
    });
}

void remove_silent_peer_load(load_exchange& exchange, time_point now)
{
    auto& state = exchange.state_;
    std::ranges::for_each(
        drop_load_of_silent_peers(state.peers_, state.fleet_load_, peer_silence_timeout, now), [](const vm_id& silent) {
            log_event(severity::info, peer_silent, "no load reports from a VM; its requests no longer count as load",
                      {{"vm", silent.get()}});
        });
}

/// True for a report with evidence about prompt parts or limits of servers, which may come from another cell.
bool is_fleet_news(const load_report& report)
{
    return !report.suspect_parts_.empty() || !report.limits_.empty();
}

void apply_fleet_news(gateway_state& state, const load_report& report)
{
    apply_reported_parts(state, report.vm_, report.suspect_parts_);
    apply_reported_limits(state, report.vm_, report.limits_);
}

/// True for an update whose positions come from a VM of a former release, which reads no eras.
bool lacks_era(const log_update& update)
{
    const bool names_list = update.server_list_end_ > log_position{};
    const bool names_evacuations = update.evacuations_ && update.evacuations_->end_ > log_position{};
    return (names_list && update.server_list_end_.era() == log_era{}) ||
           (names_evacuations && update.evacuations_->end_.era() == log_era{});
}

/// Gives the positions of a report without an era the era that this VM reads. Once the log has come back from a copy,
/// it is open which era they are of.
void complete_era(const gateway_state& state, log_update& update)
{
    const auto era = state.era_.era_.value_or(log_era{});
    if (era == log_era{} || !lacks_era(update))
    {
        return;
    }
    if (state.era_.returned_)
    {
        drop_positions(update);
        return;
    }
    assume_era(update, era);
}

void apply_load(gateway_state& state, load_report report)
{
    complete_era(state, report.log_update_);
    if (!state.peers_.peers_.contains(report.vm_))
    {
        log_event(severity::info, peer_found, "received a load report from a new VM",
                  {{"vm", report.vm_.get()}, {"address", report.address_.get()}});
    }
    const auto delay = time_in_transit(state.peers_, report, boot_time());
    auto& updates = state.server_list_.updates_;
    updates.longest_delay_ = std::max(updates.longest_delay_, delay);
    state.metrics_.observe("gateway_report_delay_ms", {}, static_cast<double>(delay.count()));
    add_delay(report, delay);
    const bool is_newer =
        apply_report(state.peers_, state.fleet_load_, report, std::chrono::steady_clock::now() - delay);
    if (is_newer && !report.log_update_only_)
    {
        notify_capacity_changed(state.wait_queues_);
    }
    if (is_newer)
    {
        apply_log_update(state, report.log_update_, report.version_, report.vm_);
    }
    else
    {
        ++updates.out_of_order_;
    }
    apply_reported_leaving(state, report.vm_, report.leaving_servers_);
}

std::optional<load_report> decode_received(load_exchange& exchange, std::string_view bytes)
{
    auto& state = exchange.state_;
    auto report = decode_load_report(bytes, std::chrono::steady_clock::now());
    if (!report || report->vm_.get() == state.settings_.name_)
    {
        state.metrics_.count("gateway_load_reports_refused_total");
        return std::nullopt;
    }
    return report;
}

/// Reads the datagrams that wait in the socket's buffer. A VM whose processor is overloaded would otherwise work off
/// reports that newer ones have replaced, and fall behind further with each.
std::vector<load_report> read_waiting(load_exchange& exchange)
{
    std::vector<load_report> reports;
    auto& bytes = exchange.received_bytes_;
    udp::endpoint sender;
    boost::system::error_code none_left;
    for (std::size_t read = 0; read < max_datagrams_per_turn; ++read)
    {
        const auto size = exchange.socket_.receive_from(boost::asio::buffer(bytes), sender, 0, none_left);
        if (none_left)
        {
            break;
        }
        if (auto report = decode_received(exchange, std::string_view(bytes.data(), size)))
        {
            reports.push_back(std::move(*report));
        }
    }
    return reports;
}

void handle_waiting(load_exchange& exchange)
{
    auto& state = exchange.state_;
    auto reports = read_waiting(exchange);
    drop_superseded(reports);
    std::ranges::for_each(reports, [&state](load_report& report) {
        if (is_fleet_news(report))
        {
            apply_fleet_news(state, report);
            return;
        }
        apply_load(state, std::move(report));
    });
    update_fleet_size(state.retry_budget_, known_vms(state.peers_));
}

}  // namespace

load_exchange::load_exchange(gateway_state& state, const udp::endpoint& listen)
    : state_(state), socket_(state.executor_, listen), report_timer_(state.executor_)
{
    boost::system::error_code ignored;  // with the default size, bursts lose more datagrams
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    socket_.non_blocking(true);
    state_.schedule_load_report_ = [this] {
        const auto due_at = std::chrono::steady_clock::now() + report_coalescing_delay;
        if (report_timer_.expiry() > due_at)
        {
            report_timer_.expires_at(due_at);
        }
    };
}

task<> receive_load(std::shared_ptr<load_exchange> exchange)
{
    while (exchange->socket_.is_open())
    {
        boost::system::error_code failed;
        co_await exchange->socket_.async_wait(udp::socket::wait_read, redirect_error(use_awaitable, failed));
        if (!failed)
        {
            handle_waiting(*exchange);
        }
    }
}

task<> report_load(std::shared_ptr<load_exchange> exchange)
{
    while (true)
    {
        boost::system::error_code rescheduled;
        co_await exchange->report_timer_.async_wait(redirect_error(use_awaitable, rescheduled));
        const auto now = std::chrono::steady_clock::now();
        if (now < exchange->report_timer_.expiry())
        {
            continue;
        }
        remove_silent_peer_load(*exchange, now);
        report_to_peers(*exchange, now);
        exchange->report_timer_.expires_at(now + report_interval);
    }
}

}  // namespace cornelstall
