#include "cornelstall/decisions/request/tokens.hpp"

#include <algorithm>
#include <ranges>

#include <xxhash.h>

namespace cornelstall
{

token_count estimate_tokens(std::string_view prompt) noexcept
{
    return token_count{static_cast<std::int64_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token)};
}

std::vector<prefix_key> prefix_keys(std::string_view prompt)
{
    const auto blocks = std::views::iota(std::size_t{0}, prompt.size() / prefix_block_bytes);
    std::vector<prefix_key> keys;
    keys.reserve(blocks.size());
    XXH64_hash_t chain = 0;
    std::ranges::transform(blocks, std::back_inserter(keys), [&chain, prompt](std::size_t block) {
        const std::string_view text = prompt.substr(block * prefix_block_bytes, prefix_block_bytes);
        chain = XXH64(text.data(), text.size(), chain);
        return prefix_key{chain};
    });
    return keys;
}

milliseconds time_limit(const time_limit_policy& policy, token_count prompt) noexcept
{
    return policy.base_ + milliseconds{policy.per_1k_prompt_tokens_.count() * prompt.get() / 1000};
}

}  // namespace cornelstall
