#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "cornelstall/decisions/process/engine_queue.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Time for which a new owner waits for re-announced grants before it cancels anything.
inline constexpr milliseconds owner_grace_period{2'000};
/// @brief Minimum time between two queries to a holder about the same request.
inline constexpr milliseconds wanted_query_interval{2'000};
/// @brief Age from which a grant is checked if the engine does not list its request. The entry VM needs this time to
/// send the request.
inline constexpr milliseconds min_unused_grant_age{2'000};

/// @brief Kinds of resources that an engine holds for a request.
enum class holding_kind
{
    request,
    reservation,
    kv_export
};

/// @brief Identifies a resource of an engine by its kind and its request, reservation or export id.
struct holding_key
{
    holding_kind kind_ = holding_kind::request;
    std::string id_;

    friend auto operator<=>(const holding_key&, const holding_key&) = default;
};

/// @brief A resource that an engine holds for a request, as listed by the engine.
struct holding
{
    holding_key key_;
    request_id request_;
    attempt_number attempt_;  ///< only set for requests; 0 for the other kinds
    vm_id holder_;
    token_count tokens_;
    milliseconds age_{0};
};

/// @brief State of a holder, as far as this VM knows.
enum class holder_condition
{
    live,
    dead,
    remote  ///< in another data centre; its grants expire unless they are renewed
};

/// @brief State of the reconciliation of one engine, kept by the owner of the engine.
struct reconcile_state
{
    time_point owner_since_;
    std::map<holding_key, holding> releasing_;       ///< to be released, until the engine acknowledges it
    std::map<request_id, time_point> last_queried_;  ///< time of the last query to the holder
    std::map<request_id, time_point> unwanted_;      ///< not wanted by their holder, with the time of its reply
};

/// @brief Actions that follow from one list of an engine.
struct reconcile_plan
{
    std::vector<holding> release_;                  ///< to be cancelled or deleted at the engine, repeated each round
    std::map<vm_id, std::vector<request_id>> ask_;  ///< requests to ask each holder about, with a `Wanted` call
    std::vector<grant_id> end_grants_;  ///< grants to be ended: the request has ended and its release was lost
};

/// @brief Compares what an engine holds with the grants of its owner and with what the holders still want.
///
/// A resource of a dead VM is released. A resource with a grant is kept. A resource without a grant is released if its
/// holder is remote, because the grant has expired; otherwise the holder is asked, and the resource is released if the
/// holder does not want it. A grant whose request the engine does not list is ended if its holder is dead or does not
/// want it. Nothing is decided before the owner's grace period has passed. A release is repeated until the engine
/// acknowledges it or no longer lists the resource.
/// @param condition_of returns the state of a holder
/// @note O((h + g) log (h + g)) for h resources and g grants.
[[nodiscard]] reconcile_plan reconcile(reconcile_state& state, std::span<const holding> held,
                                       const std::map<grant_id, grant>& grants,
                                       const std::function<holder_condition(const vm_id&)>& condition_of,
                                       time_point now);

/// @brief Applies the reply of a holder: of the requests in @a asked it still wants those in @a wanted. The reply is
/// only valid for @a asked, so that a request that starts in the meantime is not affected.
void apply_wanted_reply(reconcile_state& state, std::span<const request_id> asked, const std::set<request_id>& wanted,
                        time_point now);

/// @brief Records that the engine acknowledged a release: the resource was cancelled, finished or unknown.
void mark_released(reconcile_state& state, const holding_key& key);

/// @brief Initial state for a new owner of an engine.
[[nodiscard]] reconcile_state make_reconcile_state(time_point now);

}  // namespace cornelstall
