#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "cornelstall/wire/connection/peer_codec.hpp"

namespace cornelstall::detail
{

[[noreturn]] void refuse(const char* field, const char* problem);

/// @brief Checks that @a text is printable and not too long, and wraps it. Empty text is accepted.
template <class Id>
[[nodiscard]] Id optional_id(const std::string& text, const char* field)
{
    if (text.size() > max_id_bytes)
    {
        refuse(field, "is longer than 256 bytes");
    }
    // Control characters would make log lines and hash subjects ambiguous.
    if (std::ranges::any_of(text, [](unsigned char each) { return each < 0x20 || each == 0x7f; }))
    {
        refuse(field, "contains a control character");
    }
    return Id{text};
}

/// @brief Like optional_id, but refuses empty text.
template <class Id>
[[nodiscard]] Id required_id(const std::string& text, const char* field)
{
    if (text.empty())
    {
        refuse(field, "is missing");
    }
    return optional_id<Id>(text, field);
}

/// @brief Checks that @a value is not negative.
template <class Number>
[[nodiscard]] Number not_negative(Number value, const char* field)
{
    if (!(value >= Number{}) ||
        (std::numeric_limits<Number>::has_infinity && !std::isfinite(static_cast<double>(value))))
    {
        refuse(field, "is negative or not finite");
    }
    return value;
}

/// @brief Checks that @a value is the number of an enumerator up to @a last.
template <class Enum>
[[nodiscard]] Enum checked_enum(std::uint32_t value, Enum last, const char* field)
{
    if (value > static_cast<std::uint32_t>(last))
    {
        refuse(field, "is not a known value");
    }
    return static_cast<Enum>(value);
}

/// @brief Checks the length of a repeated field.
template <class List>
const List& checked_list(const List& list, const char* field)
{
    if (list.size() > max_list_items)
    {
        refuse(field, "has more than 20000 items");
    }
    return list;
}

/// @brief Checks that @a text is `ip:port` with a port from 1 to 65535. The IP number itself is checked when it is
/// used.
[[nodiscard]] socket_address checked_address(const std::string& text, const char* field);

/// @brief Milliseconds within max_remaining.
[[nodiscard]] milliseconds checked_duration(std::uint64_t value, const char* field);

}  // namespace cornelstall::detail
