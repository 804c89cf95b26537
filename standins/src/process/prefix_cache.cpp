#include "process/prefix_cache.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <ranges>

#include "process/faults.hpp"

namespace cornelstall::standins
{

namespace
{

/// Older events are forgotten; a reader that is further behind needs the full list.
constexpr std::size_t kept_events = 4096;
constexpr int hexadecimal = 16;

std::string to_text(prefix_key key)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, key.get());
    return {digits.data()};
}

void publish(prefix_cache& cache, bool stored, prefix_key key, int& dropped_events, time_point now)
{
    const std::uint64_t sequence = cache.next_sequence_++;
    if (use_fault(dropped_events))
    {
        return;
    }
    cache.events_.push_back({sequence, stored, key, now + cache.event_lag_});
    if (cache.events_.size() > kept_events)
    {
        cache.events_.pop_front();
    }
}

}  // namespace

token_count cached_prefix(const prefix_cache& cache, const std::vector<prefix_key>& keys)
{
    const auto missing = std::ranges::find_if(keys, [&cache](prefix_key key) { return !cache.blocks_.contains(key); });
    return token_count{block_tokens.get() * std::distance(keys.begin(), missing)};
}

void store_prefix(prefix_cache& cache, const std::vector<prefix_key>& keys, int& dropped_events, time_point now)
{
    // The first block becomes the most recent one: a block without those before it is of no use.
    std::ranges::for_each(keys | std::views::reverse, [&](prefix_key key) {
        if (const auto found = cache.blocks_.find(key); found != cache.blocks_.end())
        {
            cache.recent_.splice(cache.recent_.begin(), cache.recent_, found->second);
            return;
        }
        cache.recent_.push_front(key);
        cache.blocks_[key] = cache.recent_.begin();
        publish(cache, true, key, dropped_events, now);
    });
    const auto capacity = static_cast<std::size_t>(cache.capacity_.get() / block_tokens.get());
    while (cache.recent_.size() > capacity)
    {
        publish(cache, false, cache.recent_.back(), dropped_events, now);
        cache.blocks_.erase(cache.recent_.back());
        cache.recent_.pop_back();
    }
}

nlohmann::json events_after(const prefix_cache& cache, std::uint64_t after, time_point now)
{
    const auto unseen = std::ranges::upper_bound(cache.events_, after, {}, &cache_event::sequence_);
    const auto invisible =
        std::ranges::find_if(cache.events_, [now](const cache_event& each) { return each.visible_at_ > now; });
    nlohmann::json events = nlohmann::json::array();
    const auto count = std::max<std::ptrdiff_t>(0, invisible - unseen);
    std::ranges::transform(std::views::counted(unseen, count), std::back_inserter(events), [](const cache_event& each) {
        return nlohmann::json{{"sequence", each.sequence_},
                              {"kind", each.stored_ ? "stored" : "evicted"},
                              {"key", to_text(each.key_)},
                              {"tokens", block_tokens.get()}};
    });
    return {{"events", std::move(events)},
            {"oldest", cache.events_.empty() ? cache.next_sequence_ : cache.events_.front().sequence_},
            {"next", invisible == cache.events_.end() ? cache.next_sequence_ : invisible->sequence_}};
}

nlohmann::json list_blocks(const prefix_cache& cache)
{
    nlohmann::json keys = nlohmann::json::array();
    std::ranges::transform(cache.recent_, std::back_inserter(keys), [](prefix_key key) {
        return nlohmann::json{{"key", to_text(key)}, {"tokens", block_tokens.get()}};
    });
    return {{"sequence", cache.next_sequence_ - 1}, {"keys", std::move(keys)}};
}

prefix_key parse_prefix_key(const std::string& text)
{
    return prefix_key{std::stoull(text, nullptr, hexadecimal)};
}

}  // namespace cornelstall::standins
