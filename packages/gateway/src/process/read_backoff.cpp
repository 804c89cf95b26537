#include "cornelstall/gateway/process/read_backoff.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// Interval between checks whether the wait is over.
constexpr milliseconds check_interval{100};

milliseconds longest_delay(const gateway_state& state, const read_backoff& backoff)
{
    return max_failed_read_delay(own_reader_position(state), backoff.reader_limit_, state.settings_.staleness_bound_);
}

}  // namespace

void reset(read_backoff& backoff)
{
    backoff.next_ = backoff.initial_;
}

task<> wait_after_failed_read(gateway_state& state, read_backoff& backoff, std::function<bool()> is_over)
{
    const auto delay = std::min(backoff.next_, longest_delay(state, backoff));
    backoff.next_ = 2 * delay;
    const auto started_at = std::chrono::steady_clock::now();
    auto left = delay;
    while (left.count() > 0 && !is_over())
    {
        co_await sleep_for(std::min(left, check_interval));
        const auto limit = std::min(delay, longest_delay(state, backoff));
        left = remaining_until(started_at + limit, std::chrono::steady_clock::now());
    }
}

}  // namespace cornelstall
