#include "cornelstall/decisions/connection/transit_time.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// Two clocks drift apart by at most this share of the time.
constexpr double max_clock_drift = 0.0002;

}  // namespace

milliseconds record_transit(transit_clock& clock, std::optional<milliseconds> sent_at,
                            std::chrono::nanoseconds handled_at)
{
    if (!sent_at)
    {
        return milliseconds{0};
    }
    const auto difference = handled_at - *sent_at;
    const auto drift =
        std::chrono::duration_cast<std::chrono::nanoseconds>((handled_at - clock.updated_at_) * max_clock_drift);
    clock.shortest_ = clock.shortest_ ? std::min(*clock.shortest_ + drift, difference) : difference;
    clock.updated_at_ = handled_at;
    return std::chrono::duration_cast<milliseconds>(difference - *clock.shortest_);
}

}  // namespace cornelstall
