#pragma once

#include <functional>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Delay between failed reads of the platform's log; doubles with each failure.
struct read_backoff
{
    milliseconds initial_;
    milliseconds reader_limit_;  ///< longest delay of the VMs that read the log for the others
    milliseconds next_ = initial_;
};

/// @brief Resets the delay after a successful read.
void reset(read_backoff& backoff);

/// @brief Waits after a failed read, longer after each further one. Ends early when @a is_over returns true, and when
/// the delay is too long for this VM's position among the readers, which changes while it waits.
[[nodiscard]] task<> wait_after_failed_read(gateway_state& state, read_backoff& backoff, std::function<bool()> is_over);

}  // namespace cornelstall
