#pragma once

#include <string_view>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Average size of a token in UTF-8 text, used when no tokenizer is available.
inline constexpr std::size_t bytes_per_token = 4;
/// @brief Size of the prompt blocks that prefix keys are computed over.
inline constexpr std::size_t prefix_block_bytes = 4096;
/// @brief Prompts above this length are long: their prefill can noticeably delay other requests.
inline constexpr token_count long_prompt_threshold{32'768};

/// @brief Estimates the number of tokens of @a prompt; at least 1 for a non-empty text.
[[nodiscard]] token_count estimate_tokens(std::string_view prompt) noexcept;

/// @brief Chained hashes of the full 4,096-byte blocks of @a prompt, in order.
/// Two prompts share key `n` exactly when their first `n + 1` blocks are equal, except for hash collisions.
/// @note Linear in the length of the prompt.
[[nodiscard]] std::vector<prefix_key> prefix_keys(std::string_view prompt);

/// @brief How the time limit of a request grows with its prompt; each rank has its own policy.
struct time_limit_policy
{
    milliseconds base_{30000};
    milliseconds per_1k_prompt_tokens_{100};
};

/// @brief `base + per_1k_prompt_tokens × prompt / 1000`.
[[nodiscard]] milliseconds time_limit(const time_limit_policy& policy, token_count prompt) noexcept;

}  // namespace cornelstall
