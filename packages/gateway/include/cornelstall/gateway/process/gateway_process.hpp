#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Functions that a deployment provides to a gateway process.
struct gateway_callbacks
{
    /// Called once at the start; spawns the tasks that follow the configuration, the server list and the other VMs.
    std::function<void(gateway_state&)> on_start_;
    /// Called on SIGHUP; reloads the settings.
    std::function<void(gateway_state&)> on_reload_;
};

/// @brief Runs a gateway until SIGTERM or SIGINT, then finishes the open requests within the stop limit.
/// @return the exit status
[[nodiscard]] int run_gateway(const gateway_settings& settings, const gateway_protocol& protocol,
                              const gateway_callbacks& callbacks);

}  // namespace cornelstall
