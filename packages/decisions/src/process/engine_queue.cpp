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

/// The limit of the queue divided by this is the number of places reserved for each rank.
constexpr int reserved_places_divisor = 4;
/// Weight of one finished request in the moving averages of speed and output.
constexpr double learning_rate = 0.1;
constexpr double min_speed_factor = 0.1;
constexpr double max_speed_factor = 10.0;
constexpr double min_output_ratio = 0.05;

int size_of(const std::deque<queue_entry>& waiting) noexcept
{
    return static_cast<int>(waiting.size());
}

/// Free places that are not reserved for other ranks; zero or negative when @a which may not queue more requests.
int places_left(const engine_queue& queue, rank which) noexcept
{
    const int reserved = queue.limits_.max_queued_ / reserved_places_divisor;
    const auto add_unused_reservation = [&](int sum, rank other) {
        return sum + (other == which ? 0 : std::max(0, reserved - queue_length(queue, other)));
    };
    return queue.limits_.max_queued_ - queue_length(queue) -
           std::accumulate(all_ranks.begin(), all_ranks.end(), 0, add_unused_reservation);
}

int queue_length_of_caller(const engine_queue& queue, const caller_id& caller)
{
    return std::accumulate(queue.ranks_.begin(), queue.ranks_.end(), 0, [&](int sum, const auto& each) {
        const auto found = each.second.callers_.find(caller);
        return sum + (found == each.second.callers_.end() ? 0 : size_of(found->second.waiting_));
    });
}

/// Called after a refusal: if the engine is idle, raises the speed factor towards 1 and lowers the output ratio. They
/// are otherwise updated only when a request finishes, so estimates that refuse every request would never be corrected.
void relax_learned_factors(engine_queue& queue) noexcept
{
    if (queue.grants_.empty())
    {
        queue.speed_factor_ += learning_rate * std::max(0.0, 1.0 - queue.speed_factor_);
        queue.output_ratio_ = std::max(min_output_ratio, queue.output_ratio_ * (1.0 - learning_rate));
    }
}

