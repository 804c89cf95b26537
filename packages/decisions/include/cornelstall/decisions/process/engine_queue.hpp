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

/// @brief A request in an engine's queue.
struct queue_entry
{
    request_id request_;
    attempt_number attempt_;
    vm_id holder_;  ///< VM that received the request from the caller (its entry VM) and streams the response
    caller_id caller_;
    caller_weight weight_{1.0};
    rank rank_ = rank::standard;
    model_id model_;
    token_count prompt_;
    token_count uncached_;  ///< prompt tokens that are not in the engine's prefix cache
    token_count max_output_;
    time_point deadline_;
    time_point arrived_;
    /// Refuse the request unless it can be granted immediately; set for segments of a split prompt.
    bool no_wait_ = false;
    /// KV memory granted to later entries while this one did not fit; maintained by the queue.
    token_count bypassed_memory_{0};
};

/// @brief Capacity allocated to one request until it is released.
struct grant
{
    grant_id id_;
    queue_entry entry_;
    time_point granted_at_;
    bool prefilling_ = true;  ///< until the engine has sent the first part of its response or has prefilled the segment
    int priority_ = 0;        ///< scheduling priority at the engine; lower values run first
    token_count charged_tokens_{0};    ///< tokens charged to the caller's share and the rank's floor
    double spent_floor_credit_ = 0.0;  ///< floor credit deducted from the rank for this grant
    /// Rates that the engine reported at the time of the grant. 0 in a restored grant, which is therefore not used to
    /// update the speed factor.
    token_rate prefill_rate_;
    token_rate decode_rate_;
};

/// @brief Fair-queuing state of one caller within one rank.
struct caller_share
{
    /// Finish tag of the last granted request on the rank's virtual clock: its start tag plus its tokens divided by the
    /// weight. Lowered by refunds, and raised to `virtual_time_` when a caller without waiting requests adds one.
    double virtual_finish_ = 0.0;
    std::deque<queue_entry> waiting_;
};

/// @brief Capacity held for a segment of a split prompt between two attempts of its entry VM. A split prompt needs much
/// free memory on several engines at the same time, which it would never find on a busy engine without a hold.
struct segment_hold
{
    request_id request_;
    token_count memory_;
    time_point until_;
    bool granted_ = false;  ///< the segment has been granted; the hold applies again if the grant is released unused
};

/// @brief Queue of one rank.
struct rank_queue
{
    double virtual_time_ = 0.0;  ///< largest start tag of a granted request
    double floor_ = 0.0;         ///< guaranteed fraction of the granted tokens
    double floor_credit_ = 0.0;  ///< tokens by which the rank is below its floor; negative when above
    std::map<caller_id, caller_share> callers_;
    std::optional<segment_hold> segment_hold_;
};

/// @brief Limits of an engine's queue.
struct queue_limits
{
    int max_queued_ = 1024;
    int max_queued_per_caller_ = 64;
    /// Freed memory is held for a waiting request once later requests have been granted this many times the memory that
    /// it needs.
    double max_bypass_ratio_ = 1.0;
};

/// @brief The queue and grants of one engine, maintained by the VM that owns the engine.
struct engine_queue
{
    engine_id engine_;
    queue_limits limits_;
    std::map<rank, rank_queue> ranks_;
    std::map<grant_id, grant> grants_;
    std::uint64_t next_grant_ = 1;
    /// Measured speed relative to the rates that the engine reports; moving average over finished requests.
    double speed_factor_ = 1.0;
    /// Generated tokens relative to the maximum output; moving average over finished requests.
    double output_ratio_ = 1.0;
    /// Slots left free for the urgent rank when this exceeds the fixed reserve; adapted to the waiting times of urgent
    /// requests.
    double adaptive_reserve_ = 0.0;
    time_point reserve_updated_at_;
};

/// @brief Why a request is refused, and after which time it may be retried.
struct queue_refusal
{
    refusal_reason reason_ = refusal_reason::queue_full;
    std::string message_;
    std::optional<milliseconds> retry_after_;
};

/// @brief A request that was removed from the queue without a grant.
struct removed_entry
{
    queue_entry entry_;
    queue_refusal refusal_;
};

