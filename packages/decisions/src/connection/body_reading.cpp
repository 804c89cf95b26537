#include "cornelstall/decisions/connection/body_reading.hpp"

#include <algorithm>

namespace cornelstall
{

body_id begin_body(body_reading_table& table, time_point now)
{
    const auto body = table.next_;
    table.next_ = body.next();
    table.bodies_[body].recent_begin_ = now;
    return body;
}

bool reserve_read(body_reading_table& table, body_id body, byte_count size, time_point now)
{
    auto& reading = table.bodies_.at(body);
    const bool is_small = reading.held_ + size <= table.limits_.small_;
    if (!is_small && table.held_ + size > table.limits_.total_)
    {
        if (table.unlimited_.value_or(body) != body)
        {
            reading.paused_ = true;
            return false;
        }
        table.unlimited_ = body;
    }
    if (reading.paused_)
    {
        reading.paused_ = false;
        reading.recent_ = byte_count{0};
        reading.recent_begin_ = now;
    }
    reading.held_ += size;
    table.held_ += size;
    return true;
}

void settle_read(body_reading_table& table, body_id body, byte_count reserved, byte_count arrived, time_point now)
{
    auto& reading = table.bodies_.at(body);
    reading.held_ += arrived;
    reading.held_ -= reserved;
    table.held_ += arrived;
    table.held_ -= reserved;
    reading.recent_ += arrived;
    if (reading.recent_ >= table.limits_.least_progress_)
    {
        reading.recent_ = byte_count{0};
        reading.recent_begin_ = now;
    }
}

void end_body(body_reading_table& table, body_id body)
{
    const auto found = table.bodies_.find(body);
    if (found == table.bodies_.end())
    {
        return;
    }
    table.held_ -= found->second.held_;
    table.bodies_.erase(found);
    if (table.unlimited_ == body)
    {
        table.unlimited_.reset();
    }
}

std::optional<body_id> find_stalled_body(const body_reading_table& table, time_point now)
{
    const auto held_when_stalled = [&table, now](const auto& entry) {
        const auto& reading = entry.second;
        const bool stalled = !reading.paused_ && reading.held_ > table.limits_.small_ &&
                             now - reading.recent_begin_ >= table.limits_.progress_time_;
        return stalled ? reading.held_ : byte_count{0};
    };
    const auto found = std::ranges::max_element(table.bodies_, {}, held_when_stalled);
    if (found == table.bodies_.end() || held_when_stalled(*found) == byte_count{0})
    {
        return std::nullopt;
    }
    return found->first;
}

}  // namespace cornelstall
