#include "cornelstall/decisions/process/engine_state.hpp"

#include <algorithm>

namespace cornelstall
{

bool has_model(const engine_state& engine, const model_id& model, const adapter_id& adapter)
{
    return std::ranges::any_of(engine.load_.models_, [&](const loaded_model& loaded) {
        return loaded.name_ == model && (adapter.empty() || loaded.adapters_.contains(adapter));
    });
}

std::size_t cached_blocks(const engine_state& engine, const std::vector<prefix_key>& keys, std::size_t hint)
{
    if (engine.cache_index_stale_ || engine.cached_prefixes_.empty())
    {
        return 0;
    }
    // Each key covers all preceding blocks, and a block cannot be reused without them, so the cached keys form a prefix
    // of the list.
    const auto is_cached = [&](prefix_key key) {
        return engine.cached_prefixes_.contains(key);
    };
    std::size_t low = std::min(hint, keys.size());
    std::size_t high = low;
    if (low > 0 && !is_cached(keys[low - 1]))
    {
        high = low - 1;
        low = 0;
    }
    else
    {
        std::size_t step = 1;
        while (high < keys.size() && is_cached(keys[high]))
        {
            low = high + 1;
            high = std::min(keys.size(), high + step);
            step *= 2;
        }
    }
    const auto iterator_at = [&](std::size_t number) {
        return keys.begin() + static_cast<std::ptrdiff_t>(number);
    };
    return static_cast<std::size_t>(std::partition_point(iterator_at(low), iterator_at(high), is_cached) -
                                    keys.begin());
}

token_count cached_tokens(const engine_state& engine, const std::vector<prefix_key>& keys)
{
    const std::size_t blocks = cached_blocks(engine, keys, 0);
    return blocks == 0 ? token_count{0} : engine.cached_prefixes_.at(keys[blocks - 1]);
}

}  // namespace cornelstall
