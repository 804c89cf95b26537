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

/// @brief Time before the end of a claim from which its call is no longer sent. Covers a short pause between the check
/// and the send.
inline constexpr milliseconds claim_margin{500};
/// @brief Maximum size of the body in an outcome record; a longer body is truncated.
inline constexpr byte_count max_recorded_body_size{16'384};

/// @brief Maximum length of an idempotency key, in bytes. A call with a longer key is refused.
inline constexpr std::size_t max_idempotency_key_length = 256;
/// @brief Maximum length of the path and query of a non-idempotent call, in bytes. A longer one is refused.
inline constexpr std::size_t max_claimed_path_length = 2048;

/// @brief Identifies a non-idempotent call and its retries.
struct claim_key
{
    caller_id caller_;
    idempotency_key key_;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// @brief The request that a key was first used for. The key must not be reused for a different request.
struct claimed_call
{
    std::string method_;
    std::string path_;
    body_hash body_;

    friend bool operator==(const claimed_call&, const claimed_call&) = default;
};

/// @brief Log record: a VM claims the right to send the call.
struct claim_record
{
    claim_id id_;
    vm_id claimant_;
    claim_key key_;
    claimed_call call_;
};

/// @brief The response to a call, as recorded in the log and replayed to retries.
struct recorded_answer
{
    outcome outcome_ = outcome::unknown;
    int status_ = 0;  ///< HTTP status; 0 if no response was received
    std::string content_type_;
    std::string body_;
    bool truncated_ = false;  ///< the body exceeded `max_recorded_body_size`
};

/// @brief Log record: the outcome of the call that was sent under a claim. Repeats the key and the call, because the
/// log may drop the claim record first.
struct outcome_record
{
    claim_id claim_;
    claim_key key_;
    claimed_call call_;
    recorded_answer answer_;
};

/// @brief Log record: no call runs under the claim, and none will, even if the claim record arrives after this one.
struct abandoned_record
{
    claim_id claim_;
};

/// @brief A record of the `claims` stream.
using claims_record = std::variant<claim_record, outcome_record, abandoned_record>;

/// @brief A record and its offset in the stream.
struct positioned_claims_record
{
    log_offset offset_;
    claims_record record_;
};

/// @brief Result of one read of the `claims` stream. Malformed records are skipped, so offsets may be missing.
struct claims_batch
{
    log_offset oldest_;    ///< oldest offset that the log retains
    log_offset next_;      ///< offset at which the next read starts
    bool at_end_ = false;  ///< the read reached the end of the stream
    std::vector<positioned_claims_record> records_;
};

/// @brief A claim that has not been abandoned.
struct live_claim
{
    log_offset offset_;
    claim_id id_;
    claimed_call call_;
};

/// @brief An outcome that was read from the log.
struct recorded_outcome
{
    log_offset offset_;
    claimed_call call_;
    recorded_answer answer_;
};

/// @brief Claims and outcome of one key.
struct claims_of_key
{
    std::vector<live_claim> claims_;  ///< in offset order
    std::optional<recorded_outcome> outcome_;
};

/// @brief An indexed record, kept to remove its entries from the index when the log drops it.
struct indexed_record
{
    log_offset offset_;
    std::variant<claim_key, claim_id> subject_;  ///< an abandoned record only holds the id of its claim
};

/// @brief Index of the retained records of the `claims` stream.
struct claim_index
{
    std::map<claim_key, claims_of_key> keys_;
    std::unordered_map<claim_id, claim_key> key_of_claim_;
    std::unordered_map<claim_id, log_offset> abandoned_;  ///< offset of the newest abandoned record of each claim
    std::deque<indexed_record> records_by_offset_;
    log_offset next_{1};
    bool has_read_ = false;   ///< at least one batch was applied
    bool complete_ = false;   ///< read without a gap from the oldest retained record to the end
    std::uint64_t gaps_ = 0;  ///< number of times that the log dropped records before they were read
};

/// @brief Applies the result of one read. If the log has dropped records that were never read, the index is incomplete
/// until the end of the stream is reached again.
/// @note O(r log k) for r records and k keys, and O(log k) for each record that is removed.
void apply(claim_index& index, const claims_batch& batch);

/// @brief State of a claim of this VM.
enum class claim_result
{
    pending,   ///< the claim has not been read back from the log yet
    won,       ///< the first claim in offset order that is not abandoned
    lost,      ///< an earlier claim or an outcome exists
    abandoned  ///< cancelled by an `abandoned` record
};

/// @brief Returns the state of @a claim for @a key. A claim that is `won` stays so until its own claimant abandons it,
/// because later records can only remove earlier claims. Records that the log dropped before they were read do not
/// change this: a claim may only be sent in the first half of the retention time, so a dropped claim was sent long ago
/// or never will be.
/// @note Logarithmic in the number of keys.
[[nodiscard]] claim_result evaluate_claim(const claim_index& index, const claim_key& key, const claim_id& claim);

/// @brief How to handle a call with a key that this VM has not claimed.
enum class key_decision_kind
{
    may_claim,          ///< there is no claim
    replay,             ///< replay the recorded outcome
    wait,               ///< there is a claim without an outcome yet
    unknown,            ///< as `wait`, but the caller's deadline has passed
    different_request,  ///< the key was used with another method, path or body
    index_incomplete    ///< this VM has not read the whole stream, so it cannot tell
};

/// @brief A decision, with the response if one is to be replayed.
struct key_decision
{
    key_decision_kind kind_ = key_decision_kind::index_incomplete;
    std::optional<recorded_answer> answer_;
};

/// @brief Decides how to handle a call with @a key at @a now, for a caller that waits until @a deadline.
/// @note Logarithmic in the number of keys, plus a copy of the response.
[[nodiscard]] key_decision evaluate_key(const claim_index& index, const claim_key& key, const claimed_call& call,
                                        time_point now, time_point deadline);

/// @brief Time for which a claim is valid: the caller's remaining time, but at most half of the log's retention time. A
/// key whose records the log has dropped can be claimed again, so nothing may be sent under a claim whose record may
/// have been dropped.
[[nodiscard]] milliseconds claim_duration(milliseconds remaining, milliseconds retention) noexcept;

/// @brief Whether the call of a claim that has won may still be sent.
/// @param started time before the append of the claim, by the monotonic clock of the claimant
[[nodiscard]] bool may_send(time_point started, milliseconds duration, time_point now) noexcept;

/// @brief Truncates the body to `max_recorded_body_size` bytes.
[[nodiscard]] recorded_answer truncate_answer(recorded_answer answer);

}  // namespace cornelstall
