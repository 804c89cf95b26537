#include "cornelstall/decisions/request/split_prompt.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace cornelstall
{

namespace
{

/// An engine and the memory assumed to be available on it.
struct split_candidate
{
    const engine_state* engine_ = nullptr;
    token_count available_;
};

bool can_decode(const engine_state& engine) noexcept
{
    return engine.load_.role_ == engine_role::mixed;
}

bool can_hold_segment(const engine_state& engine, const split_request& request)
{
    return engine.condition_ == engine_condition::ready && !engine.load_.draining_ &&
           engine.load_.role_ != engine_role::decode && engine.load_.prefill_rate_.get() > 0.0 &&
           has_model(engine, request.model_, request.adapter_) && !request.excluded_.contains(engine.id_);
}

token_count total_available(std::span<const split_candidate> candidates)
{
    return std::transform_reduce(candidates.begin(), candidates.end(), token_count{0}, std::plus{},
                                 [](const split_candidate& each) { return each.available_; });
}

/// Returns the smallest set of candidates that can hold the request, with the engine that decodes first. Empty when no
/// set can.
std::vector<split_candidate> smallest_sufficient_set(std::vector<split_candidate> candidates,
                                                     const split_request& request)
{
    std::ranges::stable_sort(candidates, std::ranges::greater{}, &split_candidate::available_);
    const auto decoder = std::ranges::find_if(candidates, [&](const split_candidate& each) {
        return can_decode(*each.engine_) && each.available_ > request.max_output_;
    });
    if (decoder == candidates.end())
    {
        return {};
    }
    // The decoding engine and the other engines with the most memory have the largest sum of all sets of the same size.
    std::rotate(candidates.begin(), decoder, std::next(decoder));
    token_count missing = request.prompt_ + request.max_output_;
    const auto last_needed = std::ranges::find_if(candidates, [&](const split_candidate& each) {
        missing -= each.available_;
        return missing <= token_count{0};
    });
    if (last_needed == candidates.end())
    {
        return {};
    }
    candidates.erase(std::next(last_needed), candidates.end());
    return candidates;
}

token_count rounded_up_to_block(std::int64_t tokens) noexcept
{
    const std::int64_t block = split_block_size.get();
    return token_count{(tokens + block - 1) / block * block};
}

/// Divides the prompt among @a chosen, which is in the order of the prompt with the decoding engine last.
std::vector<prompt_segment> split_into_segments(std::vector<split_candidate> chosen, const split_request& request)
{
    chosen.back().available_ -= request.max_output_;
    std::vector<prompt_segment> segments;
    token_count available_left = total_available(chosen);
    token_count prompt_left = request.prompt_;
    std::ranges::for_each(chosen, [&](const split_candidate& each) {
        const bool last = each.engine_ == chosen.back().engine_;
        // Rounded up, so that the rest of the prompt always fits the remaining engines.
        const double exact = static_cast<double>(prompt_left.get()) * static_cast<double>(each.available_.get()) /
                             static_cast<double>(std::max<std::int64_t>(1, available_left.get()));
        const token_count share = rounded_up_to_block(static_cast<std::int64_t>(exact) + 1);
        const token_count tokens =
            last ? prompt_left : std::min({share, each.available_, prompt_left - token_count{1}});
        if (tokens > token_count{0})
        {
            segments.push_back({each.engine_->id_, request.prompt_ - prompt_left, tokens,
                                last ? request.max_output_ : token_count{0}, last});
        }
        available_left -= each.available_;
        prompt_left -= tokens;
    });
    return segments;
}

milliseconds estimate_duration(const std::vector<prompt_segment>& segments, const std::vector<split_candidate>& chosen)
{
    return std::transform_reduce(
        segments.begin(), segments.end(), milliseconds{0}, std::plus{}, [&](const prompt_segment& segment) {
            const auto found = std::ranges::find_if(
                chosen, [&](const split_candidate& each) { return each.engine_->id_ == segment.engine_; });
            const engine_load& load = found->engine_->load_;
            // A decode rate of 0 would overflow the sum. The queue of the engine's owner refuses such engines later.
            const milliseconds decode =
                load.decode_rate_.get() > 0.0 ? duration_of(segment.output_, load.decode_rate_) : milliseconds{0};
            return duration_of(segment.tokens_, load.prefill_rate_) + decode;
        });
}

}  // namespace

split_plan plan_split(std::span<const engine_state* const> engines, const split_request& request)
{
    std::vector<split_candidate> by_total_memory;
    std::vector<split_candidate> by_free_memory;
    for (const engine_state* engine : engines)
    {
        if (can_hold_segment(*engine, request))
        {
            by_total_memory.push_back({engine, engine->load_.kv_total_});
            const token_count free =
                engine->load_.kv_total_ - engine->load_.kv_used_ - engine->tokens_sent_since_report_;
            by_free_memory.push_back({engine, std::max(token_count{0}, free)});
        }
    }
    if (smallest_sufficient_set(std::move(by_total_memory), request).empty())
    {
        return {split_status::exceeds_total_memory, {}, milliseconds{0}};
    }
    std::vector<split_candidate> chosen = smallest_sufficient_set(std::move(by_free_memory), request);
    if (chosen.empty())
    {
        return {split_status::insufficient_free_memory, {}, milliseconds{0}};
    }

    const auto engine_of = [](const split_candidate& each) {
        return each.engine_->id_;
    };
    std::ranges::sort(std::next(chosen.begin()), chosen.end(), {}, engine_of);
    std::rotate(chosen.begin(), std::next(chosen.begin()), chosen.end());
    split_plan plan{split_status::planned, split_into_segments(chosen, request), milliseconds{0}};
    plan.duration_ = estimate_duration(plan.segments_, chosen);
    std::ranges::sort(plan.segments_, {}, &prompt_segment::engine_);
    return plan;
}

std::vector<prompt_segment> segments_in_prompt_order(const split_plan& plan)
{
    std::vector<prompt_segment> ordered = plan.segments_;
    std::ranges::sort(ordered, {}, &prompt_segment::offset_);
    return ordered;
}

std::optional<milliseconds> split_backoff(int refusals, double random, milliseconds remaining,
                                          milliseconds min_remaining) noexcept
{
    constexpr int max_shift = 10;  // 200 ms × 2^10 exceeds max_split_backoff and cannot overflow
    const int shift = std::clamp(refusals - 1, 0, max_shift);
    const milliseconds limit = std::min(initial_split_backoff * (1 << shift), max_split_backoff);
    const auto half = static_cast<double>(limit.count()) / 2.0;
    const milliseconds backoff{static_cast<std::int64_t>(half + half * std::clamp(random, 0.0, 1.0))};
    if (remaining <= min_remaining || remaining - min_remaining <= backoff)
    {
        return std::nullopt;
    }
    return backoff;
}

}  // namespace cornelstall
