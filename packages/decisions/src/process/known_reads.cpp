#include "cornelstall/decisions/process/known_reads.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// What a read that another VM has reported is made older by when it is passed on. Longer than a report usually takes
/// between two VMs: a read that looked younger each time it is passed on would hide an outage.
constexpr milliseconds relay_margin{200};

}  // namespace

void add_reads(known_reads& known, const known_reads& added)
{
    const bool is_first = known.until_ == std::chrono::nanoseconds{0};
    if (is_first || added.since_ - known.until_ >= min_expiry_outage)
    {
        known = added;
        known.after_outage_ = added.after_outage_ || !is_first;
        return;
    }
    if (known.since_ - added.until_ >= min_expiry_outage)
    {
        // Other VMs may have read the log in between.
        return;
    }
    known.since_ = std::min(known.since_, added.since_);
    known.until_ = std::max(known.until_, added.until_);
    known.after_outage_ = known.after_outage_ || added.after_outage_;
}

std::chrono::nanoseconds reported_until(const known_reads& known, std::chrono::nanoseconds own_read)
{
    const auto relayed = known.until_ - relay_margin;
    return own_read >= known.since_ ? std::max(own_read, relayed) : relayed;
}

milliseconds removal_grace(const known_reads& known, std::chrono::nanoseconds now)
{
    const auto left = std::chrono::ceil<milliseconds>(known.since_ + removal_grace_period - now);
    return known.after_outage_ ? std::max(left, milliseconds{0}) : milliseconds{0};
}

}  // namespace cornelstall
