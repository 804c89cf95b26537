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

/// @brief What may be repeated of a route's requests.
enum class request_kind
{
    idempotent,      ///< may run more than once
    non_idempotent,  ///< runs at most once for each attempt of the caller
    streaming        ///< answers with events; runs once unless the route is resumable
};

/// @brief One of the services that a route's requests are divided among.
struct weighted_service
{
    service_id service_;
    double weight_ = 1.0;
};

/// @brief A rule that sends requests of one host and path prefix to services.
struct route
{
    std::string name_;
    std::string host_;
    std::string path_prefix_;
    request_kind kind_ = request_kind::idempotent;
    milliseconds timeout_{10000};
    milliseconds latency_target_{1000};
    int priority_ = 0;  ///< 0 is the most urgent
    std::vector<weighted_service> services_;
    int max_attempts_ = 1;              ///< backend servers on which one request may run
    bool public_ = false;               ///< needs no key
    bool resumable_ = false;            ///< a stream may go on at another server
    milliseconds max_event_gap_{1000};  ///< longest pause between events of an answer that is still on time
};

/// @brief How fast the engines of one service work; the values of its configuration.
struct engine_profile
{
    int slots_ = 1;                          ///< requests that run at once
    token_count kv_capacity_{0};             ///< tokens that one engine's memory holds
    double decode_step_ms_ = 1.0;            ///< one step of a pass that generates
    double decode_step_ms_per_request_ = 0;  ///< added for each generating request
    double decode_step_ms_per_1k_context_ = 0;
    double prefill_tokens_per_ms_ = 1.0;
    double prefill_ms_per_million_token_pairs_ = 0;
    int prefill_chunk_tokens_ = 2048;    ///< prompt tokens that one pass reads at most
    int decode_steps_per_pass_ = 1;      ///< steps of a pass in which a request generates
    token_count mean_output_tokens_{0};  ///< mean length of an answer
};

/// @brief A service and the engine values of its servers, if they are engines.
struct service_description
{
    service_id id_;
    std::string health_path_;
    int max_connections_ = 0;  ///< connections that one server accepts from all callers together
    std::optional<engine_profile> engine_;
};

/// @brief Bounds on what a caller may send and how long it may stay idle.
struct caller_limits
{
    byte_count header_bytes_{16384};
    byte_count body_bytes_{4194304};
    milliseconds header_timeout_{3000};
    milliseconds idle_timeout_{15000};
};

/// @brief An organisation whose keys open the routes.
struct organisation_entry
{
    organisation_id id_;
    std::optional<int> priority_;  ///< goes before the route's priority
};

/// @brief One version of the configuration of routes, indexed for look-ups.
struct routing_table
{
    configuration_version version_;
    std::unordered_map<std::string, std::unordered_map<std::string, route>> routes_;  ///< by host, then by prefix
    std::unordered_map<service_id, service_description> services_;
    std::unordered_map<std::string, organisation_entry> keys_;
    bool keys_required_ = false;  ///< false when the configuration names no organisations
    caller_limits limits_;
};

/// @brief Adds @a added; a route of the same host and prefix is replaced.
void add_route(routing_table& table, route added);

/// @brief The route of @a host with the longest prefix of @a path, or null. Linear in the number of slashes.
/// @param path without query
[[nodiscard]] const route* find_route(const routing_table& table, std::string_view host, std::string_view path);

/// @brief The service for a request whose uniform draw from [0, 1) is @a draw; null when the route has none.
[[nodiscard]] const service_id* pick_service(const route& matched, double draw);

/// @brief What became of the check of a caller's key.
enum class key_status
{
    not_needed,
    accepted,
    unknown
};

/// @brief The verdict on a key and the organisation that holds it.
struct key_check
{
    key_status status_ = key_status::unknown;
    const organisation_entry* organisation_ = nullptr;
};

/// @brief Checks @a key against the keys of @a table for a request on @a matched.
[[nodiscard]] key_check check_key(const routing_table& table, const route& matched, const std::string& key);

}  // namespace cornelstall
