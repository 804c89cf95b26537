#include "cornelstall/decisions/process/shared_retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace cornelstall
{

namespace
{

void erase_before(std::deque<time_point>& times, time_point window_start)
{
    while (!times.empty() && times.front() < window_start)
    {
        times.pop_front();
    }
}

/// VMs that may run in addition to each known one: up to a third more are added in a day, and replaced VMs may still
/// send.
constexpr double unknown_vms_per_known_vm = 1.0 / 3.0;

}  // namespace

void update_fleet_size(shared_retry_budget& budget, std::size_t known_vm_count)
{
    const auto max_vms =
        static_cast<std::size_t>(std::ceil(static_cast<double>(known_vm_count) * (1.0 + unknown_vms_per_known_vm)));
    budget.vms_ = std::max(budget.vms_, max_vms);
}

void record_request(shared_retry_budget& budget, const service_id& service, time_point now)
{
    auto& record = budget.services_[service];
    erase_before(record.requests_, now - budget.bound_.window_);
    record.requests_.push_back(now);
}

bool can_retry(shared_retry_budget& budget, const service_id& service, time_point now)
{
    auto& record = budget.services_[service];
    const auto window_start = now - budget.bound_.window_;
    erase_before(record.requests_, window_start);
    erase_before(record.retries_, window_start);
    const auto& bound = budget.bound_;
    const double share = bound.extra_ / static_cast<double>(std::max<std::size_t>(1, budget.vms_));
    const double allowed = bound.safety_factor_ * (bound.ratio_ * static_cast<double>(record.requests_.size()) + share);
    return static_cast<double>(record.retries_.size()) + 1.0 <= allowed;
}

bool take_retry(shared_retry_budget& budget, const service_id& service, time_point now)
{
    if (!can_retry(budget, service, now))
    {
        return false;
    }
    budget.services_[service].retries_.push_back(now);
    return true;
}

}  // namespace cornelstall
