#include "cornelstall/gateway/process/announce.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

constexpr event_kind vms_known{4047, "vms_read"};

constexpr milliseconds retry_pause{1000};

/// Appends until the log acknowledges; a repeat only writes the same value again.
task<> append_until_written(record_log& log, std::string key, std::string value)
{
    while (true)
    {
        const bool written = co_await log.append_(key, value);
        if (written)
        {
            co_return;
        }
        co_await sleep_for(retry_pause);
    }
}

task<record_page> read_until_reached(record_log& log)
{
    while (true)
    {
        auto page = co_await log.newest_();
        if (page.reached_)
        {
            co_return page;
        }
        co_await sleep_for(retry_pause);
    }
}

}  // namespace

task<> announce_vm(gateway_state& state, record_log log)
{
    const auto& own = state.settings_;
    // Appended before reading, so that of two VMs that start together at least one finds the other.
    co_await append_until_written(log, own.name_, own.ip_ + ":" + std::to_string(own.load_port_));
    const auto page = co_await read_until_reached(log);
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(page.records_, [&](const keyed_record& record) {
        if (!record.removed_ && record.key_ != own.name_)
        {
            add_peer(state.peers_, vm_id{record.key_}, socket_address{record.value_}, now);
        }
    });
    update_fleet_size(state.retry_budget_, known_vms(state.peers_));
    state.schedule_load_report_();
    log_event(severity::info, vms_known, "the other VMs are known",
              {{"vms", std::to_string(state.peers_.peers_.size())}});
}

}  // namespace cornelstall
