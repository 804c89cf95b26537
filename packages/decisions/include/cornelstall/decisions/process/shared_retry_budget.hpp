#pragma once

#include <deque>
#include <unordered_map>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The bound on repeated sends to one service by all VMs together.
struct retry_budget_bound
{
    double ratio_ = 0.2;  ///< repeats allowed for each request
    double extra_ = 0.0;  ///< repeats allowed beyond the ratio, over all VMs
    milliseconds window_{10000};
    double safety_ = 0.8;  ///< part of the bound that is used, since windows of VMs are not aligned
};

/// @brief Requests and repeats of one service that this VM sent lately.
struct retry_record
{
    std::deque<time_point> requests_;
    std::deque<time_point> repeats_;
};

/// @brief The budget of this VM. VMs do not consult one another: each takes an equal part of what the bound allows, so
/// the sum holds while they cannot reach one another.
struct shared_retry_budget
{
    retry_budget_bound bound_;
    std::size_t vms_ = 1;  ///< most VMs that may be running
    std::unordered_map<service_id, retry_record> services_;
};

/// @brief Divides the budget among @a known VMs and those that may be added before this VM hears of them, and among no
/// fewer than before: VMs that cannot be reached may still run.
void update_fleet_size(shared_retry_budget& budget, std::size_t known);

/// @brief Notes a request of a caller for @a service.
void record_request(shared_retry_budget& budget, const service_id& service, time_point now);

/// @brief True when take_retry() would succeed.
[[nodiscard]] bool can_retry(shared_retry_budget& budget, const service_id& service, time_point now);

/// @brief Takes one repeat for @a service from the budget.
/// @return false when the budget is used up; the request must not be sent again
[[nodiscard]] bool take_retry(shared_retry_budget& budget, const service_id& service, time_point now);

}  // namespace cornelstall
