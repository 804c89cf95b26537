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

/// @brief Time that a new owner waits for re-announcements before it cancels anything.
inline constexpr milliseconds owner_settling_time{2'000};
/// @brief Time between two questions to a holder about the same request.
inline constexpr milliseconds wanted_question_period{2'000};
/// @brief Age from which a grant without a request at the engine is doubted; the entry VM needs time to send it.
inline constexpr milliseconds unused_grant_age{2'000};

/// @brief What an engine can hold for a request.
enum class holding_kind
{
    request,
    reservation,
    kv_export
};

/// @brief Names one thing that an engine holds: a request, reservation or export id by kind.
struct holding_key
{
    holding_kind kind_ = holding_kind::request;
    std::string id_;

    friend auto operator<=>(const holding_key&, const holding_key&) = default;
};

/// @brief One entry of an engine's own list.
struct holding
{
    holding_key key_;
    request_id request_;
    attempt_number attempt_;  ///< of a request; 0 for the other kinds
    vm_id holder_;
    token_count tokens_;
    milliseconds age_{0};
};

/// @brief What this VM knows about a holder.
enum class holder_condition
{
    live,
    dead,
    elsewhere  ///< not a member of this data centre; its grants expire without renewal
};

/// @brief State of the reconciliation of one engine, kept by its owner.
struct reconcile_state
{
    time_point owner_since_;
    std::map<holding_key, holding> releasing_;   ///< decided, until the engine acknowledges
    std::map<request_id, time_point> asked_;     ///< last question to the holder
    std::map<request_id, time_point> unwanted_;  ///< answers of holders, with the time of the answer
};

/// @brief What to do after one read of an engine's list.
struct reconcile_plan
{
    std::vector<holding> release_;                  ///< cancel or delete at the engine, repeated each round
    std::map<vm_id, std::vector<request_id>> ask_;  ///< send `Wanted` to these holders
    std::vector<grant_id> end_grants_;              ///< grants whose request ended and whose release was lost
};

/// @brief Compares what an engine holds with the grants of its owner and with what holders want.
///
/// Held for a dead VM: released. Held with a grant: kept. Held without a grant: released when its holder is elsewhere,
/// since its grant has expired; otherwise its holder is asked and it is released when the holder does not want it. A
/// grant whose request the engine does not list is ended when its holder is dead or does not want it. Nothing is
/// decided before the owner's settling time. A release is repeated until the engine acknowledges it or lists the entry
/// no more.
/// @param condition_of what this VM knows about a holder
/// O((h + g) log (h + g)) for h holdings and g grants.
[[nodiscard]] reconcile_plan reconcile(reconcile_state& state, std::span<const holding> held,
                                       const std::map<grant_id, grant>& grants,
                                       const std::function<holder_condition(const vm_id&)>& condition_of,
                                       time_point now);

/// @brief Notes a holder's answer: of @a asked it still wants @a wanted. An answer is only valid for what was asked,
/// so a request that starts meanwhile is not touched.
void apply_wanted_reply(reconcile_state& state, std::span<const request_id> asked, const std::set<request_id>& wanted,
                        time_point now);

/// @brief Notes that the engine acknowledged a release: cancelled, finished or unknown.
void mark_released(reconcile_state& state, const holding_key& key);

/// @brief Starts again as the new owner of an engine.
[[nodiscard]] reconcile_state make_reconcile_state(time_point now);

}  // namespace cornelstall
