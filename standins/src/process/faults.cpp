#include "process/faults.hpp"

namespace cornelstall::standins
{

namespace
{

template <class Value>
void take(const nlohmann::json& change, const char* name, Value& value)
{
    if (const auto found = change.find(name); found != change.end())
    {
        value = found->get<Value>();
    }
}

std::optional<part_number> part_in(const nlohmann::json& change, const char* name)
{
    const auto found = change.find(name);
    return found == change.end() ? std::nullopt : std::optional{part_number{found->get<std::uint64_t>()}};
}

}  // namespace

void change_faults(fault_plan& plan, const nlohmann::json& change)
{
    take(change, "match", plan.match_);
    take(change, "outage", plan.outage_);
    auto delay = plan.delay_.count();
    take(change, "delay_ms", delay);
    plan.delay_ = milliseconds{delay};
    take(change, "lose_acknowledgement", plan.lose_acknowledgements_);
    take(change, "silent", plan.silent_calls_);
    if (const auto pause = change.find("pause_ms"); pause != change.end())
    {
        plan.paused_until_ = std::chrono::steady_clock::now() + milliseconds{pause->get<std::int64_t>()};
    }
    take(change, "full", plan.full_);
    take(change, "close_reused", plan.close_reused_);
    take(change, "drain", plan.drain_);
    take(change, "cache_event_gap", plan.cache_event_gap_);
    if (change.value("silence_open_connections", false))
    {
        ++*plan.silence_epoch_;
    }
    if (const auto streams = change.find("streams"); streams != change.end())
    {
        plan.disturbed_streams_ = streams->value("count", 1);
        plan.stream_ = {.cut_after_ = part_in(*streams, "cut_after_part"),
                        .silent_after_ = part_in(*streams, "silent_after_part"),
                        .duplicate_ = part_in(*streams, "duplicate_part"),
                        .swap_ = part_in(*streams, "swap_part"),
                        .earlier_attempt_ = part_in(*streams, "earlier_attempt_before_part"),
                        .foreign_ = part_in(*streams, "foreign_before_part"),
                        .without_end_after_ = part_in(*streams, "end_without_mark_after_part")};
    }
}

bool use_fault(int& left) noexcept
{
    if (left > 0)
    {
        --left;
        return true;
    }
    return left < 0;
}

}  // namespace cornelstall::standins
