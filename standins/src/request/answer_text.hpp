#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelstall/value.hpp"

namespace cornelstall::standins
{

namespace detail
{
struct answer_seed_tag;
}  // namespace detail

/// @brief What the answer to a prompt is derived from; equal for equal prompts on all engines.
using answer_seed = strong_number<detail::answer_seed_tag, std::uint64_t>;

/// @brief The seed of the answer to @a prompt. Linear in the prompt.
[[nodiscard]] answer_seed seed_of(std::string_view prompt) noexcept;

/// @brief The text of one part of an answer; a part is one token.
/// Depends on nothing but its arguments, so that a continuation on another engine gives the same answer.
[[nodiscard]] std::string part_text(answer_seed seed, part_number part);

}  // namespace cornelstall::standins
