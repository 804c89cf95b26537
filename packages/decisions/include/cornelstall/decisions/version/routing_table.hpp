#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Whether the requests of a route may be repeated.
enum class request_kind
{
    idempotent,      ///< may be executed more than once
    non_idempotent,  ///< executed at most once for each attempt of the caller
    streaming        ///< answered with a stream of events; executed once unless the route is resumable
};

/// @brief One of the services among which the requests of a route are distributed, in proportion to the weights.
struct weighted_service
{
    service_id service_;
    double weight_ = 1.0;
};

/// @brief Routes the requests of a host and path prefix to services.
struct route
{
    std::string name_;
    std::string host_;
    std::string path_prefix_;
    request_kind kind_ = request_kind::idempotent;
    milliseconds timeout_{10000};
    milliseconds latency_target_{1000};
    int priority_ = 0;  ///< 0 is the highest
    std::vector<weighted_service> services_;
    int max_attempts_ = 1;              ///< maximum number of backend servers on which one request may run
    bool public_ = false;               ///< callers need no key
    bool resumable_ = false;            ///< a broken stream may be continued on another server
    milliseconds max_event_gap_{1000};  ///< longest interval between events of an answer that meets its target
};

/// @brief Configured capacity and speed of the engines of one service.
struct engine_profile
{
    int slots_ = 1;                             ///< requests that run concurrently
    token_count kv_capacity_{0};                ///< tokens that the KV cache of one engine holds
    double decode_step_ms_ = 1.0;               ///< base duration of a decode step
    double decode_step_ms_per_request_ = 0;     ///< added for each request that is generating
    double decode_step_ms_per_1k_context_ = 0;  ///< added for each 1,000 tokens of context
    double prefill_tokens_per_ms_ = 1.0;
    double prefill_ms_per_million_token_pairs_ = 0;  ///< attention cost by pairs of tokens
    int prefill_chunk_tokens_ = 2048;                ///< maximum number of prompt tokens prefilled in one step
    int decode_steps_per_pass_ = 1;                  ///< decode steps in one pass
    token_count mean_output_tokens_{0};              ///< mean length of an answer; 0 if unknown
};

/// @brief A service. It has an engine profile if its servers are engines.
struct service_description
{
    service_id id_;
    std::string health_path_;
    int max_connections_ = 0;  ///< connections that one server accepts in total
    std::optional<engine_profile> engine_;
};

/// @brief Limits on the size and the time of callers' messages.
struct caller_limits
{
    byte_count header_bytes_{16384};
    byte_count body_bytes_{4194304};
    milliseconds header_timeout_{3000};
    milliseconds idle_timeout_{15000};
};

/// @brief An organisation whose keys are accepted on routes that are not public.
struct organisation_entry
{
    organisation_id id_;
    std::optional<int> priority_;  ///< overrides the priority of the route
};

/// @brief One version of the routing configuration, indexed for look-ups.
struct routing_table
{
    configuration_version version_;
    std::unordered_map<std::string, std::unordered_map<std::string, route>> routes_;  ///< by host, then by path prefix
    std::unordered_map<service_id, service_description> services_;
    std::unordered_map<std::string, organisation_entry> keys_;  ///< by key
    bool keys_required_ = false;  ///< false when the configuration contains no organisations
    caller_limits limits_;
};

/// @brief Adds a route, or replaces the one with the same host and path prefix.
void add_route(routing_table& table, route added);

/// @brief Finds the route of @a host whose path prefix is the longest match for @a path.
/// @param path without query
/// @return null when no route matches
/// @note Makes one look-up for each slash in @a path.
[[nodiscard]] const route* find_route(const routing_table& table, std::string_view host, std::string_view path);

/// @brief Picks one of the route's services at random according to their weights.
/// @param draw random number, uniform in [0, 1)
/// @return null when the route has no services
[[nodiscard]] const service_id* pick_service(const route& matched, double draw);

/// @brief Result of checking a caller's key.
enum class key_status
{
    not_needed,
    accepted,
    unknown
};

/// @brief Status of a key and the organisation that it belongs to.
struct key_check
{
    key_status status_ = key_status::unknown;
    const organisation_entry* organisation_ = nullptr;  ///< null unless the key is accepted
};

/// @brief Checks @a key against the keys of @a table for a request on @a matched.
[[nodiscard]] key_check check_key(const routing_table& table, const route& matched, const std::string& key);

}  // namespace cornelstall
