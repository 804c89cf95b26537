#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Targets and limits of one rank, the same for the whole fleet.
struct rank_policy
{
    milliseconds first_token_target_{2000};
    milliseconds time_limit_{30000};               ///< for an empty prompt
    milliseconds time_per_1k_prompt_tokens_{100};  ///< added to the limit for each 1,000 prompt tokens
    double floor_ = 0.0;                           ///< guaranteed fraction of the granted tokens, 0 to 1
    double worth_ = 1.0;                           ///< weight of the rank when models compete for engines
};

/// @brief A model that engines can be ordered to load.
struct model_policy
{
    model_id name_;
    model_version version_;
    std::vector<adapter_id> adapters_;
    token_count context_limit_{1'048'576};  ///< prompt and output together
    int min_ready_ = 1;                     ///< minimum number of engines with the model loaded, in each data centre
};

/// @brief Ranks and models of the fleet, declared under the reserved service id `fleet`.
struct fleet_policy
{
    std::map<rank, rank_policy> ranks_;
    std::map<model_id, model_policy> models_;
};

/// @brief A caller of one service.
struct caller_policy
{
    caller_id name_;
    organisation_id organisation_;
    caller_weight weight_{1.0};
    key_hash key_;  ///< SHA-256 of the caller's key
};

/// @brief Limits on the requests of one service.
struct service_limits
{
    byte_count max_body_{8'388'608};
    token_count max_prompt_{1'000'000};
    token_count max_output_{4096};
    int max_queued_per_caller_ = 64;
    milliseconds body_timeout_{30000};  ///< within which a caller must have sent the request body
};

/// @brief A call of a plain service, matched by method and path prefix.
struct plain_call_policy
{
    std::string method_;
    std::string path_prefix_;
    bool idempotent_ = true;
    milliseconds timeout_{5000};
};

/// @brief A backend service other than a model, to which requests are forwarded.
struct plain_service_policy
{
    std::string name_;
    std::vector<plain_call_policy> calls_;
};

/// @brief The parsed declaration of a service.
struct service_policy
{
    service_id name_;
    std::vector<model_id> models_;
    std::vector<rank> ranks_;  ///< ranks that callers may use; the first one is the default
    std::vector<caller_policy> callers_;
    service_limits limits_;
    std::vector<plain_service_policy> plain_services_;
};

/// @brief An active declaration.
struct declaration
{
    service_id service_;
    std::string text_;        ///< TOML as published; empty for a withdrawn service
    log_offset accepted_at_;  ///< offset of the change record that activated it
};

/// @brief The complete configuration of one version. Requests share it and never modify it.
struct configuration
{
    configuration_version version_;
    std::map<service_id, declaration> declarations_;
    fleet_policy fleet_;
    std::map<service_id, service_policy> services_;
};

/// @brief A caller identified by its key, and its service.
struct authenticated_caller
{
    const service_policy* service_ = nullptr;
    const caller_policy* caller_ = nullptr;
};

/// @brief Finds the caller whose key has the hash @a key.
/// @return `std::nullopt` when no caller has this key
/// @note Linear in the number of callers; front ends build an index for each version.
[[nodiscard]] std::optional<authenticated_caller> find_caller(const configuration& active_config, const key_hash& key);

/// @brief Returns the policy of @a which, or the defaults when the fleet does not declare the rank.
[[nodiscard]] rank_policy rank_policy_for(const configuration& active_config, rank which);

}  // namespace cornelstall
