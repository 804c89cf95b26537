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

token_count cached_tokens(const engine_state& engine, const std::vector<prefix_key>& keys)
{
    if (engine.cache_doubtful_ || engine.cached_prefixes_.empty())
    {
        return token_count{0};
    }
    // Keys are chained and a block without its predecessors cannot be reused, so the cached keys come first. Most
    // engines share only a few blocks with a prompt: doubling the step from the start finds the end in few lookups,
    // where a linear search takes about a thousand for a prompt of a million tokens.
    const auto is_cached = [&](prefix_key key) {
        return engine.cached_prefixes_.contains(key);
    };
    std::size_t step = 1;
    while (step <= keys.size() && is_cached(keys[step - 1]))
    {
        step *= 2;
    }
    const auto first = keys.begin() + static_cast<std::ptrdiff_t>(step / 2);
    const auto last = keys.begin() + static_cast<std::ptrdiff_t>(std::min(step, keys.size()));
    const auto missing = std::partition_point(first, last, is_cached);
    return missing == keys.begin() ? token_count{0} : engine.cached_prefixes_.at(*std::prev(missing));
}

}  // namespace cornelstall
