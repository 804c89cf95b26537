#include "cornelstall/gateway/process/announce.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

constexpr event_kind vms_read{4047, "vms_read"};

constexpr milliseconds retry_interval{1000};
/// The name of the topic in events.
constexpr const char* topic = "vms";

/// Repeats the append until the log acknowledges it. Repeats are harmless: they append the same value for the same key.
task<> append_with_retries(gateway_state& state, record_log& log, std::string key, std::string value)
{
    while (true)
    {
        const auto appended = co_await log.append_(key, value);
        const bool is_current = !appended.era_ || accept_era(state, appended.era_, topic);
        if (appended.acknowledged_ && is_current)
        {
            co_return;
        }
        co_await sleep_for(retry_interval);
    }
}

task<record_page> read_with_retries(gateway_state& state, record_log& log)
{
    while (true)
    {
        auto page = co_await log.read_newest_();
        if (accept_era_of(state, page, topic))
        {
            co_return page;
        }
        co_await sleep_for(retry_interval);
    }
}

}  // namespace

task<> announce_vm(gateway_state& state, record_log log)
{
    const auto& own = state.settings_;
    const auto address = own.ip_ + ":" + std::to_string(own.load_port_);
    record_page page;
    if (!own.first_start_)
    {
        auto first_read = co_await read_with_retries(state, log);
        page = std::move(first_read);
    }
    const bool announced = std::ranges::any_of(page.records_, [&](const keyed_record& record) {
        return record.key_ == own.name_ && record.value_ == address;
    });
    if (!announced)
    {
        // Appends before reading, so that of two VMs that start at the same time at least one finds the other.
        co_await append_with_retries(state, log, own.name_, address);
        auto read_after = co_await read_with_retries(state, log);
        page = std::move(read_after);
    }
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(page.records_, [&](const keyed_record& record) {
        if (!record.removed_ && record.key_ != own.name_)
        {
            add_peer(state.peers_, vm_id{record.key_}, socket_address{record.value_}, now);
        }
    });
    update_fleet_size(state.retry_budget_, known_vms(state.peers_));
    state.schedule_load_report_();
    log_event(severity::info, vms_read, "read the addresses of the other VMs",
              {{"vms", std::to_string(state.peers_.peers_.size())}});
}

}  // namespace cornelstall