std::optional<queue_refusal> check_engine(const engine_state& engine, const queue_entry& entry, time_point now)
{
    if (engine.condition_ != engine_condition::ready || engine.load_.draining_)
    {
        return queue_refusal{
            refusal_reason::no_engine_ready,
            "engine " + engine.id_.get() + " accepts no new requests; place the request on another engine",
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

std::optional<queue_refusal> check_queue_length(const engine_queue& queue, const queue_entry& entry,
                                                milliseconds retry_after)
{
    const int places = places_left(queue, entry.rank_);
    const int waiting = queue_length_of_caller(queue, entry.caller_);
    if (waiting >= queue.limits_.max_queued_per_caller_)
    {
        return queue_refusal{refusal_reason::caller_queue_full,
                             "caller " + entry.caller_.get() + " has " + std::to_string(waiting) +
                                 " requests waiting; send fewer at a time",
                             retry_after};
    }
    // When few places are left, callers with many waiting requests are refused first, which leaves places for others.
    if (places <= 0 || waiting >= places)
    {
        return queue_refusal{refusal_reason::queue_full,
                             "the queue of rank " + std::string(to_string(entry.rank_)) + " is full; try again later",
                             retry_after};
    }
    return std::nullopt;
}

/// Checks whether the segment @a entry can be granted now, and updates the segment hold of its rank.
std::optional<queue_refusal> check_immediate_capacity(engine_queue& queue, const engine_state& engine,
                                                      const queue_entry& entry, time_point now)
{
    detail::remove_expired_holds(queue, now);
    const auto result = detail::check_admission(queue, engine, detail::capacity_of(queue, engine, now),
                                                detail::find_memory_hold(queue, engine, now), entry, now);
    detail::hold_for_segment(queue, entry, result == detail::admission::allowed, now);
    if (result == detail::admission::allowed)
    {
        return std::nullopt;
    }
    return queue_refusal{refusal_reason::memory_unavailable,
                         "engine " + engine.id_.get() + " has no capacity for the segment now; retry after a backoff",
                         std::nullopt};
}

/// Removes the entries for which @a should_remove returns true; @a refusal_for returns the refusal of each.
std::vector<removed_entry> remove_where(engine_queue& queue,
                                        const std::function<bool(const queue_entry&)>& should_remove,
                                        const std::function<queue_refusal(const queue_entry&)>& refusal_for)
{
    std::vector<removed_entry> removed;
    for (auto& [which, ranked] : queue.ranks_)
    {
        for (auto& [caller, share] : ranked.callers_)
        {
            const auto removed_begin =
                std::stable_partition(share.waiting_.begin(), share.waiting_.end(), std::not_fn(should_remove));
            std::transform(removed_begin, share.waiting_.end(), std::back_inserter(removed), [&](queue_entry& entry) {
                return removed_entry{entry, refusal_for(entry)};
            });
            share.waiting_.erase(removed_begin, share.waiting_.end());
        }
    }
    return removed;
}

double update_average(double current, double observed, double min, double max) noexcept
{
    return std::clamp(current + learning_rate * (std::clamp(observed, min, max) - current), min, max);
}

/// Updates the averages of speed and output with a finished request.
void update_learned_factors(engine_queue& queue, const grant& ended, token_count used_output, time_point now) noexcept
{
    if (used_output <= token_count{0})
    {
        return;  // a failed request does not show the engine's speed
    }
    const auto maximum = static_cast<double>(std::max(token_count{1}, ended.entry_.max_output_).get());
    queue.output_ratio_ =
        update_average(queue.output_ratio_, static_cast<double>(used_output.get()) / maximum, min_output_ratio, 1.0);
    const double elapsed = std::chrono::duration<double, std::milli>(now - ended.granted_at_).count();
    if (ended.prefill_rate_.get() > 0.0 && ended.decode_rate_.get() > 0.0 && elapsed > 0.0)
    {
        const double expected =
            1000.0 * (static_cast<double>(ended.entry_.uncached_.get()) / ended.prefill_rate_.get() +
                      static_cast<double>(used_output.get()) / ended.decode_rate_.get());
        queue.speed_factor_ =
            update_average(queue.speed_factor_, expected / elapsed, min_speed_factor, max_speed_factor);
    }
}

}  // namespace

std::optional<queue_refusal> enqueue(engine_queue& queue, const engine_state& engine, queue_entry entry, time_point now)
{
    if (std::optional<queue_refusal> refusal = check_engine(engine, entry, now))
    {
        return refusal;
    }
    const detail::finish_estimate estimate = detail::estimate_wait_and_service(queue, engine, entry);
    if (entry.no_wait_)
    {
        if (std::optional<queue_refusal> refusal = check_immediate_capacity(queue, engine, entry, now))
        {
            return refusal;
        }
    }
    else if (detail::to_milliseconds(estimate.wait_ + estimate.service_) > remaining_until(entry.deadline_, now))
    {
        relax_learned_factors(queue);
        return queue_refusal{refusal_reason::time_limit_unreachable,
                             "the request would finish after its time limit; allow more time or request less output",
                             detail::to_milliseconds(estimate.wait_)};
    }
    else if (std::optional<queue_refusal> refusal =
                 check_queue_length(queue, entry, detail::to_milliseconds(estimate.wait_)))
    {
        return refusal;
    }

    rank_queue& ranked = queue.ranks_[entry.rank_];
    caller_share& share = ranked.callers_[entry.caller_];
    share.virtual_finish_ = detail::start_tag(ranked, share);
    entry.arrived_ = now;
    entry.bypassed_memory_ = token_count{0};
    share.waiting_.push_back(std::move(entry));
    return std::nullopt;
}

std::vector<removed_entry> expire(engine_queue& queue, const engine_state& engine, time_point now)
{
    const auto should_remove = [&](const queue_entry& entry) {
        return entry.no_wait_ || !detail::can_finish(queue, engine, entry, now);
    };
    const auto refusal_for = [&](const queue_entry& entry) {
        if (entry.deadline_ <= now)
        {
            return queue_refusal{
                refusal_reason::expired_in_queue,
                "the time limit passed while the request was queued; allow more time or try again later", std::nullopt};
        }
        if (entry.no_wait_)
        {
            return queue_refusal{refusal_reason::memory_unavailable,
                                 "the capacity for the segment is no longer free; retry after a backoff", std::nullopt};
        }
        return queue_refusal{refusal_reason::time_limit_unreachable,
                             "the request can no longer finish within its time limit; try again later", std::nullopt};
    };
    return remove_where(queue, should_remove, refusal_for);
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
    const auto matches = [&](const queue_entry& entry) {
        return entry.request_ == request && entry.attempt_ == attempt;
    };
    return !remove_where(queue, matches, [](const queue_entry&) { return queue_refusal{}; }).empty();
}

void mark_prefill_finished(engine_queue& queue, const grant_id& id)
{
    const auto found = queue.grants_.find(id);
    if (found != queue.grants_.end())
    {
        found->second.prefilling_ = false;
        detail::update_segment_hold(queue, found->second, true);
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
    detail::update_segment_hold(queue, ended, used_output > token_count{0} || !ended.prefilling_);
    detail::refund(queue, ended, ended.entry_.max_output_ - used_output);
    update_learned_factors(queue, ended, used_output, now);
    return ended;
}

void restore_grant(engine_queue& queue, const grant& announced)
{
    const auto [position, added] = queue.grants_.try_emplace(announced.id_, announced);
    if (added)
    {
        rank_queue& ranked = queue.ranks_[announced.entry_.rank_];
        detail::charge(queue, position->second, detail::start_tag(ranked, ranked.callers_[announced.entry_.caller_]));
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
