#include "cornelstall/decisions/request/placement.hpp"

#include <xxhash.h>

#include <algorithm>

#include "cornelstall/decisions/request/tokens.hpp"

namespace cornelstall
{

namespace
{

/// Engines whose estimate is within this factor of the lowest one are equivalent.
constexpr double equivalence_factor = 1.1;
/// A short prompt is placed on an engine with a long prefill only when all other engines take longer by more than this
/// factor. Without this exception short prompts could use only half of the engines, even under overload.
constexpr double max_short_prompt_slowdown = 2.0;

struct candidate
{
    const engine_state* engine_ = nullptr;
    token_count cached_;
    milliseconds first_token_{0};
    bool has_long_prefill_ = false;
};

milliseconds saturating_sum(milliseconds left, milliseconds right) noexcept
{
    return left > milliseconds::max() - right ? milliseconds::max() : left + right;
}

milliseconds saturating_product(milliseconds value, double factor) noexcept
{
    const double exact = static_cast<double>(value.count()) * factor;
    return exact >= static_cast<double>(milliseconds::max().count()) ? milliseconds::max()
                                                                     : milliseconds{static_cast<std::int64_t>(exact)};
}

/// Estimates the time until a slot of the engine is free. The output lengths of the running requests are unknown, so
/// each is assumed to equal the maximum output of @a request.
milliseconds slot_wait_time(const engine_state& engine, const placement_request& request) noexcept
{
    const engine_load& load = engine.load_;
    const std::int64_t excess =
        std::int64_t{load.running_} + load.waiting_ + engine.requests_sent_since_report_ - load.slots_;
    if (excess < 0)
    {
        return milliseconds{0};
    }
    if (load.slots_ <= 0)
    {
        return milliseconds::max();
    }
    return duration_of(token_count{request.max_output_.get() * (excess + 1) / load.slots_}, load.decode_rate_);
}

milliseconds estimate_with_cached_prefix(const engine_state& engine, const placement_request& request,
                                         token_count cached)
{
    const token_count uncached = std::max(token_count{0}, request.prompt_ - cached);
    const token_count ahead = engine.load_.prefill_waiting_ + engine.tokens_sent_since_report_;
    return saturating_sum(duration_of(ahead + uncached, engine.load_.prefill_rate_), slot_wait_time(engine, request));
}

bool serves_model(const engine_state& engine, const placement_request& request)
{
    return engine.condition_ == engine_condition::ready && !engine.load_.draining_ &&
           engine.load_.role_ == engine_role::mixed && has_model(engine, request.model_, request.adapter_);
}

bool is_eligible(const engine_state& engine, const placement_request& request)
{
    return engine.load_.kv_total_ >= request.prompt_ + request.max_output_ && !request.excluded_.contains(engine.id_);
}

std::uint64_t tie_break_hash(std::uint64_t seed, const engine_state& engine) noexcept
{
    return XXH3_64bits_withSeed(engine.id_.get().data(), engine.id_.get().size(), seed);
}

milliseconds lowest_estimate(std::span<const candidate> candidates) noexcept
{
    return candidates.empty() ? milliseconds::max()
                              : std::ranges::min_element(candidates, {}, &candidate::first_token_)->first_token_;
}

/// Moves the candidates that a long prompt may use to the front and returns them.
std::span<candidate> candidates_for_long_prompt(std::span<candidate> candidates, std::size_t engines_of_model,
                                                std::size_t with_long_prefill)
{
    const bool half_have_long_prefill = with_long_prefill >= std::max<std::size_t>(1, engines_of_model / 2);
    if (!half_have_long_prefill)
    {
        return candidates;
    }
    const auto others = std::ranges::partition(candidates, &candidate::has_long_prefill_);
    const std::span<candidate> preferred(candidates.begin(), others.begin());
    return preferred.empty() ? candidates : preferred;
}

/// Moves the candidates that a short prompt may use to the front and returns them.
std::span<candidate> candidates_for_short_prompt(std::span<candidate> candidates)
{
    const auto others =
        std::ranges::partition(candidates, [](const candidate& each) { return !each.has_long_prefill_; });
    const std::span<candidate> without_long_prefill(candidates.begin(), others.begin());
    const std::span<candidate> with_long_prefill(others.begin(), others.end());
    const bool is_too_slow = lowest_estimate(without_long_prefill) >
                             saturating_product(lowest_estimate(with_long_prefill), max_short_prompt_slowdown);
    return without_long_prefill.empty() || is_too_slow ? candidates : without_long_prefill;
}

}  // namespace

milliseconds estimate_first_token(const engine_state& engine, const placement_request& request)
{
    return estimate_with_cached_prefix(engine, request, cached_tokens(engine, request.prefix_keys_));
}

std::optional<placement> choose_engine(std::span<const engine_state* const> engines, const placement_request& request)
{
    std::vector<candidate> candidates;
    candidates.reserve(engines.size());
    std::size_t engines_of_model = 0;
    std::size_t with_long_prefill = 0;
    // Cached blocks of the previous engine: a good first guess, since engines often cache the same system prompt.
    std::size_t blocks = 0;
    for (const engine_state* engine : engines)
    {
        if (!serves_model(*engine, request))
        {
            continue;
        }
        const bool has_long_prefill = engine->long_prefills_ > 0;
        ++engines_of_model;
        with_long_prefill += has_long_prefill ? 1 : 0;
        if (is_eligible(*engine, request))
        {
            blocks = cached_blocks(*engine, request.prefix_keys_, blocks);
            const token_count cached =
                blocks == 0 ? token_count{0} : engine->cached_prefixes_.at(request.prefix_keys_[blocks - 1]);
            candidates.push_back(
                {engine, cached, estimate_with_cached_prefix(*engine, request, cached), has_long_prefill});
        }
    }

    const bool is_long = request.prompt_ > long_prompt_threshold;
    const std::span<candidate> usable =
        is_long ? candidates_for_long_prompt(candidates, engines_of_model, with_long_prefill)
                : candidates_for_short_prompt(candidates);
    const milliseconds lowest = lowest_estimate(usable);
    if (usable.empty() || lowest == milliseconds::max())
    {
        return std::nullopt;
    }
    const auto slower =
        std::ranges::partition(usable, [limit = saturating_product(lowest, equivalence_factor)](const candidate& each) {
            return each.first_token_ <= limit;
        });
    const std::span<candidate> equivalent(usable.begin(), slower.begin());

    const std::uint64_t seed = XXH3_64bits(request.id_.get().data(), request.id_.get().size());
    const auto preference = [&](const candidate& each) {
        return std::pair{is_long && each.has_long_prefill_, tie_break_hash(seed, *each.engine_)};
    };
    const auto chosen = std::ranges::max_element(equivalent, {}, preference);
    return placement{chosen->engine_, chosen->cached_, chosen->first_token_};
}

}  // namespace cornelstall
