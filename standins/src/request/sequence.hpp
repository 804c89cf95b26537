#pragma once

#include "connection/exchange.hpp"

#include <vector>

#include "request/answer_text.hpp"

namespace cornelstall::standins
{

enum class sequence_state
{
    waiting,
    prefilling,
    decoding,
    finished,
    cancelled
};

/// @brief Whether a sequence ends with an answer or with an export of its KV memory.
enum class sequence_kind
{
    completion,
    prefill
};

/// @brief One prompt in the engine's batch.
struct sequence
{
    explicit sequence(const boost::asio::any_io_executor& executor) : changed_(executor) {}

    request_id id_;
    attempt_number attempt_;
    vm_id holder_;
    model_id model_;
    sequence_kind kind_ = sequence_kind::completion;
    std::int64_t priority_ = 0;
    std::uint64_t arrival_ = 0;
    time_point arrived_at_;

    token_count prompt_;
    token_count resumed_;  ///< text of an earlier attempt, prefilled with the prompt
    token_count cached_;
    double prefill_left_ = 0.0;
    token_count kv_;  ///< memory held now
    std::vector<prefix_key> prefix_keys_;

    answer_seed seed_;
    part_number next_part_;  ///< parts before this one are decoded
    part_number first_part_;
    part_number end_;  ///< parts from this one on are not decoded
    bool ends_by_limit_ = true;
    double decode_credit_ = 0.0;

    sequence_state state_ = sequence_state::waiting;
    std::uint64_t stream_ = 0;           ///< counts the connections that have streamed this answer
    boost::asio::steady_timer changed_;  ///< cancelled at each change that a stream waits for
    export_id export_;
};

/// @brief True while the engine still has to work on @a each.
[[nodiscard]] inline bool is_active(const sequence& each) noexcept
{
    return each.state_ != sequence_state::finished && each.state_ != sequence_state::cancelled;
}

/// @brief True while @a each occupies a slot of the batch.
[[nodiscard]] inline bool is_running(const sequence& each) noexcept
{
    return each.state_ == sequence_state::prefilling || each.state_ == sequence_state::decoding;
}

}  // namespace cornelstall::standins
