#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Whether an engine accepts new requests.
enum class engine_condition
{
    ready,
    draining,  ///< about to stop according to the VM list, its load report, a refusal or a peer
    unreachable
};

/// @brief Which phases of a request an engine serves.
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

/// @brief Load reported by an engine; lags behind its actual state.
struct engine_load
{
    std::uint64_t sequence_ = 0;  ///< number of the report
    int running_ = 0;             ///< sequences in the engine's batch
    int waiting_ = 0;             ///< sequences in the engine's own queue
    int slots_ = 0;               ///< largest number of sequences in a batch
    token_count kv_used_;
    token_count kv_total_;
    token_count prefill_waiting_;  ///< prompt tokens not yet prefilled
    token_rate prefill_rate_;
    token_rate decode_rate_;  ///< per sequence
    std::vector<loaded_model> models_;
    engine_role role_ = engine_role::mixed;
    bool draining_ = false;
};

/// @brief What a VM knows about an engine of its data centre. The engine's owner has the full state; other VMs have the
/// published summary.
struct engine_state
{
    engine_id id_;
    socket_address address_;
    data_centre_id data_centre_;
    bool checks_fencing_ = true;  ///< the engine rejects orders with an outdated fencing number
    engine_condition condition_ = engine_condition::unreachable;
    engine_load load_;
    time_point reported_at_;
    std::unordered_map<prefix_key, token_count> cached_prefixes_;
    /// The index has not been read yet, or not since cache events were missed.
    bool cache_index_stale_ = true;
    token_count tokens_sent_since_report_;  ///< uncached prompt tokens that this VM has sent since the last report
    int requests_sent_since_report_ = 0;    ///< by this VM
    int long_prefills_ = 0;                 ///< long prompts in prefill according to the owner's grants
};

/// @brief True when @a engine has @a model loaded, and also @a adapter when that is not empty.
[[nodiscard]] bool has_model(const engine_state& engine, const model_id& model, const adapter_id& adapter);

/// @brief Length of the longest cached prefix of @a keys in blocks; 0 when the cache index is stale.
/// @param hint expected result, for instance that of another engine. A search from the first block takes about a
/// thousand lookups for a prompt of a million tokens, which is too slow for a placement decision over 500 engines.
/// @note Two lookups when the hint is exact, otherwise logarithmic in the number of keys.
[[nodiscard]] std::size_t cached_blocks(const engine_state& engine, const std::vector<prefix_key>& keys,
                                        std::size_t hint);

/// @brief Length of the longest cached prefix of @a keys in tokens; 0 when the cache index is stale.
/// @note Logarithmic in the number of cached keys.
[[nodiscard]] token_count cached_tokens(const engine_state& engine, const std::vector<prefix_key>& keys);

}  // namespace cornelstall
