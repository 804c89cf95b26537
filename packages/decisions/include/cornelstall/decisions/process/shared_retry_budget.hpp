#pragma once

#include <deque>
#include <unordered_map>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The bound on retries to one service by all VMs together.
struct retry_budget_bound
{
    double ratio_ = 0.2;  ///< retries allowed per request
    double extra_ = 0.0;  ///< retries allowed beyond the ratio in each window, over all VMs
    milliseconds window_{10000};
    double safety_factor_ = 0.8;  ///< fraction of the bound that is used, because the windows of VMs are not aligned
};

/// @brief Times of the requests and retries that this VM sent to one service within the window.
struct service_retry_record
{
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

/// @brief The retry budget of this VM. VMs do not coordinate: each takes an equal share of the bound, so the sum stays
/// within the bound even while VMs cannot reach one another.
struct shared_retry_budget
{
    retry_budget_bound bound_;
    std::size_t vms_ = 1;  ///< upper bound for the number of running VMs
    std::unordered_map<service_id, service_retry_record> services_;
};

/// @brief Divides the budget among @a known_vm_count VMs and those that may start before this VM learns of them. The
/// divisor never decreases, because VMs that cannot be reached may still run.
void update_fleet_size(shared_retry_budget& budget, std::size_t known_vm_count);

/// @brief Records a request of a caller to @a service.
void record_request(shared_retry_budget& budget, const service_id& service, time_point now);

/// @brief True when take_retry() would succeed.
[[nodiscard]] bool can_retry(shared_retry_budget& budget, const service_id& service, time_point now);

/// @brief Takes one retry to @a service from the budget.
/// @return false when the budget is used up; the request must not be sent again
[[nodiscard]] bool take_retry(shared_retry_budget& budget, const service_id& service, time_point now);

}  // namespace cornelstall
