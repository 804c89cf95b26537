#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall::standins
{

/// @brief Tokens of one block of 4,096 bytes that a prefix key stands for.
inline constexpr token_count block_tokens{1024};

struct cache_event
{
    std::uint64_t sequence_ = 0;
    bool stored_ = true;  ///< false: evicted
    prefix_key key_;
    time_point visible_at_;
};

/// @brief Prompt prefixes in bounded memory, least recently used first out, and the events that tell of them.
struct prefix_cache
{
    token_count capacity_;
    milliseconds event_lag_{0};
    std::list<prefix_key> recent_;  ///< most recently used first
    std::unordered_map<prefix_key, std::list<prefix_key>::iterator> blocks_;
    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 1;
};

/// @brief Tokens of the longest cached prefix among @a keys; linear in their number.
[[nodiscard]] token_count cached_prefix(const prefix_cache& cache, const std::vector<prefix_key>& keys);

/// @brief Stores or refreshes the blocks of one prompt and evicts what no longer fits.
/// @param dropped_events this many of the next events are lost; counted down
void store_prefix(prefix_cache& cache, const std::vector<prefix_key>& keys, int& dropped_events, time_point now);

/// @brief The answer to `GET /v1/cache-events`.
[[nodiscard]] nlohmann::json events_after(const prefix_cache& cache, std::uint64_t after, time_point now);

/// @brief The answer to `GET /v1/cache`.
[[nodiscard]] nlohmann::json list_blocks(const prefix_cache& cache);

/// @brief The key written as 16 hexadecimal digits.
/// @throws std::invalid_argument when it is not hexadecimal
[[nodiscard]] prefix_key parse_prefix_key(const std::string& text);

}  // namespace cornelstall::standins
