#pragma once

#include <memory>

#include "cornelstall/decisions/process/lease.hpp"
#include "cornelstall/runtime/process/claim_keeper.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task_clock.hpp"

namespace cornelstall
{

/// @brief Limits and periods of a lease keeper.
struct lease_keeper_settings
{
    int page_size_ = 1'000;
    milliseconds read_wait_{1'000};
    milliseconds retry_pause_{500};  ///< after a read that failed or found nothing
};

/// @brief Keeps this VM's view of the lease of its data centre, and the lease when it gets it.
struct lease_keeper
{
    log_stream log_;
    task_clock clock_;
    metrics* metrics_ = nullptr;
    lease_keeper_settings settings_;

    lease_view view_;
    lease_participant participant_;
    bool stopping_ = false;
};

/// @brief A keeper for the VM @a self in @a data_centre.
[[nodiscard]] std::shared_ptr<lease_keeper> make_lease_keeper(log_stream log, task_clock clock, metrics& counters,
                                                              vm_id self, data_centre_id data_centre);

/// @brief Follows stream `leases`, acquires the lease when it is free and renews it. After stop() it releases the lease
/// and returns when the release is accepted or the lease is over.
[[nodiscard]] task<> keep_lease(std::shared_ptr<lease_keeper> keeper);

/// @brief Gives up the lease at once: no order is permitted any more. To be called when no order is in progress.
void stop(lease_keeper& keeper);

/// @brief Whether an order may be given now; see check_order_permission.
[[nodiscard]] order_permission permission(const lease_keeper& keeper, bool engine_checks_fencing,
                                          time_point state_read_at);

}  // namespace cornelstall
