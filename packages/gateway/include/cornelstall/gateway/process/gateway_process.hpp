#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief What feeds a gateway process with what it has to know.
struct gateway_feeds
{
    /// Starts the tasks that follow configuration, servers and VMs.
    std::function<void(gateway_state&)> start_;
    /// Called when the settings may have changed (SIGHUP).
    std::function<void(gateway_state&)> reload_;
};

/// @brief Runs a gateway until SIGTERM or SIGINT and all requests are finished.
/// @return the exit status
[[nodiscard]] int run_gateway(const gateway_settings& settings, const gateway_protocol& protocol,
                              const gateway_feeds& feeds);

}  // namespace cornelstall
