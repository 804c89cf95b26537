#pragma once

#include <array>
#include <cstdint>

#include "cornelstall/decisions/process/engine_queue.hpp"

/// @file
/// Internal functions and types shared by the source files of the engine queue.

namespace cornelstall::detail
{

/// @brief Fractional milliseconds; may be infinite.
using fractional_ms = double;

/// @brief Total and free capacity of an engine.
struct engine_capacity
{
    int slots_ = 0;
    int free_slots_ = 0;
    int urgent_slots_ = 0;          ///< slots reserved for the urgent rank
    int slots_left_free_ = 0;       ///< slots that lower ranks leave free unless below their floor
    int max_adaptive_reserve_ = 0;  ///< limit of `engine_queue::adaptive_reserve_`
    int lower_rank_grants_ = 0;     ///< grants of ranks below urgent
    token_count memory_;
    token_count free_memory_;
    token_count urgent_memory_;  ///< memory reserved for the urgent rank
    int long_prefills_ = 0;      ///< long prompts in prefill
    /// Tokens of short prompts and overdue long prompts in prefill, by the rank that their engine priority encodes.
    std::array<token_count, all_ranks.size()> pending_prefill_;
};

/// @brief Freed memory that is held for a request that has reached the bypass limit
/// (`queue_limits::max_bypass_ratio_`).
struct memory_hold
{
    const queue_entry* entry_ = nullptr;
    token_count tokens_;
    bool below_floor_ = false;  ///< the rank of the entry is below its floor
};

/// @brief Whether an entry can be granted, or why not.
enum class admission
{
    allowed,
    no_slot,
    no_memory,
    long_prefill,  ///< the entry is long, and another is in prefill or capacity is held for a segment
    prefill_busy,  ///< the prefill pending before the entry exceeds the backlog limit
    too_late       ///< would finish after its deadline
};

/// @brief KV memory that a grant takes: prompt plus maximum output.
[[nodiscard]] token_count memory_of(const queue_entry& entry) noexcept;

/// @brief Tokens charged for a grant: uncached prompt plus maximum output, at least one.
[[nodiscard]] token_count cost_of(const queue_entry& entry) noexcept;

/// @brief The caller's weight, with a positive lower bound.
[[nodiscard]] double weight_of(const queue_entry& entry) noexcept;

/// @brief True when the uncached prompt of @a entry is longer than `long_prompt_threshold`.
[[nodiscard]] bool is_long(const queue_entry& entry) noexcept;

/// @brief Time in a slot: prefill and expected decode, without queueing delay; infinite when the engine reports no
/// rates.
[[nodiscard]] fractional_ms service_time(const engine_queue& queue, const engine_state& engine,
                                         const queue_entry& entry) noexcept;

/// @brief True when @a entry, granted at @a now, is expected to finish before its deadline.
/// @param prefill_ahead time until its prefill starts
[[nodiscard]] bool can_finish(const engine_queue& queue, const engine_state& engine, const queue_entry& entry,
                              time_point now, fractional_ms prefill_ahead = 0.0) noexcept;

/// @brief The rank that the engine priority of a grant of rank @a which encodes: @a which itself, or the most urgent
/// rank with work when @a which is below its floor. Linear in the callers.
[[nodiscard]] rank effective_rank(const engine_queue& queue, rank which);

/// @brief Engine priority; lower values run first. Ordered by effective rank, then prompt length; a grant of a rank
/// below its floor comes first within its effective rank.
[[nodiscard]] int priority_of(const engine_queue& queue, const queue_entry& entry);

/// @brief The rank that an engine priority encodes.
[[nodiscard]] rank rank_of_priority(int priority) noexcept;

/// @brief Rounds @a value up; values that could overflow a time point become `milliseconds::max()`.
[[nodiscard]] milliseconds to_milliseconds(fractional_ms value) noexcept;

/// @brief Slots of @a engine that are reserved for the urgent rank.
[[nodiscard]] int urgent_slots_of(const engine_state& engine) noexcept;

/// @brief Computes the total and free capacity of @a engine. Linear in the grants.
[[nodiscard]] engine_capacity capacity_of(const engine_queue& queue, const engine_state& engine, time_point now);

/// @brief True when @a which has work and has received less than its floor.
[[nodiscard]] bool is_below_floor(const rank_queue& which) noexcept;

/// @brief True when a request of this rank is waiting or capacity is held for a segment. Linear in the callers.
[[nodiscard]] bool has_work(const rank_queue& which) noexcept;

/// @brief Finds the request for which freed memory is held; the entry is null when there is none. Linear in the waiting
/// requests.
[[nodiscard]] memory_hold find_memory_hold(const engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Checks whether @a entry can be granted at @a now.
[[nodiscard]] admission check_admission(const engine_queue& queue, const engine_state& engine,
                                        const engine_capacity& capacity, const memory_hold& hold,
                                        const queue_entry& entry, time_point now);

/// @brief True when capacity is held for a segment that has not been granted.
[[nodiscard]] bool has_segment_hold(const rank_queue& which) noexcept;

/// @brief Memory held for a segment that has not been granted; 0 when there is none.
[[nodiscard]] token_count segment_hold_memory(const rank_queue& which) noexcept;

/// @brief Holds capacity for the segment @a entry, or renews the hold of its request. A new hold is created only if the
/// rank has none and fair queuing would serve the caller next.
/// @param granted the segment is granted now
void hold_for_segment(engine_queue& queue, const queue_entry& entry, bool granted, time_point now);

/// @brief Removes segment holds that have expired.
void remove_expired_holds(engine_queue& queue, time_point now);

/// @brief Removes the segment hold of the request of @a segment_grant when the grant was used. Otherwise the hold
/// applies again.
void update_segment_hold(engine_queue& queue, const grant& segment_grant, bool used);

/// @brief Start tag of the next request of @a share (start-time fair queuing).
[[nodiscard]] double start_tag(const rank_queue& queue, const caller_share& share) noexcept;

/// @brief Charges @a granted to its caller's share and updates the floor credits.
/// @param start the start tag of the granted request
void charge(engine_queue& queue, grant& granted, double start);

/// @brief Adapts the number of slots left free for the urgent rank to the waiting time of a granted urgent request.
void update_adaptive_reserve(engine_queue& queue, const engine_capacity& capacity, const grant& granted);

/// @brief Refunds @a unused tokens of an ended grant to its caller's share and corrects the floor credits.
void refund(engine_queue& queue, const grant& ended, token_count unused);

/// @brief Estimated queueing delay of a request and its time in a slot.
struct finish_estimate
{
    fractional_ms wait_ = 0.0;
    fractional_ms service_ = 0.0;
};

/// @brief Estimates the queueing delay and the time in a slot of @a entry; see `estimate_finish`.
[[nodiscard]] finish_estimate estimate_wait_and_service(const engine_queue& queue, const engine_state& engine,
                                                        const queue_entry& entry);

}  // namespace cornelstall::detail
