#include "cornelstall/gateway/process/loop_lateness.hpp"

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

namespace
{

constexpr milliseconds measure_interval{100};

}  // namespace

void record_lateness(loop_lateness& recorded, milliseconds late, time_point now)
{
    if (now - recorded.second_begun_ >= std::chrono::seconds{1})
    {
        recorded.previous_ = recorded.current_;
        recorded.current_ = milliseconds{0};
        recorded.second_begun_ = now;
    }
    recorded.current_ = std::max(recorded.current_, late);
    recorded.measured_at_ = now;
}

time_point earliest_cause(const loop_lateness& recorded, time_point now)
{
    // Since the last measurement no timer has fired, so the loop may have been late all the time.
    return std::min(now - longest_lateness(recorded), recorded.measured_at_);
}

task<> measure_lateness(gateway_state& state)
{
    while (true)
    {
        const auto due_at = std::chrono::steady_clock::now() + measure_interval;
        co_await sleep_for(measure_interval);
        const auto now = std::chrono::steady_clock::now();
        const auto late = std::chrono::duration_cast<milliseconds>(now - due_at);
        record_lateness(state.loop_lateness_, late, now);
        state.metrics_.observe("gateway_loop_late_ms", {}, static_cast<double>(late.count()));
    }
}

}  // namespace cornelstall
