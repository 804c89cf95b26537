#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "cornelstall/value/ids.hpp"

namespace cornelstall
{

/// @brief The number of a record within one era of a log, from 0. It has no order of its own: a log that comes back
/// from an older copy gives offsets out again, so offsets are compared only as parts of a `log_position`.
class record_offset
{
  public:
    constexpr record_offset() = default;

    /// @brief Wraps @a value without validation.
    constexpr explicit record_offset(std::uint64_t value) noexcept : value_(value) {}

    /// @brief The wrapped number, to encode or log it.
    [[nodiscard]] constexpr std::uint64_t get() const noexcept
    {
        return value_;
    }

  private:
    std::uint64_t value_ = 0;
};

/// @brief A place in a log that may come back from an older copy: the era and, within it, the offset of a record.
/// Positions are ordered by era first. A default-constructed position comes before every record.
class log_position
{
  public:
    constexpr log_position() = default;

    constexpr log_position(log_era era, record_offset offset) noexcept : era_(era), offset_(offset.get()) {}

    /// @brief The era that the log stated when it showed the record; 0 when it states none.
    [[nodiscard]] constexpr log_era era() const noexcept
    {
        return era_;
    }

    [[nodiscard]] constexpr record_offset offset() const noexcept
    {
        return record_offset{offset_};
    }

    /// @brief The position of the record that follows in the same era.
    [[nodiscard]] constexpr log_position next() const noexcept
    {
        return {era_, record_offset{offset_ + 1}};
    }

    /// @brief The position of the record before in the same era; the first record's own position when there is none.
    [[nodiscard]] constexpr log_position previous() const noexcept
    {
        return {era_, record_offset{offset_ == 0 ? 0 : offset_ - 1}};
    }

    friend constexpr auto operator<=>(const log_position&, const log_position&) = default;

  private:
    log_era era_;
    std::uint64_t offset_ = 0;
};

/// @brief True when the offsets of both positions number records of the same history.
[[nodiscard]] constexpr bool is_same_era(log_position left, log_position right) noexcept
{
    return left.era() == right.era();
}

/// @brief True when a reader that knows all records of an era before @a end knows the record at @a position. Says
/// nothing about records of other eras: a log that came back from a copy may lack them.
[[nodiscard]] constexpr bool covers(log_position end, log_position position) noexcept
{
    return is_same_era(end, position) && position < end;
}

/// @brief The position for people: `era:offset`.
[[nodiscard]] inline std::string to_text(log_position position)
{
    return std::to_string(position.era().get()) + ":" + std::to_string(position.offset().get());
}

}  // namespace cornelstall
