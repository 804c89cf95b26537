#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelstall/decisions.hpp"
#include "cornelstall/runtime/process/claim_keeper.hpp"
#include "cornelstall/runtime/process/engine_owner.hpp"
#include "cornelstall/runtime/process/member_loop.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/settings.hpp"
#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/wire.hpp"

namespace cornelstall
{

/// @brief A configuration in force with the index of its callers. Requests share it until they end.
struct version_state
{
    std::shared_ptr<const configuration> configuration_;
    std::unordered_map<key_hash, authenticated_caller> callers_;
};

/// @brief Builds the caller index of @a active_config. Linear in the callers.
[[nodiscard]] std::shared_ptr<const version_state> make_version_state(
    std::shared_ptr<const configuration> active_config);

/// @brief Access to the owner of an engine, whether this VM or another one.
struct owner_access
{
    /// Waits in the owner's queue. The second value names the owner, for the release.
    std::function<task<reservation_result>(engine_id engine, queue_entry entry)> reserve_;
    /// Tells the owner that the prefill is over.
    std::function<void(engine_id engine, grant_id given)> first_part_;
    /// Ends a grant, repeated until the owner acknowledges.
    std::function<void(engine_id engine, grant_id given, token_count used_output)> release_;
    /// Leaves the queue because the caller has gone.
    std::function<void(engine_id engine, request_id request, attempt_number attempt)> withdraw_;
};

/// @brief A model request that this VM is serving.
struct running_request
{
    attempt_number attempt_{1};
    engine_id engine_;
    grant_id grant_;
    queue_entry entry_;  ///< announced to a new owner
};

/// @brief Why a request was refused or failed, kept for `cornelctl explain`.
struct explained_request
{
    request_id request_;
    std::string text_;
};

/// @brief Number of explanations kept; older ones are dropped.
inline constexpr std::size_t max_explanations = 1000;

/// @brief All state of one entry process. Owned by the Asio thread.
struct entry_state
{
    explicit entry_state(settings values, executor where);

    settings settings_;
    executor executor_;
    vm_id self_;
    metrics metrics_;
    member_loop_ptr loop_;    ///< null until peers are connected; then the loop's view holds the members
    membership_table alone_;  ///< the members while there is no loop: this VM only
    std::map<engine_id, engine_state> engines_;  ///< engines of the own data centre
    std::set<engine_id> watched_;                ///< engines with a polling task
    std::vector<listed_vm> plain_servers_;
    owned_engine_table owner_;
    owner_access access_;
    std::shared_ptr<const version_state> version_;
    retry_budget retries_;
    std::map<request_id, running_request> running_;
    std::map<request_id, std::shared_ptr<call_control>> waiting_calls_;  ///< `Reserve` calls that wait at other owners
    std::map<grant_id, vm_id> granted_by_;    ///< owner of each grant that has not been released
    std::map<model_id, token_count> asked_;   ///< prompt tokens asked for since the last demand sample
    std::set<engine_id> drained_for_orders_;  ///< engines that get no new work before an order changes them
    std::shared_ptr<claim_keeper> claims_;    ///< null when there is no log
    std::set<server_id> draining_servers_;    ///< plain servers that answered that they drain
    int open_requests_ = 0;                   ///< caller requests of any kind that have not ended
    std::uint64_t next_request_ = 1;
    std::deque<explained_request> explanations_;
    std::mt19937_64 random_{std::random_device{}()};
    bool stopping_ = false;  ///< not ready, still accepting
    bool closed_ = false;    ///< refuses new requests
};

/// @brief A request id that is unique over all VMs.
[[nodiscard]] request_id next_request_id(entry_state& state);

/// @brief Remembers why a request was refused or failed.
void explain(entry_state& state, const request_id& request, std::string text);

/// @brief Access to owners when this VM owns every engine.
[[nodiscard]] owner_access make_local_access(entry_state& state);

/// @brief The members that this VM knows.
[[nodiscard]] const membership_table& members_of(const entry_state& state);

/// @brief Live members of the own data centre that own engines: those that are not leaving.
[[nodiscard]] std::vector<member> owner_candidates(const entry_state& state);

/// @brief All engines of the own data centre: owned ones as polled, others as their owners summarize them.
[[nodiscard]] std::vector<const engine_state*> known_engines(const entry_state& state);

/// @brief What the owner of @a engine tells about it; null when nothing is known yet.
[[nodiscard]] const engine_state* summary_of(const entry_state& state, const engine_id& engine);

/// @brief The state of one engine that placement uses, for noting what was sent to it; null when it is not known.
[[nodiscard]] engine_state* find_engine(entry_state& state, const engine_id& engine);

/// @brief True when this VM owns @a engine by the members it knows.
[[nodiscard]] bool owns(const entry_state& state, const engine_id& engine);

}  // namespace cornelstall
