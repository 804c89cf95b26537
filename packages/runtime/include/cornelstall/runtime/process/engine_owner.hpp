#pragma once

#include <map>
#include <memory>
#include <utility>
#include <variant>

#include "cornelstall/decisions.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief The owner's answer to a reservation: a grant, or a refusal.
using reservation_result = std::variant<grant, queue_refusal>;

/// @brief A task that waits for a grant.
struct reservation_waiter
{
    explicit reservation_waiter(const boost::asio::any_io_executor& where) : signal_(where) {}

    boost::asio::steady_timer signal_;  ///< cancelled when `result_` is set
    std::optional<reservation_result> result_;
};

/// @brief An engine that this VM owns: its queue and the tasks that wait in it.
struct owned_engine
{
    engine_queue queue_;
    std::map<std::pair<request_id, attempt_number>, std::shared_ptr<reservation_waiter>> waiting_;
};

/// @brief All engines owned by this VM.
struct owned_engine_table
{
    std::map<engine_id, owned_engine> engines_;
};

/// @brief Floors and bounds for the queues, from the configuration in force.
void configure_queues(owned_engine_table& owner, const configuration& active_config);

/// @brief Waits in the queue of @a engine until granted or refused, at the latest at the entry's deadline.
/// When the calling task is destroyed or @a withdraw_reservation is called the entry leaves the queue.
[[nodiscard]] task<reservation_result> reserve(owned_engine_table& owner, const engine_state& engine, queue_entry entry,
                                               metrics& counters);

/// @brief Ends the wait of a request whose caller has gone.
void withdraw_reservation(owned_engine_table& owner, const engine_id& engine, const request_id& request,
                          attempt_number attempt);

/// @brief Grants and expires what can be granted and must be expired now; wakes the tasks concerned.
void pump(owned_engine_table& owner, const engine_state& engine, metrics& counters);

/// @brief Sends everything that waits for @a engine back with @a reason, because the engine drains or changes its
/// owner.
void evict(owned_engine_table& owner, const engine_id& engine, refusal_reason reason, const std::string& message);

}  // namespace cornelstall
