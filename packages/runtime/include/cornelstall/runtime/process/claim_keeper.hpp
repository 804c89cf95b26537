#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cornelstall/decisions/process/claims.hpp"
#include "cornelstall/runtime/connection/log_connection.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task_clock.hpp"

namespace cornelstall
{

/// @brief One stream of the log as its keeper uses it.
struct log_stream
{
    /// Appends; throws connection_error like `append`.
    std::function<task<log_offset>(std::vector<std::string>)> append_;
    /// Reads from an offset, up to a number of records, waiting for the first; throws connection_error like `read`.
    std::function<task<log_page>(log_offset, int, milliseconds)> read_;
};

/// @brief The stream named @a name of @a service.
[[nodiscard]] log_stream stream_of(log_service service, std::string name);

/// @brief Limits and periods of a claim keeper.
struct claim_keeper_settings
{
    milliseconds batch_period_{20};    ///< appends are at least this far apart; bounds the load on the log
    std::size_t max_batch_ = 256;      ///< records in one append
    std::size_t max_queued_ = 10'000;  ///< records that wait for the log; the oldest outcomes go first
    int page_size_ = 1'000;
    milliseconds read_wait_{1'000};
    milliseconds retry_pause_{200};  ///< after a failed call to the log
};

/// @brief What became of the append of a claim.
enum class claim_append
{
    queued,
    in_flight,
    sent,    ///< acknowledged, or its acknowledgement was lost: the stream will tell
    refused  ///< not appended, now or later
};

/// @brief A record that waits for its append.
struct queued_claims_record
{
    std::string text_;
    claim_id claim_;
    std::shared_ptr<claim_append> claim_state_;  ///< of a claim; null for other records, which are repeated
    std::shared_ptr<bool> appended_;             ///< set when the log acknowledged
};

/// @brief Follows stream `claims` and appends to it for all requests of this process.
struct claim_keeper
{
    vm_id self_;
    log_stream log_;
    task_clock clock_;
    metrics* metrics_ = nullptr;
    claim_keeper_settings settings_;

    claim_index index_;
    milliseconds retention_{0};
    std::deque<queued_claims_record> queue_;
    std::uint64_t claims_made_ = 0;
    bool stopping_ = false;
    wake_signal index_changed_;
    wake_signal queue_changed_;
};

/// @brief Reads the stream until the keeper stops. Malformed records are counted and skipped.
[[nodiscard]] task<> follow_claims(std::shared_ptr<claim_keeper> keeper);

/// @brief Appends what is queued until the keeper stops and the queue is empty.
[[nodiscard]] task<> append_claims(std::shared_ptr<claim_keeper> keeper);

/// @brief How an attempt to claim ended.
enum class claim_status
{
    won,
    taken,           ///< another claim or an outcome stands; see wait_for_outcome
    not_ready,       ///< the stream has not been read completely
    log_unavailable  ///< not appended or not read back in time; nothing is sent under the claim
};

/// @brief A claim and the time in which its winner may send.
struct held_claim
{
    claim_status status_ = claim_status::not_ready;
    claim_id id_;
    claim_key key_;
    claimed_call call_;
    time_point started_;
    milliseconds duration_{0};
};

/// @brief Claims a call and reads the stream up to the claim. Unless it won, the claim is abandoned and nothing may be
/// sent.
/// @param deadline of the caller
[[nodiscard]] task<held_claim> claim(std::shared_ptr<claim_keeper> keeper, claim_key key, claimed_call call,
                                     time_point deadline);

/// @brief Whether the call may still be sent under @a held. To be asked just before sending.
[[nodiscard]] bool may_send_now(const claim_keeper& keeper, const held_claim& held);

/// @brief Records how the call ended. The record is queued when the task starts and repeated until the log takes it.
/// @return true when the log has acknowledged; false when the process stopped before or the queue was full
[[nodiscard]] task<bool> record_outcome(std::shared_ptr<claim_keeper> keeper, held_claim held, recorded_answer answer);

/// @brief Frees the key of a claim under which nothing ran and nothing will. A claim that still waits for its append is
/// taken back; otherwise the `abandoned` record is repeated until the log takes it.
/// @return as record_outcome
[[nodiscard]] task<bool> abandon(std::shared_ptr<claim_keeper> keeper, claim_id id);

/// @brief Waits while a claim without outcome stands, at most until @a deadline.
/// @return a verdict other than `wait`
[[nodiscard]] task<key_decision> wait_for_outcome(std::shared_ptr<claim_keeper> keeper, claim_key key,
                                                  claimed_call call, time_point deadline);

/// @brief Ends both coroutines, after the last request has ended. append_claims first empties its queue; while the log
/// is down it goes on, so the process bounds the time that it waits for it.
void stop(claim_keeper& keeper);

}  // namespace cornelstall
