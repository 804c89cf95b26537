#include "cornelstall/decisions/request/split_prompt.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace cornelstall
{

namespace
{

/// An engine with the memory that is available on it.
struct split_candidate
{
    const engine_state* engine_ = nullptr;
    token_count room_;
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

token_count total_room(std::span<const split_candidate> candidates)
{
    return std::transform_reduce(candidates.begin(), candidates.end(), token_count{0}, std::plus{},
                                 [](const split_candidate& each) { return each.room_; });
}

/// The fewest candidates that hold the request, the decoding one first; empty when there are none.
std::vector<split_candidate> fewest(std::vector<split_candidate> candidates, const split_request& request)
{
    std::ranges::stable_sort(candidates, std::ranges::greater{}, &split_candidate::room_);
    const auto decoder = std::ranges::find_if(candidates, [&](const split_candidate& each) {
        return can_decode(*each.engine_) && each.room_ > request.max_output_;
    });
    if (decoder == candidates.end())
    {
        return {};
    }
    // The roomiest engine that can decode and the roomiest others have the most room of all sets of their size.
    std::rotate(candidates.begin(), decoder, std::next(decoder));
    token_count missing = request.prompt_ + request.max_output_;
    const auto enough = std::ranges::find_if(candidates, [&](const split_candidate& each) {
        missing -= each.room_;
        return missing <= token_count{0};
    });
    if (enough == candidates.end())
    {
        return {};
    }
    candidates.erase(std::next(enough), candidates.end());
    return candidates;
}

token_count rounded_up_to_block(std::int64_t tokens) noexcept
{
    const std::int64_t block = split_block.get();
    return token_count{(tokens + block - 1) / block * block};
}

/// Cuts the prompt; @a chosen is in the order of the prompt, the decoding engine last.
std::vector<prompt_segment> cut(std::vector<split_candidate> chosen, const split_request& request)
{
    chosen.back().room_ -= request.max_output_;
    std::vector<prompt_segment> segments;
    token_count room_left = total_room(chosen);
    token_count prompt_left = request.prompt_;
    std::ranges::for_each(chosen, [&](const split_candidate& each) {
        const bool last = each.engine_ == chosen.back().engine_;
        // Rounded up, so that what remains always fits on the engines that remain.
        const double exact = static_cast<double>(prompt_left.get()) * static_cast<double>(each.room_.get()) /
                             static_cast<double>(std::max<std::int64_t>(1, room_left.get()));
        const token_count share = rounded_up_to_block(static_cast<std::int64_t>(exact) + 1);
        const token_count tokens = last ? prompt_left : std::min({share, each.room_, prompt_left - token_count{1}});
        if (tokens > token_count{0})
        {
            segments.push_back({each.engine_->id_, request.prompt_ - prompt_left, tokens,
                                last ? request.max_output_ : token_count{0}, last});
        }
        room_left -= each.room_;
        prompt_left -= tokens;
    });
    return segments;
}

milliseconds duration_of_plan(const std::vector<prompt_segment>& segments, const std::vector<split_candidate>& chosen)
{
    return std::transform_reduce(
        segments.begin(), segments.end(), milliseconds{0}, std::plus{}, [&](const prompt_segment& segment) {
            const auto found = std::ranges::find_if(
                chosen, [&](const split_candidate& each) { return each.engine_->id_ == segment.engine_; });
            const engine_load& load = found->engine_->load_;
            // A decode rate of 0 would make the sum overflow; such an engine is refused by its owner's queue.
            const milliseconds decode =
                load.decode_rate_.get() > 0.0 ? duration_of(segment.output_, load.decode_rate_) : milliseconds{0};
            return duration_of(segment.tokens_, load.prefill_rate_) + decode;
        });
}

}  // namespace

split_plan plan_split(std::span<const engine_state* const> engines, const split_request& request)
{
    std::vector<split_candidate> empty_engines;
    std::vector<split_candidate> present_engines;
    for (const engine_state* engine : engines)
    {
        if (can_hold_segment(*engine, request))
        {
            empty_engines.push_back({engine, engine->load_.kv_total_});
            const token_count free =
                engine->load_.kv_total_ - engine->load_.kv_used_ - engine->tokens_sent_since_report_;
            present_engines.push_back({engine, std::max(token_count{0}, free)});
        }
    }
    if (fewest(std::move(empty_engines), request).empty())
    {
        return {split_verdict::never_fits, {}, milliseconds{0}};
    }
    std::vector<split_candidate> chosen = fewest(std::move(present_engines), request);
    if (chosen.empty())
    {
        return {split_verdict::no_room_now, {}, milliseconds{0}};
    }

    const auto engine_of = [](const split_candidate& each) {
        return each.engine_->id_;
    };
    std::ranges::sort(std::next(chosen.begin()), chosen.end(), {}, engine_of);
    std::rotate(chosen.begin(), std::next(chosen.begin()), chosen.end());
    split_plan plan{split_verdict::planned, cut(chosen, request), milliseconds{0}};
    plan.duration_ = duration_of_plan(plan.segments_, chosen);
    std::ranges::sort(plan.segments_, {}, &prompt_segment::engine_);
    return plan;
}

std::vector<prompt_segment> in_prompt_order(const split_plan& plan)
{
    std::vector<prompt_segment> ordered = plan.segments_;
    std::ranges::sort(ordered, {}, &prompt_segment::first_);
    return ordered;
}

std::optional<milliseconds> split_backoff(int refusals, double random, milliseconds remaining,
                                          milliseconds least_useful) noexcept
{
    constexpr int largest_shift = 10;  // 200 ms × 2^10 is beyond the bound and cannot overflow
    const int shift = std::clamp(refusals - 1, 0, largest_shift);
    const milliseconds longest = std::min(first_split_backoff * (1 << shift), max_split_backoff);
    const auto half = static_cast<double>(longest.count()) / 2.0;
    const milliseconds backoff{static_cast<std::int64_t>(half + half * std::clamp(random, 0.0, 1.0))};
    if (remaining <= least_useful || remaining - least_useful <= backoff)
    {
        return std::nullopt;
    }
    return backoff;
}

}  // namespace cornelstall
