#include "cornelstall/runtime/process/engine_owner.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

void finish(owned_engine& owned, const std::pair<request_id, attempt_number>& key, reservation_result result)
{
    const auto found = owned.waiting_.find(key);
    if (found == owned.waiting_.end())
    {
        return;
    }
    found->second->result_ = std::move(result);
    found->second->signal_.cancel();
    owned.waiting_.erase(found);
}

void finish_removals(owned_engine& owned, const std::vector<removed_entry>& removals)
{
    std::ranges::for_each(removals, [&owned](const removed_entry& removal) {
        finish(owned, {removal.entry_.request_, removal.entry_.attempt_}, removal.refusal_);
    });
}

}  // namespace

void configure_queues(owned_engine_table& owner, const configuration& active_config)
{
    std::ranges::for_each(owner.engines_, [&active_config](auto& entry) {
        std::ranges::for_each(all_ranks, [&](rank which) {
            entry.second.queue_.ranks_[which].floor_ = rank_policy_for(active_config, which).floor_;
        });
    });
}

task<reservation_result> reserve(owned_engine_table& owner, const engine_state& engine, queue_entry entry,
                                 metrics& counters)
{
    const auto id = engine.id_;
    const auto deadline = entry.deadline_;
    const std::pair key{entry.request_, entry.attempt_};
    auto& owned = owner.engines_[id];
    if (auto refusal = enqueue(owned.queue_, engine, std::move(entry), clock::now()))
    {
        co_return *refusal;
    }
    auto waiter = std::make_shared<reservation_waiter>(co_await boost::asio::this_coro::executor);
    waiter->signal_.expires_at(deadline);
    owned.waiting_[key] = waiter;
    pump(owner, engine, counters);
    if (!waiter->result_)
    {
        try
        {
            co_await waiter->signal_.async_wait(boost::asio::use_awaitable);
        }
        catch (const boost::system::system_error&)
        {
            // Cancelled because the result is there.
        }
    }
    auto result = waiter->result_.value_or(queue_refusal{
        refusal_reason::expired_in_queue, "the time limit passed while the request was queued", std::nullopt});
    // Does nothing unless the entry still waits.
    withdraw_reservation(owner, id, key.first, key.second);
    co_return result;
}

void withdraw_reservation(owned_engine_table& owner, const engine_id& engine, const request_id& request,
                          attempt_number attempt)
{
    const auto found = owner.engines_.find(engine);
    if (found == owner.engines_.end())
    {
        return;
    }
    withdraw(found->second.queue_, request, attempt);
    finish(found->second, {request, attempt},
           queue_refusal{refusal_reason::expired_in_queue, "the caller has gone", std::nullopt});
}

void pump(owned_engine_table& owner, const engine_state& engine, metrics& counters)
{
    auto& owned = owner.engines_[engine.id_];
    const auto now = clock::now();
    finish_removals(owned, expire(owned.queue_, engine, now));
    if (engine.condition_ != engine_condition::ready)
    {
        return;
    }
    std::ranges::for_each(grant_next(owned.queue_, engine, now), [&](const grant& given) {
        counters.count("cornelstall_grants_total", {{"rank", to_string(given.entry_.rank_)}});
        counters.observe("cornelstall_queue_seconds", {{"rank", to_string(given.entry_.rank_)}},
                         std::chrono::duration<double>(now - given.entry_.arrived_).count());
        finish(owned, {given.entry_.request_, given.entry_.attempt_}, given);
    });
}

void evict(owned_engine_table& owner, const engine_id& engine, refusal_reason reason, const std::string& message)
{
    const auto found = owner.engines_.find(engine);
    if (found != owner.engines_.end())
    {
        finish_removals(found->second, remove_all_queued(found->second.queue_, reason, message));
    }
}

}  // namespace cornelstall
