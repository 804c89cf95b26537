#include "cornelstall/gateway/connection/load_exchange.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
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

/// Changes within this time go out together.
constexpr milliseconds gather{1};
/// Repeats heal lost datagrams and show that this VM lives.
constexpr milliseconds report_interval{300};
/// The requests of a VM that is silent for five reports have ended with it.
constexpr milliseconds silence_limit{1500};
/// A VM that is silent for this long gets no more reports until it is heard again.
constexpr std::chrono::seconds forget_after{30};
/// Reports are due more often than this, so a longer gap means that the process stood still.
constexpr milliseconds standstill{900};
/// Time to empty the socket's buffer after a standstill.
constexpr milliseconds drain_time{300};
/// Fits one Ethernet frame.
constexpr byte_count datagram_limit{1400};
/// Changes of the list of servers in one datagram; one takes about 100 bytes.
constexpr std::size_t changes_per_datagram = 12;
/// Changes that some VM lacks are told again after this time, in which most VMs have said how far they know the list.
constexpr milliseconds changes_interval{150};
constexpr std::size_t largest_datagram = 65536;
constexpr int receive_buffer_bytes = 262144;

load_report report_of(load_exchange& exchange, log_update news)
{
    const auto& state = exchange.state_;
    load_report report;
    report.vm_ = vm_id{state.settings_.name_};
    report.incarnation_ = state.incarnation_;
    report.sequence_ = ++exchange.sequence_;
    report.address_ = socket_address{state.settings_.ip_ + ":" + std::to_string(state.settings_.load_port_)};
    report.version_ = state.table_ ? state.table_->version_ : configuration_version{};
    report.leaving_ = state.stopping_;
    report.vms_known_ = known_vms(state.peers_);
    report.log_update_ = std::move(news);
    return report;
}

/// Sends @a report to the VMs of the own cell for which @a is_meant holds.
void send_to_peers(load_exchange& exchange, const load_report& report, time_point now,
                   const std::function<bool(const vm_peer&)>& is_meant)
{
    const auto bytes = encode_load_report(report, datagram_limit, now);
    const auto division = partition_fleet(known_vms(exchange.state_.peers_));
    const auto own = cell_of(division, report.vm_.get());
    std::ranges::for_each(exchange.state_.peers_.peers_, [&](const auto& entry) {
        const auto endpoint = parse_endpoint(entry.second.address_.get());
        if (!endpoint || now - entry.second.heard_at_ > forget_after || cell_of(division, entry.first.get()) != own ||
            !is_meant(entry.second))
        {
            return;
        }
        boost::system::error_code dropped;
        exchange.socket_.send_to(boost::asio::buffer(bytes), udp::endpoint(endpoint->address(), endpoint->port()), 0,
                                 dropped);
        if (dropped)
        {
            exchange.state_.metrics_.count("gateway_load_reports_dropped_total");
        }
    });
}

/// Tells the changes of the list that some VM lacks, at once when there are new ones, else at an interval.
void tell_changes(load_exchange& exchange, const log_update& news, time_point now)
{
    const bool has_new = news.changes_end_ != exchange.told_next_;
    if (news.changes_.empty() || (!has_new && now - exchange.told_at_ < changes_interval))
    {
        return;
    }
    exchange.told_next_ = news.changes_end_;
    exchange.told_at_ = now;
    std::ranges::for_each(split_log_update(news, changes_per_datagram), [&](const log_update& part) {
        auto report = report_of(exchange, part);
        report.log_update_only_ = true;
        send_to_peers(exchange, report, now,
                      [&news](const vm_peer& peer) { return peer.server_list_end_ < news.changes_end_; });
    });
}

void report_to_peers(load_exchange& exchange, time_point now)
{
    auto news = make_log_update(exchange.state_);
    tell_changes(exchange, news, now);
    drop_changes_before(news, news.changes_end_);
    auto report = report_of(exchange, std::move(news));
    report.work_ = exchange.state_.local_work_;
    send_to_peers(exchange, report, now, [](const vm_peer&) { return true; });
}

void report_silent_peers(load_exchange& exchange, time_point now)
{
    auto& state = exchange.state_;
    std::ranges::for_each(
        drop_load_of_silent_peers(state.peers_, state.fleet_load_, silence_limit, now), [](const vm_id& silent) {
            log_event(severity::info, peer_silent, "a VM is silent; its requests are not counted any more",
                      {{"vm", silent.get()}});
        });
}

/// Notes a standstill of this VM: datagrams that waited meanwhile tell ages that are no longer true.
void watch_for_standstill(gateway_state& state)
{
    const auto now = boot_time();
    if (now - state.last_report_at_ > standstill)
    {
        state.ignore_updates_until_ = now + drain_time;
    }
    state.last_report_at_ = now;
}

bool may_be_old(const gateway_state& state)
{
    const auto now = boot_time();
    return now - state.last_report_at_ > standstill || now < state.ignore_updates_until_;
}

void take_over(load_exchange& exchange, std::string_view bytes)
{
    auto& state = exchange.state_;
    const auto now = std::chrono::steady_clock::now();
    const auto report = decode_load_report(bytes, now);
    if (!report || report->vm_.get() == state.settings_.name_)
    {
        state.metrics_.count("gateway_load_reports_refused_total");
        return;
    }
    const bool known = state.peers_.peers_.contains(report->vm_);
    const bool newer = apply_report(state.peers_, state.fleet_load_, *report, now);
    if (newer && !may_be_old(state))
    {
        apply_log_update(state, report->log_update_, report->version_);
    }
    update_fleet_size(state.retry_budget_, known_vms(state.peers_));
    if (!known)
    {
        log_event(severity::info, peer_found, "a VM reports its load",
                  {{"vm", report->vm_.get()}, {"address", report->address_.get()}});
    }
}

}  // namespace

load_exchange::load_exchange(gateway_state& state, const udp::endpoint& listen)
    : state_(state), socket_(state.executor_, listen), next_report_(state.executor_)
{
    boost::system::error_code ignored;  // the default size only loses more datagrams in a burst
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    socket_.non_blocking(true);
    state_.schedule_load_report_ = [this] {
        const auto soon = std::chrono::steady_clock::now() + gather;
        if (next_report_.expiry() > soon)
        {
            next_report_.expires_at(soon);
        }
    };
}

task<> receive_load(std::shared_ptr<load_exchange> exchange)
{
    std::vector<char> bytes(largest_datagram);
    udp::endpoint sender;
    while (exchange->socket_.is_open())
    {
        boost::system::error_code failed;
        const auto size = co_await exchange->socket_.async_receive_from(boost::asio::buffer(bytes), sender,
                                                                        redirect_error(use_awaitable, failed));
        if (!failed)
        {
            take_over(*exchange, std::string_view(bytes.data(), size));
        }
    }
}

task<> report_load(std::shared_ptr<load_exchange> exchange)
{
    while (true)
    {
        boost::system::error_code moved;
        co_await exchange->next_report_.async_wait(redirect_error(use_awaitable, moved));
        const auto now = std::chrono::steady_clock::now();
        if (now < exchange->next_report_.expiry())
        {
            continue;
        }
        watch_for_standstill(exchange->state_);
        report_silent_peers(*exchange, now);
        report_to_peers(*exchange, now);
        exchange->next_report_.expires_at(now + report_interval);
    }
}

}  // namespace cornelstall
