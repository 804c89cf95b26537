#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Whether an engine takes new work.
enum class engine_condition
{
    ready,
    draining,  ///< leaving by the VM list, its own report, a refusal or a peer
    unreachable
};

/// @brief What an engine can be used for.
enum class engine_role
{
    mixed,
    prefill,
    decode
};

/// @brief A model that an engine has loaded.
struct loaded_model
{
    model_id name_;
    model_version version_;
    std::set<adapter_id> adapters_;
};

/// @brief An engine's own load report; it lags.
struct engine_load
{
    std::uint64_t sequence_ = 0;
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;  ///< sequences that the engine batches at once
    token_count kv_used_;
    token_count kv_total_;
    token_count prefill_waiting_;
    token_rate prefill_rate_;
    token_rate decode_rate_;  ///< of one sequence
    std::vector<loaded_model> models_;
    engine_role role_ = engine_role::mixed;
    bool draining_ = false;
};

/// @brief What is known about one engine in this data centre, by its owner in detail, by others as a summary.
struct engine_state
{
    engine_id id_;
    socket_address address_;
    data_centre_id data_centre_;
    bool checks_fencing_ = true;  ///< the engine refuses orders with an old fencing number
    engine_condition condition_ = engine_condition::unreachable;
    engine_load load_;
    time_point reported_at_;
    std::unordered_map<prefix_key, token_count> cached_prefixes_;
    bool cache_index_stale_ = true;         ///< a gap in cache events has not been repaired yet
    token_count tokens_sent_since_report_;  ///< uncached prompt tokens that this VM sent after the report
    int requests_sent_since_report_ = 0;
    int long_prefills_ = 0;  ///< long prompts in prefill, by the owner's grants
};

/// @brief True when @a engine has @a model loaded, with @a adapter unless that is empty.
[[nodiscard]] bool has_model(const engine_state& engine, const model_id& model, const adapter_id& adapter);

/// @brief Number of the first @a keys that are cached; 0 when the cache index is doubtful.
/// @param guess likely result, for instance that of another engine. A search from the first block takes about a
/// thousand lookups for a prompt of a million tokens; at 500 engines that does not fit in a placement decision.
/// Two lookups when the guess is right, else logarithmic in the number of keys.
[[nodiscard]] std::size_t cached_blocks(const engine_state& engine, const std::vector<prefix_key>& keys,
                                        std::size_t guess);

/// @brief Tokens of the longest cached prefix among @a keys; 0 when the cache index is doubtful.
/// Logarithmic in the number of keys that are cached.
[[nodiscard]] token_count cached_tokens(const engine_state& engine, const std::vector<prefix_key>& keys);

}  // namespace cornelstall
