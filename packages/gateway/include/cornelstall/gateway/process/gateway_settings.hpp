#pragma once

#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

/// @brief Settings of one gateway process.
struct gateway_settings
{
    std::string name_;
    data_centre_id data_centre_;
    std::string ip_;
    socket_address listen_;            ///< callers
    socket_address readiness_listen_;  ///< the balancer's question whether this VM takes callers
    unsigned short load_port_ = 0;     ///< UDP, reports of load between VMs
    unsigned short metrics_port_ = 0;  ///< counters and latencies as text
    std::size_t least_vms_ = 12;       ///< divides the retry budget until more VMs are known
    retry_budget_bound retry_budget_;
    std::optional<milliseconds> max_configuration_age_;  ///< keys are not accepted on older news of the configuration
    milliseconds memory_reservation_timeout_{
        3400};                       ///< a reservation of engine memory ends this long after its last renewal
    milliseconds stop_limit_{8000};  ///< the process is killed this long after SIGTERM
};

}  // namespace cornelstall
