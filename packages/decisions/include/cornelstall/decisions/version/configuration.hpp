#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Targets of one rank, declared for the whole fleet.
struct rank_policy
{
    milliseconds first_token_target_{2000};
    milliseconds time_limit_{30000};               ///< limit of a request without prompt
    milliseconds time_per_1k_prompt_tokens_{100};  ///< added for each 1,000 prompt tokens
    double floor_ = 0.0;                           ///< guaranteed share of granted tokens, 0 to 1
    double worth_ = 1.0;                           ///< weight when models compete for engines
};

/// @brief A model that engines may be ordered to load.
struct model_policy
{
    model_id name_;
    model_version version_;
    std::vector<adapter_id> adapters_;
    token_count context_limit_{1'048'576};  ///< prompt plus output
    int min_ready_ = 1;                     ///< engines kept loaded in each data centre
};

/// @brief The pseudo-service `fleet`: ranks and models.
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
    key_hash key_;
};

/// @brief Limits of one service.
struct service_limits
{
    byte_count max_body_{8'388'608};
    token_count max_prompt_{1'000'000};
    token_count max_output_{4096};
    int max_queued_per_caller_ = 64;
    milliseconds body_timeout_{30000};  ///< time for a caller to send its whole body
};

/// @brief One call of a plain service, matched by method and path prefix.
struct plain_call_policy
{
    std::string method_;
    std::string path_prefix_;
    bool idempotent_ = true;
    milliseconds timeout_{5000};
};

/// @brief A plain service that requests are routed to.
struct plain_service_policy
{
    std::string name_;
    std::vector<plain_call_policy> calls_;
};

/// @brief What one declaration file says about a service.
struct service_policy
{
    service_id name_;
    std::vector<model_id> models_;
    std::vector<rank> ranks_;  ///< the first is the default
    std::vector<caller_policy> callers_;
    service_limits limits_;
    std::vector<plain_service_policy> plain_services_;
};

/// @brief One declaration in force: the text as published and the offset that brought it into force.
struct declaration
{
    service_id service_;
    std::string text_;  ///< TOML as published; empty when the service is withdrawn
    log_offset accepted_at_;
};

/// @brief Everything in force at one version. Immutable once built; requests share it.
struct configuration
{
    configuration_version version_;
    std::map<service_id, declaration> declarations_;
    fleet_policy fleet_;
    std::map<service_id, service_policy> services_;
};

/// @brief A caller found by its key.
struct authenticated_caller
{
    const service_policy* service_ = nullptr;
    const caller_policy* caller_ = nullptr;
};

/// @brief Finds the caller whose stored hash is @a key.
/// @return nothing when no caller has this key
/// @note Linear in the number of callers; front ends keep an index per version.
[[nodiscard]] std::optional<authenticated_caller> find_caller(const configuration& active_config, const key_hash& key);

/// @brief The policy of @a which, or the defaults when the fleet declares none.
[[nodiscard]] rank_policy rank_policy_for(const configuration& active_config, rank which);

}  // namespace cornelstall
