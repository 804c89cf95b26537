#include "cornelstall/decisions/process/engine_queue.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "process/engine_queue_detail.hpp"

namespace cornelstall
{

namespace
{

/// Each rank has this part of the queue to itself.
constexpr int rank_part_divisor = 4;
/// Weight of one finished request in the learned speed and output.
constexpr double learning_rate = 0.1;
constexpr double lowest_speed_factor = 0.1;
constexpr double highest_speed_factor = 10.0;
constexpr double lowest_output_ratio = 0.05;

int size_of(const std::deque<queue_entry>& waiting) noexcept
{
    return static_cast<int>(waiting.size());
}

/// Places that the other ranks leave to @a which; not positive when it may not queue any more.
int places_left(const engine_queue& queue, rank which) noexcept
{
    const int part = queue.limits_.max_queued_ / rank_part_divisor;
    const auto kept = [&](int sum, rank other) {
        return sum + (other == which ? 0 : std::max(0, part - queue_length(queue, other)));
    };
    return queue.limits_.max_queued_ - queue_length(queue) -
           std::accumulate(all_ranks.begin(), all_ranks.end(), 0, kept);
}

int queued_of(const engine_queue& queue, const caller_id& caller)
{
    return std::accumulate(queue.ranks_.begin(), queue.ranks_.end(), 0, [&](int sum, const auto& each) {
        const auto found = each.second.callers_.find(caller);
        return sum + (found == each.second.callers_.end() ? 0 : size_of(found->second.waiting_));
    });
}

/// Lets the learned factors recover on an idle engine. An estimate that refuses everything would otherwise never be
/// corrected, because nothing finishes from which to learn.
void relax_factors(engine_queue& queue) noexcept
{
    if (queue.grants_.empty())
    {
        queue.speed_factor_ += learning_rate * std::max(0.0, 1.0 - queue.speed_factor_);
        queue.output_ratio_ = std::max(lowest_output_ratio, queue.output_ratio_ * (1.0 - learning_rate));
    }
}

std::optional<queue_refusal> refuse_by_engine(const engine_state& engine, const queue_entry& entry, time_point now)
{
    if (engine.condition_ != engine_condition::ready || engine.load_.draining_)
    {
        return queue_refusal{refusal_reason::no_engine_ready,
                             "engine " + engine.id_.get() + " takes no new work; place the request on another engine",
                             std::nullopt};
    }
    if (entry.deadline_ <= now)
    {
        return queue_refusal{refusal_reason::time_limit_passed,
                             "the time limit passed before the request reached the queue; allow more time",
                             std::nullopt};
    }
    if (detail::memory_of(entry) > engine.load_.kv_total_)
    {
        return queue_refusal{
            refusal_reason::memory_unavailable,
            "prompt and output exceed the memory of engine " + engine.id_.get() + "; split the prompt or shorten it",
            std::nullopt};
    }
    return std::nullopt;
}

std::optional<queue_refusal> refuse_by_length(const engine_queue& queue, const queue_entry& entry,
                                              milliseconds retry_after)
{
    const int places = places_left(queue, entry.rank_);
    const int own = queued_of(queue, entry.caller_);
    if (own >= queue.limits_.max_queued_per_caller_)
    {
        return queue_refusal{
            refusal_reason::caller_queue_full,
            "caller " + entry.caller_.get() + " has " + std::to_string(own) + " requests waiting; send fewer at a time",
            retry_after};
    }
    // Near the bound a caller with many waiting requests is refused first, so that places remain for the others.
    if (places <= 0 || own >= places)
    {
        return queue_refusal{refusal_reason::queue_full,
                             "the queue of rank " + std::string(to_string(entry.rank_)) + " is full; try again later",
                             retry_after};
    }
    return std::nullopt;
}

std::optional<queue_refusal> refuse_without_wait(engine_queue& queue, const engine_state& engine,
                                                 const queue_entry& entry, time_point now)
{
    detail::forget_old_holds(queue, now);
    const auto result = detail::fit_of(queue, engine, detail::room_of(queue, engine, now),
                                       detail::hold_of(queue, engine, now), entry, now);
    detail::hold_for_segment(queue, entry, result == detail::fit::now, now);
    if (result == detail::fit::now)
    {
        return std::nullopt;
    }
    return queue_refusal{refusal_reason::memory_unavailable,
                         "engine " + engine.id_.get() + " has no room for the segment now; try again after a backoff",
                         std::nullopt};
}

/// Removes the entries that @a leaves selects, with the refusal that @a reason_for gives.
std::vector<removed_entry> remove_where(engine_queue& queue, const std::function<bool(const queue_entry&)>& leaves,
                                        const std::function<queue_refusal(const queue_entry&)>& reason_for)
{
    std::vector<removed_entry> removed;
    for (auto& [which, ranked] : queue.ranks_)
    {
        for (auto& [caller, share] : ranked.callers_)
        {
            const auto leaving =
                std::stable_partition(share.waiting_.begin(), share.waiting_.end(), std::not_fn(leaves));
            std::transform(leaving, share.waiting_.end(), std::back_inserter(removed), [&](queue_entry& entry) {
                return removed_entry{entry, reason_for(entry)};
            });
            share.waiting_.erase(leaving, share.waiting_.end());
        }
    }
    return removed;
}

double moved_towards(double current, double observed, double lowest, double highest) noexcept
{
    return std::clamp(current + learning_rate * (std::clamp(observed, lowest, highest) - current), lowest, highest);
}

/// Learns speed and output from a finished request.
void learn_from(engine_queue& queue, const grant& ended, token_count used_output, time_point now) noexcept
{
    if (used_output <= token_count{0})
    {
        return;  // it failed, so its time says nothing about the engine's speed
    }
    const auto maximum = static_cast<double>(std::max(token_count{1}, ended.entry_.max_output_).get());
    queue.output_ratio_ =
        moved_towards(queue.output_ratio_, static_cast<double>(used_output.get()) / maximum, lowest_output_ratio, 1.0);
    const double taken = std::chrono::duration<double, std::milli>(now - ended.granted_at_).count();
    if (ended.prefill_rate_.get() > 0.0 && ended.decode_rate_.get() > 0.0 && taken > 0.0)
    {
        const double expected =
            1000.0 * (static_cast<double>(ended.entry_.uncached_.get()) / ended.prefill_rate_.get() +
                      static_cast<double>(used_output.get()) / ended.decode_rate_.get());
        queue.speed_factor_ =
            moved_towards(queue.speed_factor_, expected / taken, lowest_speed_factor, highest_speed_factor);
    }
}

}  // namespace

std::optional<queue_refusal> enqueue(engine_queue& queue, const engine_state& engine, queue_entry entry, time_point now)
{
    if (std::optional<queue_refusal> refusal = refuse_by_engine(engine, entry, now))
    {
        return refusal;
    }
    const detail::finish_estimate estimate = detail::estimate_parts(queue, engine, entry);
    if (entry.no_wait_)
    {
        if (std::optional<queue_refusal> refusal = refuse_without_wait(queue, engine, entry, now))
        {
            return refusal;
        }
    }
    else if (detail::to_milliseconds(estimate.wait_ + estimate.service_) > remaining_until(entry.deadline_, now))
    {
        relax_factors(queue);
        return queue_refusal{refusal_reason::time_limit_unreachable,
                             "the request would end after its time limit; allow more time or ask for less output",
                             detail::to_milliseconds(estimate.wait_)};
    }
    else if (std::optional<queue_refusal> refusal =
                 refuse_by_length(queue, entry, detail::to_milliseconds(estimate.wait_)))
    {
        return refusal;
    }

    rank_queue& ranked = queue.ranks_[entry.rank_];
    caller_share& share = ranked.callers_[entry.caller_];
    share.virtual_finish_ = detail::start_tag(ranked, share);
    entry.arrived_ = now;
    entry.passed_over_ = token_count{0};
    share.waiting_.push_back(std::move(entry));
    return std::nullopt;
}

std::vector<removed_entry> expire(engine_queue& queue, const engine_state& engine, time_point now)
{
    const auto leaves = [&](const queue_entry& entry) {
        return entry.no_wait_ || !detail::can_finish(queue, engine, entry, now);
    };
    const auto reason_for = [&](const queue_entry& entry) {
        if (entry.deadline_ <= now)
        {
            return queue_refusal{refusal_reason::expired_in_queue,
                                 "the time limit passed in the queue; allow more time or try again later",
                                 std::nullopt};
        }
        if (entry.no_wait_)
        {
            return queue_refusal{refusal_reason::memory_unavailable,
                                 "the room for the segment was taken; try again after a backoff", std::nullopt};
        }
        return queue_refusal{refusal_reason::time_limit_unreachable,
                             "the request cannot end before its time limit any more; try again later", std::nullopt};
    };
    return remove_where(queue, leaves, reason_for);
}

std::vector<removed_entry> remove_all_queued(engine_queue& queue, refusal_reason reason, const std::string& message)
{
    return remove_where(
        queue, [](const queue_entry&) { return true; },
        [&](const queue_entry&) {
            return queue_refusal{reason, message, std::nullopt};
        });
}

bool withdraw(engine_queue& queue, const request_id& request, attempt_number attempt)
{
    const auto is_meant = [&](const queue_entry& entry) {
        return entry.request_ == request && entry.attempt_ == attempt;
    };
    return !remove_where(queue, is_meant, [](const queue_entry&) { return queue_refusal{}; }).empty();
}

void mark_prefill_finished(engine_queue& queue, const grant_id& id)
{
    const auto found = queue.grants_.find(id);
    if (found != queue.grants_.end())
    {
        found->second.prefilling_ = false;
        detail::return_segment(queue, found->second, true);
    }
}

std::optional<grant> release(engine_queue& queue, const grant_id& id, token_count used_output, time_point now)
{
    const auto found = queue.grants_.find(id);
    if (found == queue.grants_.end())
    {
        return std::nullopt;
    }
    grant ended = std::move(found->second);
    queue.grants_.erase(found);
    detail::return_segment(queue, ended, used_output > token_count{0} || !ended.prefilling_);
    detail::refund(queue, ended, ended.entry_.max_output_ - used_output);
    learn_from(queue, ended, used_output, now);
    return ended;
}

void restore_grant(engine_queue& queue, const grant& announced)
{
    const auto [place, added] = queue.grants_.try_emplace(announced.id_, announced);
    if (added)
    {
        rank_queue& ranked = queue.ranks_[announced.entry_.rank_];
        detail::charge(queue, place->second, detail::start_tag(ranked, ranked.callers_[announced.entry_.caller_]));
    }
}

int queue_length(const engine_queue& queue) noexcept
{
    return std::accumulate(all_ranks.begin(), all_ranks.end(), 0,
                           [&](int sum, rank which) { return sum + queue_length(queue, which); });
}

int queue_length(const engine_queue& queue, rank which) noexcept
{
    const auto found = queue.ranks_.find(which);
    if (found == queue.ranks_.end())
    {
        return 0;
    }
    return std::accumulate(found->second.callers_.begin(), found->second.callers_.end(), 0,
                           [](int sum, const auto& each) { return sum + size_of(each.second.waiting_); });
}

}  // namespace cornelstall