/// @brief Estimates the time until @a entry would be finished: queueing delay, prefill and decode.
///
/// The queueing delay is the longest of the waits for prefill, for a slot and for KV memory. It includes the grants,
/// the waiting requests of more urgent ranks, and those of the same rank that fair queuing serves before the entry. For
/// a rank with a floor it is limited to the delay at its guaranteed share of the engine.
/// @return `milliseconds::max()` when the engine reports no rates or no slots
/// @note Linear in the waiting requests and the grants.
[[nodiscard]] milliseconds estimate_finish(const engine_queue& queue, const engine_state& engine,
                                           const queue_entry& entry);

/// @brief Appends @a entry to the queue. An entry that cannot finish before its deadline is refused.
/// @return the reason when the entry is refused
///
/// Reasons: `no_engine_ready`, `time_limit_passed`, `memory_unavailable` (larger than the engine's memory, or cannot be
/// granted now and is marked `no_wait_`), `time_limit_unreachable`, `caller_queue_full`, `queue_full`. A quarter of the
/// queue is reserved for each rank, and a caller may have at most as many requests waiting as its rank has free places,
/// so that neither a rank nor a caller can starve another.
/// A `no_wait_` entry that is accepted is granted by the next call of `grant_next`. When one is refused for lack of
/// capacity, that capacity is held for its retry (`segment_hold`), unless its caller has had more than its share.
/// @note Linear in the waiting requests and the grants.
[[nodiscard]] std::optional<queue_refusal> enqueue(engine_queue& queue, const engine_state& engine, queue_entry entry,
                                                   time_point now);

/// @brief Grants as many waiting requests as the engine has capacity for. Ranks below their floor come first, then the
/// ranks by urgency; within a rank, callers are served by fair queuing.
///
/// Later requests may bypass a request that does not fit in KV memory until they have been granted as much memory as it
/// needs; from then on freed memory is held for it. A request is not granted while more than half a second of prefill
/// is pending before it, since ranks and shares have no effect in the engine's own queue; call this again after
/// `mark_prefill_finished`. A grant of a rank below its floor gets the highest engine priority within the most urgent
/// rank that has work.
/// @note O(w + g + c log c) per grant, for w waiting requests, g grants and c callers.
[[nodiscard]] std::vector<grant> grant_next(engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Removes the requests whose deadline has passed (`expired_in_queue`) or can no longer be met
/// (`time_limit_unreachable`), and `no_wait_` requests that were not granted (`memory_unavailable`).
/// @note Linear in the waiting requests.
[[nodiscard]] std::vector<removed_entry> expire(engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Removes all waiting requests, for instance when the engine drains or its owner changes.
/// @note Linear in the waiting requests.
[[nodiscard]] std::vector<removed_entry> remove_all_queued(engine_queue& queue, refusal_reason reason,
                                                           const std::string& message);

/// @brief Removes one waiting request, for instance when its caller has disconnected.
/// @return true when the request was in the queue
/// @note Linear in the waiting requests.
bool withdraw(engine_queue& queue, const request_id& request, attempt_number attempt);

/// @brief Marks the prefill of a granted request as finished: the engine has sent the first part of the response or has
/// prefilled the segment.
/// @note Logarithmic in the grants.
void mark_prefill_finished(engine_queue& queue, const grant_id& id);

/// @brief Ends a grant and refunds the unused tokens to the caller's share.
/// @param used_output tokens generated
/// @return the ended grant, or nothing when it had ended before (a release may be retried)
/// @note Logarithmic in the grants, linear in the callers of the rank.
std::optional<grant> release(engine_queue& queue, const grant_id& id, token_count used_output, time_point now);

/// @brief Registers a running grant that its entry VM announced to the new owner of the engine after the former owner
/// failed. The caller's share is charged, because the former owner's charges are lost. No effect when the grant is
/// known.
/// @note Logarithmic in the grants.
void restore_grant(engine_queue& queue, const grant& announced);

/// @brief Number of waiting requests, in total or of one rank.
/// @note Linear in the callers.
[[nodiscard]] int queue_length(const engine_queue& queue) noexcept;
[[nodiscard]] int queue_length(const engine_queue& queue, rank which) noexcept;

}  // namespace cornelstall
