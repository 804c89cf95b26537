#include "cornelstall/gateway/process/gateway_state.hpp"

#include <ctime>

#include <xxhash.h>

namespace cornelstall
{

namespace
{

constexpr event_kind table_activated{3020, "routes_in_force"};

incarnation make_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count())};
}

std::size_t route_count(const routing_table& table)
{
    std::size_t count = 0;
    for (const auto& [host, routes] : table.routes_)
    {
        count += routes.size();
    }
    return count;
}

}  // namespace

gateway_state::gateway_state(gateway_settings settings, gateway_protocol protocol, executor io_executor)
    : settings_(std::move(settings)),
      protocol_(std::move(protocol)),
      executor_(std::move(io_executor)),
      random_(std::random_device{}()),
      wait_queues_(executor_),
      incarnation_(make_incarnation())
{
    retry_budget_.bound_ = settings_.retry_budget_;
    retry_budget_.vms_ = settings_.min_vms_;
    answer_buffers_.limit_ = settings_.answer_buffer_limit_;
    body_memory_.limit_ = settings_.body_memory_limit_;
    caller_connections_.limit_ = settings_.max_caller_connections_;
}

std::chrono::nanoseconds boot_time()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

bool has_initial_data(const gateway_state& state)
{
    return state.table_ != nullptr && state.directory_.evacuations_.known_ && state.server_list_.listed_;
}

bool is_ready(const gateway_state& state)
{
    return !state.stopping_ && has_initial_data(state);
}

bool can_accept_keys(const gateway_state& state)
{
    const auto& limit = state.settings_.max_configuration_age_;
    return !limit || boot_time() - state.table_confirmed_at_ < *limit;
}

execution_id make_execution_id(gateway_state& state)
{
    const auto& name = state.settings_.name_;
    const auto process_hash = XXH64(name.data(), name.size(), state.incarnation_.get());
    constexpr unsigned counter_bits = 32;
    return execution_id{(process_hash << counter_bits) | ++state.last_execution_number_};
}

bool activate_table(gateway_state& state, std::shared_ptr<const routing_table> table)
{
    if (state.table_ && table->version_ <= state.table_->version_)
    {
        return false;
    }
    state.table_ = std::move(table);
    log_event(severity::info, table_activated, "activated a new version of the routing table",
              {{"version", std::to_string(state.table_->version_.get())},
               {"routes", std::to_string(route_count(*state.table_))},
               {"keys", std::to_string(state.table_->keys_.size())}});
    return true;
}

}  // namespace cornelstall
