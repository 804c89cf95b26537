#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Part of a claim's time that is not used for sending, so that a short pause between check and send is
/// harmless.
inline constexpr milliseconds claim_margin{500};
/// @brief Largest body that an outcome record holds.
inline constexpr byte_count max_recorded_body_size{16'384};

/// @brief Longest idempotency key, in bytes; a longer one is refused.
inline constexpr std::size_t max_idempotency_key_length = 256;
/// @brief Longest path and query of a non-idempotent call, in bytes; a longer one is refused.
inline constexpr std::size_t max_claimed_path_length = 2048;

/// @brief What identifies a non-idempotent call for its repeats.
struct claim_key
{
    caller_id caller_;
    idempotency_key key_;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// @brief The request that a key stands for; a key may not be used for another one.
struct claimed_call
{
    std::string method_;
    std::string path_;
    body_hash body_;

    friend bool operator==(const claimed_call&, const claimed_call&) = default;
};

/// @brief Log record: a VM wants to send the call.
struct claim_record
{
    claim_id id_;
    vm_id claimant_;
    claim_key key_;
    claimed_call call_;
};

/// @brief The answer to a call as it is recorded and replayed.
struct recorded_answer
{
    outcome outcome_ = outcome::unknown;
    int status_ = 0;  ///< HTTP status; 0 when no answer was received
    std::string content_type_;
    std::string body_;
    bool truncated_ = false;  ///< the body was longer than `max_recorded_body_size`
};

/// @brief Log record: how the call that was sent under a claim ended. Holds the key, so that it outlives the claim.
struct outcome_record
{
    claim_id claim_;
    claim_key key_;
    claimed_call call_;
    recorded_answer answer_;
};

/// @brief Log record: nothing runs under the claim, now or later, even if the claim arrives after this record.
struct abandoned_record
{
    claim_id claim_;
};

/// @brief A record of stream `claims`.
using claims_record = std::variant<claim_record, outcome_record, abandoned_record>;

/// @brief A record and its place in the stream.
struct positioned_claims_record
{
    log_offset offset_;
    claims_record record_;
};

/// @brief One read of stream `claims`. Offsets without a record were malformed and have been skipped.
struct claims_batch
{
    log_offset oldest_;  ///< oldest offset that the log retains
    log_offset next_;    ///< where the following read starts
    bool at_end_ = false;
    std::vector<positioned_claims_record> records_;
};

/// @brief A claim that has not been abandoned.
struct live_claim
{
    log_offset offset_;
    claim_id id_;
    claimed_call call_;
};

/// @brief A recorded outcome.
struct recorded_outcome
{
    log_offset offset_;
    claimed_call call_;
    recorded_answer answer_;
};

/// @brief What the log says about one key.
struct claims_of_key
{
    std::vector<live_claim> claims_;  ///< in offset order
    std::optional<recorded_outcome> outcome_;
};

/// @brief What an offset contributed to the index, for forgetting.
struct claims_entry_position
{
    log_offset offset_;
    std::variant<claim_key, claim_id> subject_;  ///< an abandoned record is known by its claim only
};

/// @brief Index of the retained part of stream `claims`.
struct claim_index
{
    std::map<claim_key, claims_of_key> keys_;
    std::unordered_map<claim_id, claim_key> key_of_claim_;
    std::unordered_map<claim_id, log_offset> abandoned_;  ///< by claim, with the offset of the newest such record
    std::deque<claims_entry_position> positions_;
    log_offset next_{1};
    bool started_ = false;
    bool complete_ = false;   ///< read without a gap from the oldest retained record to the head
    std::uint64_t gaps_ = 0;  ///< times that the log dropped records before they were read
};

/// @brief Applies one read. A read that starts behind the position of the index because the log dropped records that
/// were never read makes the index incomplete until the head is reached again.
/// O(r log k) for r records and k keys, and O(log k) for each record that is forgotten.
void apply(claim_index& index, const claims_batch& batch);

/// @brief Where a VM's own claim stands.
enum class claim_result
{
    pending,   ///< not read yet
    won,       ///< first in offset order of the claims that are not abandoned
    lost,      ///< an earlier claim or its outcome stands
    abandoned  ///< voided by its own `abandoned` record
};

/// @brief Judges @a claim for @a key. Once `won`, a claim stays so until its own claimant abandons it, because later
/// records can only remove earlier claims. Records that the log dropped before they were read do not change this: a
/// claim may only be sent in the first half of its retention, so the dropped ones were sent long ago or never will be.
/// O(log k).
[[nodiscard]] claim_result evaluate_claim(const claim_index& index, const claim_key& key, const claim_id& claim);

/// @brief What a call with a key gets before this VM claims it.
enum class key_decision_kind
{
    may_claim,          ///< no claim stands
    replay,             ///< the recorded outcome
    wait,               ///< a claim without an outcome stands
    unknown,            ///< as `wait`, but the caller's limit has passed
    different_request,  ///< the key stands for another method, path or body
    index_incomplete    ///< this VM cannot tell
};

/// @brief A verdict, with the answer to replay.
struct key_decision
{
    key_decision_kind kind_ = key_decision_kind::index_incomplete;
    std::optional<recorded_answer> answer_;
};

/// @brief Judges a call with @a key at @a now; the caller waits until @a deadline.
/// O(log k), plus a copy of the answer.
[[nodiscard]] key_decision evaluate_key(const claim_index& index, const claim_key& key, const claimed_call& call,
                                        time_point now, time_point deadline);

/// @brief Time of a claim: the caller's remaining time, at most half of the log's retention. A key that the log has
/// forgotten may be claimed again, so nothing may be sent under a claim that may have been forgotten.
[[nodiscard]] milliseconds claim_duration(milliseconds remaining, milliseconds retention) noexcept;

/// @brief Whether the winner may still send.
/// @param started taken before the append, by the claimant's monotonic clock
[[nodiscard]] bool may_send(time_point started, milliseconds duration, time_point now) noexcept;

/// @brief Cuts a body to `max_recorded_body_size`.
[[nodiscard]] recorded_answer truncate_answer(recorded_answer answer);

}  // namespace cornelstall
