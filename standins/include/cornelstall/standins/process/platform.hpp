#pragma once

#include "cornelstall/standins/process/running_standin.hpp"

namespace cornelstall::standins
{

/// @brief The platform's VM list and weight store.
struct platform_settings
{
    milliseconds visibility_lag_{1000};     ///< from `PUT /control/vms` to its visibility in `GET /vms`
    int concurrent_transfers_ = 2;          ///< more downloads at once are refused with 429
    milliseconds transfer_duration_{2000};  ///< of one download
};

/// @brief Starts the VM list and the weight store on @a address (`ip:port`).
/// @throws process_error (id 490) when the address cannot be used
[[nodiscard]] running_standin start_platform(const platform_settings& settings, const socket_address& address);

}  // namespace cornelstall::standins
