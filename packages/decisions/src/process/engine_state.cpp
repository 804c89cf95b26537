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
    // Keys are chained, so the last known key stands for the longest cached prefix.
    const auto found =
        std::find_if(keys.rbegin(), keys.rend(), [&](prefix_key key) { return engine.cached_prefixes_.contains(key); });
    return found == keys.rend() ? token_count{0} : engine.cached_prefixes_.at(*found);
}

}  // namespace cornelstall
