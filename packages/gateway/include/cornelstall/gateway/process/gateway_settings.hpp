#pragma once

#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

/// @brief Settings of one gateway process.
struct gateway_settings
{
    std::string name_;  ///< id of this VM
    data_centre_id data_centre_;
    std::string ip_;                   ///< address of this VM's load reports and metrics
    socket_address listen_;            ///< address for callers' connections
    socket_address readiness_listen_;  ///< address of the load balancer's readiness check
    unsigned short load_port_ = 0;     ///< UDP port of the load reports between VMs
    unsigned short metrics_port_ = 0;  ///< TCP port of the metrics page
    /// Lower bound for the fleet size by which the retry budget is divided; used until more VMs are known.
    std::size_t min_vms_ = 12;
    retry_budget_bound retry_budget_;
    /// API keys are refused when the configuration was last confirmed this long ago; no limit when empty.
    std::optional<milliseconds> max_configuration_age_;
    /// A reservation of engine memory ends this long after it was last made or renewed.
    milliseconds memory_reservation_timeout_{3400};
    /// Reserved engine memory that its request has not begun to use is released after this time at the latest.
    milliseconds max_unused_memory_{7600};
    byte_count answer_buffer_limit_{16ULL * 1024 * 1024};  ///< memory for buffered answers of all requests
    byte_count body_memory_limit_{64ULL * 1024 * 1024};    ///< memory for the bodies of all requests
    std::size_t max_caller_connections_ = 1024;            ///< connections of callers that are open at once
    milliseconds staleness_bound_{2000};                   ///< longest age of the server list and of the configuration
    bool first_start_ = true;                              ///< false when this VM may have announced its address before
    milliseconds stop_limit_{8000};                        ///< the process is killed this long after SIGTERM
};

}  // namespace cornelstall
