#pragma once

#include "cornelstall/standins/process/running_standin.hpp"

namespace cornelstall::standins
{

/// @brief The append-only log service.
struct log_settings
{
    double appends_per_second_ = 300.0;  ///< append calls over all streams; more are refused with 429
    milliseconds retention_{600'000};    ///< records older than this vanish
};

/// @brief Starts the log service on @a address (`ip:port`).
/// @throws process_error (id 490) when the address cannot be used
[[nodiscard]] running_standin start_log(const log_settings& settings, const socket_address& address);

}  // namespace cornelstall::standins
