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
    /// Memory granted to entries behind this one while it did not fit; kept by the queue.
    token_count passed_over_{0};
};

/// @brief Capacity given to one request until it is released.
struct grant
{
    grant_id id_;
    queue_entry entry_;
    time_point granted_at_;
    bool prefilling_ = true;    ///< until the first part is seen
    int priority_ = 0;          ///< passed to the engine, lower first
    token_count charged_{0};    ///< tokens charged to the caller's share and the floors
    double floor_spent_ = 0.0;  ///< floor credit that the grant took from its rank
    /// Rates that the engine reported when the grant was given; 0 in an adopted grant, from which no speed is learned.
    token_rate prefill_rate_;
    token_rate decode_rate_;
};

/// @brief Fair-queuing state of one caller within one rank.
struct caller_share
{
    double virtual_finish_ = 0.0;  ///< tokens granted so far divided by the weight, on the rank's virtual time
    std::deque<queue_entry> waiting_;
};

/// @brief Room kept for a segment of a split prompt between two tries of its holder. Without it a prompt that needs
/// much free memory on several engines at once would never find it on a busy engine.
struct segment_hold
{
    request_id request_;
    token_count memory_;
    time_point until_;
    bool granted_ = false;  ///< the segment has its room; the hold revives when it is given back unused
};

/// @brief Queue of one rank.
struct rank_queue
{
    double virtual_time_ = 0.0;  ///< largest start tag among the granted requests
    double floor_ = 0.0;         ///< declared share of granted tokens
    double floor_credit_ = 0.0;  ///< tokens owed to the floor
    std::map<caller_id, caller_share> callers_;
    std::optional<segment_hold> segment_hold_;
};

/// @brief Bounds of an engine's queue.
struct queue_limits
{
    int max_queued_ = 1024;
    int max_queued_per_caller_ = 64;
    /// Freed memory is kept for a request once others behind it have been given this many times the memory it needs.
    double memory_patience_ = 1.0;
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
    /// Observed output relative to the maximum output; learned from finished requests.
    double output_ratio_ = 1.0;
    /// Slots kept free for the urgent rank beyond the fixed reserve; learned from the waits of urgent requests.
    double learned_reserve_ = 0.0;
    time_point reserve_learned_at_;
};

/// @brief Why the owner refuses a request, and when to try again.
struct queue_refusal
{
    refusal_reason reason_ = refusal_reason::queue_full;
    std::string message_;
    std::optional<milliseconds> retry_after_;
};

/// @brief A request that leaves the queue without a grant.
struct removed_entry
{
    queue_entry entry_;
    queue_refusal refusal_;
};

/// @brief Estimated time until @a entry would be finished: wait behind queued and granted work of its rank and above,
/// prefill, decode.
///
/// The wait is the longest of those for prefill, for a slot and for KV memory. Work of the same rank counts as far as
/// fair queuing puts it before the entry. A rank with a floor waits no longer than its floor implies.
/// @return `milliseconds::max()` when the engine reports no rates or no slots
/// Linear in the waiting requests and the grants.
[[nodiscard]] milliseconds estimate_finish(const engine_queue& queue, const engine_state& engine,
                                           const queue_entry& entry);

/// @brief Puts @a entry in the queue, or says why not. An entry that cannot finish before its deadline is refused.
///
/// Reasons: `no_engine_ready`, `time_limit_passed`, `memory_unavailable` (never fits, or does not fit now and is marked
/// `no_wait_`), `time_limit_unreachable`, `caller_queue_full`, `queue_full`. A quarter of the queue is kept for each
/// other rank, and a caller may wait with no more requests than places are left to its rank, so that neither a rank nor
/// a caller can shut out another.
/// A `no_wait_` entry that is accepted is granted by the next call of `grant_next`. One that is refused for lack of
/// room keeps its place until its next try (`segment_hold`), unless its caller has had more than its share. Linear in
/// the waiting requests and the grants.
[[nodiscard]] std::optional<queue_refusal> enqueue(engine_queue& queue, const engine_state& engine, queue_entry entry,
                                                   time_point now);

/// @brief Grants as many waiting requests as the engine has room for, in order of rank, floors and fair shares.
///
/// A request that does not fit in KV memory is passed over until the requests behind it have been given as much memory
/// as it needs; from then on freed memory is kept for it. Little more prefill is granted than the engine does in half a
/// second, since ranks and shares end where the engine's own queue begins; call this again after
/// `mark_prefill_finished`. A grant of a rank below its floor goes first in the engine's prefill within the most urgent
/// rank that waits. Each grant costs O(w + g + c log c) for w waiting requests, g grants and c callers.
[[nodiscard]] std::vector<grant> grant_next(engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Removes the requests whose deadline has passed (`expired_in_queue`) or cannot be met any more
/// (`time_limit_unreachable`), and `no_wait_` requests that were not granted (`memory_unavailable`).
/// Linear in the waiting requests.
[[nodiscard]] std::vector<removed_entry> expire(engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Removes everything that waits, for instance when the engine drains or the ownership moves.
/// Linear in the waiting requests.
[[nodiscard]] std::vector<removed_entry> remove_all_queued(engine_queue& queue, refusal_reason reason,
                                                           const std::string& message);

/// @brief Removes one waiting request whose caller has gone.
/// @return true when it was waiting
/// Linear in the waiting requests.
bool withdraw(engine_queue& queue, const request_id& request, attempt_number attempt);

/// @brief Notes that the first part of a granted request was seen, or that a segment was prefilled: the prefill is
/// over. Logarithmic in the grants.
void mark_prefill_finished(engine_queue& queue, const grant_id& id);

/// @brief Ends a grant and returns what was not used to the caller's share.
/// @param used_output tokens generated
/// @return the ended grant, or nothing when it had ended before (releases are repeated)
/// Logarithmic in the grants, linear in the callers of the rank.
std::optional<grant> release(engine_queue& queue, const grant_id& id, token_count used_output, time_point now);

/// @brief Takes over a running grant announced by its holder after the former owner's death. The caller's share is
/// charged, because the former owner's charges are lost. Logarithmic in the grants.
void restore_grant(engine_queue& queue, const grant& announced);

/// @brief Number of waiting requests, in total or of one rank. Linear in the callers.
[[nodiscard]] int queue_length(const engine_queue& queue) noexcept;
[[nodiscard]] int queue_length(const engine_queue& queue, rank which) noexcept;

}  // namespace cornelstall
