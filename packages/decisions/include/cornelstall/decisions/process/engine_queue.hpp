#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief A request waiting at the owner of an engine.
struct queue_entry
{
    request_id request_;
    attempt_number attempt_;
    vm_id holder_;  ///< entry VM that streams the answer
    caller_id caller_;
    caller_weight weight_{1.0};
    rank rank_ = rank::standard;
    model_id model_;
    token_count prompt_;
    token_count uncached_;
    token_count max_output_;
    time_point deadline_;
    time_point arrived_;
    bool no_wait_ = false;  ///< refuse instead of queueing (segments of a split prompt)
};

/// @brief Capacity given to one request until it is released.
struct grant
{
    grant_id id_;
    queue_entry entry_;
    time_point granted_at_;
    bool prefilling_ = true;  ///< until the first part is seen
    int priority_ = 0;        ///< passed to the engine, lower first
};

/// @brief Fair-queuing state of one caller within one rank.
struct caller_share
{
    double virtual_finish_ = 0.0;
    std::deque<queue_entry> waiting_;
};

/// @brief Queue of one rank.
struct rank_queue
{
    double virtual_time_ = 0.0;
    double floor_ = 0.0;         ///< declared share of granted tokens
    double floor_credit_ = 0.0;  ///< tokens owed to the floor
    std::map<caller_id, caller_share> callers_;
};

/// @brief Bounds of an engine's queue.
struct queue_limits
{
    int max_queued_ = 1024;
    int max_queued_per_caller_ = 64;
};

/// @brief The queue and grants of one engine, kept by its owner.
struct engine_queue
{
    engine_id engine_;
    queue_limits limits_;
    std::map<rank, rank_queue> ranks_;
    std::map<grant_id, grant> grants_;
    std::uint64_t next_grant_ = 1;
    /// Observed speed relative to the engine's report; learned from finished requests.
    double speed_factor_ = 1.0;
};

/// @brief Why the owner refuses a request, and when to try again.
struct queue_refusal
{
    refusal_reason reason_ = refusal_reason::queue_full;
    std::string message_;
    std::optional<milliseconds> retry_after_;
};

/// @brief A request that leaves the queue without a grant.
struct queue_removal
{
    queue_entry entry_;
    queue_refusal refusal_;
};

/// @brief Estimated time until @a entry would be finished: wait behind queued and granted work of its rank and above,
/// prefill, decode.
[[nodiscard]] milliseconds estimate_finish(const engine_queue& queue, const engine_state& engine,
                                           const queue_entry& entry);

/// @brief Puts @a entry in the queue, or says why not. An entry that cannot finish before its deadline is refused.
[[nodiscard]] std::optional<queue_refusal> enqueue(engine_queue& queue, const engine_state& engine, queue_entry entry,
                                                   time_point now);

/// @brief Grants as many waiting requests as the engine has room for, in order of rank, floors and fair shares.
[[nodiscard]] std::vector<grant> grant_next(engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Removes the requests whose deadline has passed or cannot be met any more.
[[nodiscard]] std::vector<queue_removal> expire(engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Removes everything that waits, for instance when the engine drains or the ownership moves.
[[nodiscard]] std::vector<queue_removal> remove_all(engine_queue& queue, refusal_reason reason,
                                                    const std::string& message);

/// @brief Removes one waiting request whose caller has gone.
/// @return true when it was waiting
bool withdraw(engine_queue& queue, const request_id& request, attempt_number attempt);

/// @brief Notes that the first part of a granted request was seen: its prefill is over.
void note_first_part(engine_queue& queue, const grant_id& id);

/// @brief Ends a grant and returns what was not used to the caller's share.
/// @param used_output tokens generated
/// @return the ended grant, or nothing when it had ended before (releases are repeated)
std::optional<grant> release(engine_queue& queue, const grant_id& id, token_count used_output, time_point now);

/// @brief Takes over a running grant announced by its holder after the former owner's death.
void adopt(engine_queue& queue, const grant& announced);

/// @brief Number of waiting requests, in total or of one rank.
[[nodiscard]] int queued(const engine_queue& queue) noexcept;
[[nodiscard]] int queued(const engine_queue& queue, rank which) noexcept;

}  // namespace cornelstall
