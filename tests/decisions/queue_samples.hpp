#pragma once

#include <string>

#include "cornelstall/decisions.hpp"

/// @file
/// Sample engines and requests for the tests of placement and of the engine queue.

namespace cornelstall::test
{

inline const time_point start_time{std::chrono::hours{1}};

/// @brief A ready engine with model "m", 10,000 prefill tokens and 100 decode tokens per second.
inline engine_state sample_engine(const std::string& id, int slots = 8, std::int64_t memory = 200'000)
{
    engine_state engine;
    engine.id_ = engine_id{id};
    engine.condition_ = engine_condition::ready;
    engine.cache_index_stale_ = false;
    engine.load_.slots_ = slots;
    engine.load_.kv_total_ = token_count{memory};
    engine.load_.prefill_rate_ = token_rate{10'000.0};
    engine.load_.decode_rate_ = token_rate{100.0};
    engine.load_.models_.push_back({model_id{"m"}, model_version{"1"}, {}});
    return engine;
}

/// @brief A request with an uncached prompt and a deadline ten minutes after `start_time`.
inline queue_entry sample_entry(const std::string& request, const std::string& caller, rank which = rank::standard,
                                std::int64_t prompt = 1000, std::int64_t output = 100)
{
    queue_entry entry;
    entry.request_ = request_id{request};
    entry.attempt_ = attempt_number{1};
    entry.holder_ = vm_id{"vm"};
    entry.caller_ = caller_id{caller};
    entry.rank_ = which;
    entry.model_ = model_id{"m"};
    entry.prompt_ = token_count{prompt};
    entry.uncached_ = token_count{prompt};
    entry.max_output_ = token_count{output};
    entry.deadline_ = start_time + std::chrono::minutes{10};
    return entry;
}

/// @brief Enqueues @a entry. Tests use this function and `try_release` because clang-tidy-16's check of optional access
/// does not terminate on functions with many optionals.
/// @return true when the entry was accepted
inline bool try_enqueue(engine_queue& queue, const engine_state& engine, const queue_entry& entry, time_point now)
{
    return !enqueue(queue, engine, entry, now).has_value();
}

/// @brief Releases the grant.
/// @return true when this call ended it
inline bool try_release(engine_queue& queue, const grant_id& id, std::int64_t used_output, time_point now)
{
    return release(queue, id, token_count{used_output}, now).has_value();
}

inline placement_request sample_request(const std::string& id, std::int64_t prompt = 1000)
{
    placement_request request;
    request.id_ = request_id{id};
    request.model_ = model_id{"m"};
    request.prompt_ = token_count{prompt};
    request.max_output_ = token_count{100};
    return request;
}

}  // namespace cornelstall::test
