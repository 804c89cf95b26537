#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief What feeds a gateway process with what it has to know.
struct gateway_callbacks
{
    /// Starts the tasks that follow configuration, servers and VMs.
    std::function<void(gateway_state&)> on_start_;
    /// Called when the settings may have changed (SIGHUP).
    std::function<void(gateway_state&)> on_reload_;
};

/// @brief Runs a gateway until SIGTERM or SIGINT and all requests are finished.
/// @return the exit status
[[nodiscard]] int run_gateway(const gateway_settings& settings, const gateway_protocol& protocol,
                              const gateway_callbacks& feeds);

}  // namespace cornelstall
