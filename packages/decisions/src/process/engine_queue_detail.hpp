#pragma once

#include <array>
#include <cstdint>

#include "cornelstall/decisions/process/engine_queue.hpp"

/// @file
/// Parts of the engine queue that several of its source files use.

namespace cornelstall::detail
{

/// @brief Milliseconds with fractions; may be infinite.
using fractional_ms = double;

/// @brief What the grants leave of an engine.
struct engine_room
{
    int slots_ = 0;
    int free_slots_ = 0;
    int urgent_slots_ = 0;     ///< slots that ranks below urgent never hold
    int kept_free_ = 0;        ///< slots that ranks below urgent leave free unless they are below their floor
    int largest_reserve_ = 0;  ///< bound of the learned reserve
    int other_grants_ = 0;     ///< grants of ranks below urgent
    token_count memory_;
    token_count free_memory_;
    token_count urgent_memory_;  ///< memory kept for the urgent rank
    int long_prefills_ = 0;
    /// Short prompts in prefill, by the rank that their engine priority stands for.
    std::array<token_count, all_ranks.size()> prefill_;
};

/// @brief Freed memory that is kept for a request which was passed over too long.
struct memory_hold
{
    const queue_entry* entry_ = nullptr;
    token_count tokens_;
    bool due_ = false;  ///< the rank of the entry has had less than its floor
};

/// @brief Whether an entry can be granted.
enum class fit
{
    now,
    no_slot,
    no_memory,
    long_prefill,  ///< another long prompt is in prefill
    prefill_busy,  ///< the engine has enough prefill of this rank and above
    too_late       ///< it would end after its deadline
};

/// @brief KV memory that a grant reserves: prompt plus maximum output.
[[nodiscard]] token_count memory_of(const queue_entry& entry) noexcept;

/// @brief Tokens that a grant costs: uncached prompt plus maximum output, at least one.
[[nodiscard]] token_count cost_of(const queue_entry& entry) noexcept;

/// @brief The caller's weight, bounded away from zero.
[[nodiscard]] double weight_of(const queue_entry& entry) noexcept;

/// @brief True when the prefill of @a entry counts as long.
[[nodiscard]] bool is_long(const queue_entry& entry) noexcept;

/// @brief Time in a slot: prefill and expected decode, without any wait; infinite when the engine reports no rates.
[[nodiscard]] fractional_ms service_time(const engine_queue& queue, const engine_state& engine,
                                         const queue_entry& entry) noexcept;

/// @brief True when @a entry, granted at @a now, is expected to end before its deadline.
/// @param prefill_ahead time until its prefill starts
[[nodiscard]] bool can_finish(const engine_queue& queue, const engine_state& engine, const queue_entry& entry,
                              time_point now, fractional_ms prefill_ahead = 0.0) noexcept;

/// @brief The rank whose place in the engine's prefill a grant of @a which takes: the own rank, or the most urgent one
/// with work when the own rank has had less than its floor. Linear in the callers.
[[nodiscard]] rank served_as(const engine_queue& queue, rank which);

/// @brief Engine priority, lower first: rank, then prompt length; grants for a floor are first in their new rank.
[[nodiscard]] int priority_of(const engine_queue& queue, const queue_entry& entry);

/// @brief The rank that an engine priority stands for.
[[nodiscard]] rank rank_of_priority(int priority) noexcept;

/// @brief @a value rounded up, saturating.
[[nodiscard]] milliseconds to_milliseconds(fractional_ms value) noexcept;

/// @brief What is left of @a engine. Linear in the grants.
[[nodiscard]] engine_room room_of(const engine_queue& queue, const engine_state& engine);

/// @brief True when @a which has work and has had less than its floor.
[[nodiscard]] bool is_due(const rank_queue& which) noexcept;

/// @brief True when a request of this rank waits. Linear in the callers.
[[nodiscard]] bool has_work(const rank_queue& which) noexcept;

/// @brief The request for which freed memory is kept; its entry is null when there is none. Linear in the waiting
/// requests.
[[nodiscard]] memory_hold hold_of(const engine_queue& queue, const engine_state& engine, time_point now);

/// @brief Whether @a entry can be granted at @a now.
[[nodiscard]] fit fit_of(const engine_queue& queue, const engine_state& engine, const engine_room& room,
                         const memory_hold& hold, const queue_entry& entry, time_point now);

/// @brief Start tag of the next request of @a share in start-time fair queuing.
[[nodiscard]] double start_tag(const rank_queue& queue, const caller_share& share) noexcept;

/// @brief Charges @a given to its caller's share and to the floors.
/// @param start the start tag of the granted request
void charge(engine_queue& queue, grant& given, double start);

/// @brief Learns from a grant of the urgent rank how many slots have to be left free for it.
void learn_reserve(engine_queue& queue, const engine_room& room, const grant& given);

/// @brief Returns @a unused tokens of an ended grant to its caller's share and to the floors.
void refund(engine_queue& queue, const grant& ended, token_count unused);

/// @brief Wait until a request of one rank is granted, and its time in a slot.
struct finish_estimate
{
    fractional_ms wait_ = 0.0;
    fractional_ms service_ = 0.0;
};

/// @brief The parts of `estimate_finish`.
[[nodiscard]] finish_estimate estimate_parts(const engine_queue& queue, const engine_state& engine,
                                             const queue_entry& entry);

}  // namespace cornelstall::detail
