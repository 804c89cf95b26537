#pragma once

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cornelstall
{

/// @brief A text identifier that does not convert to identifiers of another kind.
/// @tparam Tag a type that is only declared and names the kind
template <class Tag>
class text_id
{
  public:
    text_id() = default;

    /// @brief Wraps @a value without validation.
    explicit text_id(std::string value) : value_(std::move(value)) {}

    /// @brief The wrapped text.
    [[nodiscard]] const std::string& get() const noexcept
    {
        return value_;
    }

    /// @brief True for a default-constructed identifier, which identifies nothing.
    [[nodiscard]] bool empty() const noexcept
    {
        return value_.empty();
    }

    friend auto operator<=>(const text_id&, const text_id&) = default;

    friend std::ostream& operator<<(std::ostream& out, const text_id& id)
    {
        return out << id.value_;
    }

  private:
    std::string value_;
};

/// @brief A number of one kind that can be compared with and added to numbers of the same kind only.
/// @tparam Tag a type that is only declared and names the kind
/// @tparam Rep the arithmetic type that holds the number
template <class Tag, class Rep>
class strong_number
{
  public:
    using rep = Rep;

    constexpr strong_number() = default;

    /// @brief Wraps @a value without validation.
    constexpr explicit strong_number(Rep value) noexcept : value_(value) {}

    /// @brief The wrapped number.
    [[nodiscard]] constexpr Rep get() const noexcept
    {
        return value_;
    }

    /// @brief The following number.
    [[nodiscard]] constexpr strong_number next() const noexcept
    {
        return strong_number(value_ + 1);
    }

    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;

    constexpr strong_number& operator+=(strong_number other) noexcept
    {
        value_ += other.value_;
        return *this;
    }

    constexpr strong_number& operator-=(strong_number other) noexcept
    {
        value_ -= other.value_;
        return *this;
    }

    friend constexpr strong_number operator+(strong_number left, strong_number right) noexcept
    {
        return left += right;
    }

    friend constexpr strong_number operator-(strong_number left, strong_number right) noexcept
    {
        return left -= right;
    }

    friend std::ostream& operator<<(std::ostream& out, strong_number number)
    {
        return out << number.value_;
    }

  private:
    Rep value_{};
};

}  // namespace cornelstall

template <class Tag>
struct std::hash<cornelstall::text_id<Tag>>
{
    std::size_t operator()(const cornelstall::text_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.get());
    }
};

template <class Tag, class Rep>
struct std::hash<cornelstall::strong_number<Tag, Rep>>
{
    std::size_t operator()(cornelstall::strong_number<Tag, Rep> number) const noexcept
    {
        return std::hash<Rep>{}(number.get());
    }
};
