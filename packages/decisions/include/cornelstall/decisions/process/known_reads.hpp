#pragma once

#include <chrono>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What a VM knows of the reads of the log by all VMs, itself included. Times are boot times of this VM.
struct known_reads
{
    std::chrono::nanoseconds since_{0};  ///< the first read of the latest span without an outage
    std::chrono::nanoseconds until_{0};  ///< the last read; 0 when none is known
    bool after_outage_ = false;          ///< some VM has read the log before the span, and none in an outage before it
};

/// @brief An interval of this length without any read counts as an outage of the log. Entries expire after three missed
/// heartbeats, which take longer.
inline constexpr milliseconds min_expiry_outage{2500};
/// @brief Servers whose entries expired in an outage of the log register again within 2 s of its end.
inline constexpr milliseconds removal_grace_period{2500};

/// @brief Adds the reads of a span without an outage, which this VM made or another VM reported. Spans that are less
/// than an outage apart become one, whichever of them is learned first.
void add_reads(known_reads& known, const known_reads& added);

/// @brief The last read of the span @a known as this VM reports it to others, which may pass it on in their turn.
/// @param own_read the last read of this VM itself, or one before the span
[[nodiscard]] std::chrono::nanoseconds reported_until(const known_reads& known, std::chrono::nanoseconds own_read);

/// @brief The time left for which a removed server may only have failed to renew its entry in an outage; 0 when none.
[[nodiscard]] milliseconds removal_grace(const known_reads& known, std::chrono::nanoseconds now);

}  // namespace cornelstall
