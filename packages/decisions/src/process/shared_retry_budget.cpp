#include "cornelstall/decisions/process/shared_retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace cornelstall
{

namespace
{

void drop_before(std::deque<time_point>& times, time_point first)
{
    while (!times.empty() && times.front() < first)
    {
        times.pop_front();
    }
}

/// VMs that may run beside each known one: a third more are added on a day at most, and replaced ones may still send.
constexpr double unknown_vms = 1.0 / 3.0;

}  // namespace

void update_fleet_size(shared_retry_budget& budget, std::size_t known)
{
    const auto most = static_cast<std::size_t>(std::ceil(static_cast<double>(known) * (1.0 + unknown_vms)));
    budget.vms_ = std::max(budget.vms_, most);
}

void record_request(shared_retry_budget& budget, const service_id& service, time_point now)
{
    auto& record = budget.services_[service];
    drop_before(record.requests_, now - budget.bound_.window_);
    record.requests_.push_back(now);
}

bool can_retry(shared_retry_budget& budget, const service_id& service, time_point now)
{
    auto& record = budget.services_[service];
    const auto first = now - budget.bound_.window_;
    drop_before(record.requests_, first);
    drop_before(record.repeats_, first);
    const auto& bound = budget.bound_;
    const double share = bound.extra_ / static_cast<double>(std::max<std::size_t>(1, budget.vms_));
    const double allowed = bound.safety_ * (bound.ratio_ * static_cast<double>(record.requests_.size()) + share);
    return static_cast<double>(record.repeats_.size()) + 1.0 <= allowed;
}

bool take_retry(shared_retry_budget& budget, const service_id& service, time_point now)
{
    if (!can_retry(budget, service, now))
    {
        return false;
    }
    budget.services_[service].repeats_.push_back(now);
    return true;
}

}  // namespace cornelstall
