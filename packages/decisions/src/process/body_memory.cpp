#include "cornelstall/decisions/process/body_memory.hpp"

#include <algorithm>
#include <ranges>

namespace cornelstall
{

namespace
{

/// Bodies up to this size may draw on the part of the budget that larger ones must leave free: prompts that do not
/// count as long, at four bytes a token.
constexpr byte_count small_body{64ULL * 1024};
/// The part of the budget that is kept for small bodies: a quarter.
constexpr std::uint64_t small_body_share = 4;
/// A body without progress for this long is stalled. Blocks of a caller at 1 Mbit/s arrive within 130 ms.
constexpr milliseconds stall_time{250};

/// Memory times the time without progress.
double cost_of_stall(const body_account& body, time_point now)
{
    const std::chrono::duration<double> stalled = now - body.progressed_at_;
    return static_cast<double>(body.held_.get()) * stalled.count();
}

std::optional<body_id> choose_stalled(const body_memory& memory, body_id asking, time_point now)
{
    std::optional<body_id> chosen;
    double highest_cost = 0.0;
    std::ranges::for_each(memory.bodies_, [&](const auto& entry) {
        const auto& [id, body] = entry;
        const bool stalled = !body.complete_ && id != asking && now - body.progressed_at_ >= stall_time;
        const double cost = stalled ? cost_of_stall(body, now) : 0.0;
        if (cost > highest_cost)
        {
            highest_cost = cost;
            chosen = id;
        }
    });
    return chosen;
}

}  // namespace

body_id open_body(body_memory& memory, time_point now)
{
    const auto id = memory.next_id_;
    memory.next_id_ += body_id{1};
    memory.bodies_[id].progressed_at_ = now;
    return id;
}

body_growth grow_body(body_memory& memory, body_id id, byte_count bytes, time_point now)
{
    auto& body = memory.bodies_.at(id);
    const byte_count kept{body.held_ + bytes <= small_body ? 0 : memory.limit_.get() / small_body_share};
    if (memory.used_ + bytes + kept <= memory.limit_)
    {
        memory.used_ += bytes;
        body.held_ += bytes;
        body.progressed_at_ = now;
        return {true, std::nullopt};
    }
    // The caller has sent all that was read. It must not count as stalled while the process does not read on.
    body.progressed_at_ = now;
    return {false, choose_stalled(memory, id, now)};
}

void complete_body(body_memory& memory, body_id id)
{
    memory.bodies_.at(id).complete_ = true;
}

void close_body(body_memory& memory, body_id id)
{
    const auto found = memory.bodies_.find(id);
    if (found != memory.bodies_.end())
    {
        memory.used_ -= found->second.held_;
        memory.bodies_.erase(found);
    }
}

}  // namespace cornelstall
