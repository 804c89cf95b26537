#pragma once

#include <optional>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What is known about the clock of another VM and the way from it.
struct transit_clock
{
    /// Receiver's clock less sender's clock of the fastest message so far; any value, as the clocks need not agree.
    std::optional<std::chrono::nanoseconds> shortest_;
    std::chrono::nanoseconds updated_at_{0};  ///< receiver's clock
};

/// @brief How much longer than the fastest message of the same VM a message took to arrive and to be handled. Both
/// clocks go on while a VM is suspended.
/// @param sent_at the sender's clock at the sending; empty when the sender does not state it
/// @param handled_at this VM's clock now
/// @return 0 for the first message, and for one without a time
[[nodiscard]] milliseconds record_transit(transit_clock& clock, std::optional<milliseconds> sent_at,
                                          std::chrono::nanoseconds handled_at);

}  // namespace cornelstall
