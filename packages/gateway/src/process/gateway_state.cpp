#include "cornelstall/gateway/process/gateway_state.hpp"

#include <ctime>

#include <xxhash.h>

namespace cornelstall
{

namespace
{

constexpr event_kind table_in_force{3020, "routes_in_force"};

incarnation incarnation_now()
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

gateway_state::gateway_state(gateway_settings values, gateway_protocol spoken, executor where)
    : settings_(std::move(values)),
      protocol_(std::move(spoken)),
      executor_(std::move(where)),
      random_(std::random_device{}()),
      incarnation_(incarnation_now())
{
    retry_budget_.bound_ = settings_.retry_budget_;
    retry_budget_.vms_ = settings_.least_vms_;
}

std::chrono::nanoseconds boot_time()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

bool is_informed(const gateway_state& state)
{
    return state.table_ != nullptr && state.list_.listed_;
}

bool is_ready(const gateway_state& state)
{
    return !state.stopping_ && is_informed(state);
}

bool keys_are_fresh(const gateway_state& state)
{
    const auto& limit = state.settings_.key_age_limit_;
    return !limit || boot_time() - state.table_confirmed_at_ < *limit;
}

execution_id make_running_key(gateway_state& state)
{
    const auto& name = state.settings_.name_;
    const auto origin = XXH64(name.data(), name.size(), state.incarnation_.get());
    constexpr unsigned counter_bits = 32;
    return execution_id{(origin << counter_bits) | ++state.next_key_};
}

bool use_table(gateway_state& state, std::shared_ptr<const routing_table> table)
{
    if (state.table_ && table->version_ <= state.table_->version_)
    {
        return false;
    }
    state.table_ = std::move(table);
    log_event(severity::info, table_in_force, "a version of the routes came into force",
              {{"version", std::to_string(state.table_->version_.get())},
               {"routes", std::to_string(route_count(*state.table_))},
               {"keys", std::to_string(state.table_->keys_.size())}});
    return true;
}

}  // namespace cornelstall
