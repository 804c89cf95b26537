#pragma once

#include <chrono>
#include <cstdint>

#include "cornelstall/value/strong_type.hpp"

namespace cornelstall
{

namespace detail
{
struct token_tag;
struct byte_tag;
struct weight_tag;
struct rate_tag;
struct request_rate_tag;
}  // namespace detail

/// @brief A number of model tokens; signed, so that differences cannot wrap around.
using token_count = strong_number<detail::token_tag, std::int64_t>;
/// @brief A number of bytes.
using byte_count = strong_number<detail::byte_tag, std::uint64_t>;
/// @brief A caller's weight in fair queuing; the default is 1.
using caller_weight = strong_number<detail::weight_tag, double>;
/// @brief Tokens per second.
using token_rate = strong_number<detail::rate_tag, double>;

/// @brief Requests per second.
using request_rate = strong_number<detail::request_rate_tag, double>;

using std::chrono::milliseconds;

/// @brief A point in monotonic time. Decisions take it as a parameter and do not read a clock.
using time_point = std::chrono::steady_clock::time_point;

/// @brief The time to process @a amount tokens at @a rate, in milliseconds, rounded down plus 1, so never shorter than
/// the exact time; 0 when @a amount is not positive.
/// @return `milliseconds::max()` when @a rate is not positive and @a amount is positive
[[nodiscard]] constexpr milliseconds duration_of(token_count amount, token_rate rate) noexcept
{
    if (amount.get() <= 0)
    {
        return milliseconds{0};
    }
    if (rate.get() <= 0.0)
    {
        return milliseconds::max();
    }
    const double exact = static_cast<double>(amount.get()) * 1000.0 / rate.get();
    return milliseconds{static_cast<std::int64_t>(exact) + 1};
}

/// @brief The time left until @a deadline; 0 when it has passed.
[[nodiscard]] constexpr milliseconds remaining_until(time_point deadline, time_point now) noexcept
{
    return deadline <= now ? milliseconds{0} : std::chrono::duration_cast<milliseconds>(deadline - now);
}

}  // namespace cornelstall
