#include "request/send_plan.hpp"

#include <algorithm>
#include <iterator>

namespace cornelstall
{

namespace
{

constexpr event_kind engines_claimed{1030, "engines_claimed"};

}  // namespace

load_registration::load_registration(gateway_state& state, const std::vector<joint_prefill_part>& parts,
                                     execution_id key)
    : state_(state), key_(key)
{
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(parts, [&](const joint_prefill_part& part) {
        add_work(state_.fleet_load_.engines_[part.server_.id_], part.work_, now);
        state_.local_work_.push_back({part.server_.id_, part.work_});
        servers_.push_back(part.server_.id_);
    });
    state_.schedule_load_report_();
}

load_registration::~load_registration()
{
    std::ranges::for_each(servers_,
                          [this](const server_id& server) { remove_work(state_.fleet_load_.engines_[server], key_); });
    std::erase_if(state_.local_work_, [this](const reported_work& entry) { return entry.work_.key_ == key_; });
    state_.schedule_load_report_();
    notify_capacity_changed(state_.wait_queues_);
}

milliseconds max_unused_memory(const exchange& current)
{
    const auto limit = current.state_.settings_.max_unused_memory_;
    const bool has_attempt_left = current.possible_runs_ + 1 < current.route_->max_attempts_;
    return is_retry_safe(current) && has_attempt_left ? limit / 2 : limit;
}

void hold_engines(exchange& current, engine_hold& hold, const send_plan& plan)
{
    std::vector<server_id> servers;
    std::ranges::transform(plan.parts_, std::back_inserter(servers),
                           [](const joint_prefill_part& part) { return part.server_.id_; });
    std::ranges::sort(servers);
    if (servers == hold.servers_)
    {
        return;
    }
    engine_work hold_work;
    hold_work.key_ = hold.key_;
    hold_work.holds_engine_ = true;
    hold_work.is_helper_ = true;
    hold_work.value_ = 0.0;
    hold_work.arrived_ = current.arrived_;
    auto parts = plan.parts_;
    std::ranges::for_each(parts, [&hold_work](joint_prefill_part& part) { part.work_ = hold_work; });
    hold.release();
    hold.registration_.emplace(current.state_, parts, hold.key_);
    hold.servers_ = std::move(servers);
    log_event(severity::info, engines_claimed, "engines are kept free for a joint prefill",
              {{"request", current.parsed_request_.id_.get()},
               {"engines", std::to_string(parts.size())},
               {"starts_in_ms", std::to_string(plan.starts_in_.count())}});
}

}  // namespace cornelstall
