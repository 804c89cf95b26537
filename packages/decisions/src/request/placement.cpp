#include "cornelstall/decisions/request/placement.hpp"

#include <xxhash.h>

#include <algorithm>

#include "cornelstall/decisions/request/tokens.hpp"

namespace cornelstall
{

namespace
{

/// Engines within this factor of the lowest estimate are equals.
constexpr double near_equal_factor = 1.1;
/// A short prompt joins an engine with a long prefill only when every other engine takes more than this many times as
/// long. Without the exception short prompts would be confined to half of the engines even in an overload.
constexpr double carrier_advantage = 2.0;

struct candidate
{
    const engine_state* engine_ = nullptr;
    token_count cached_;
    milliseconds first_token_{0};
    bool carries_long_ = false;
};

milliseconds saturating_sum(milliseconds left, milliseconds right) noexcept
{
    return left > milliseconds::max() - right ? milliseconds::max() : left + right;
}

milliseconds scaled(milliseconds value, double factor) noexcept
{
    const double exact = static_cast<double>(value.count()) * factor;
    return exact >= static_cast<double>(milliseconds::max().count()) ? milliseconds::max()
                                                                     : milliseconds{static_cast<std::int64_t>(exact)};
}

/// Time until one of the engine's slots is free. Outputs of the running requests are not known here; they are taken to
/// be as long as this one's.
milliseconds slot_wait(const engine_state& engine, const placement_request& request) noexcept
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

milliseconds first_token_after(const engine_state& engine, const placement_request& request, token_count cached)
{
    const token_count uncached = std::max(token_count{0}, request.prompt_ - cached);
    const token_count ahead = engine.load_.prefill_waiting_ + engine.tokens_sent_since_report_;
    return saturating_sum(duration_of(ahead + uncached, engine.load_.prefill_rate_), slot_wait(engine, request));
}

bool serves_model(const engine_state& engine, const placement_request& request)
{
    return engine.condition_ == engine_condition::ready && !engine.load_.draining_ &&
           engine.load_.role_ == engine_role::mixed && has_model(engine, request.model_, request.adapter_);
}

bool qualifies(const engine_state& engine, const placement_request& request)
{
    return engine.load_.kv_total_ >= request.prompt_ + request.max_output_ && !request.excluded_.contains(engine.id_);
}

std::uint64_t tie_break(std::uint64_t seed, const engine_state& engine) noexcept
{
    return XXH3_64bits_withSeed(engine.id_.get().data(), engine.id_.get().size(), seed);
}

milliseconds lowest_estimate(std::span<const candidate> candidates) noexcept
{
    return candidates.empty() ? milliseconds::max()
                              : std::ranges::min_element(candidates, {}, &candidate::first_token_)->first_token_;
}

/// Puts the candidates that a long prompt may use first and returns them.
std::span<candidate> for_long_prompt(std::span<candidate> candidates, std::size_t engines_of_model,
                                     std::size_t carriers)
{
    const bool half_carry = carriers >= std::max<std::size_t>(1, engines_of_model / 2);
    if (!half_carry)
    {
        return candidates;
    }
    const auto others = std::ranges::partition(candidates, &candidate::carries_long_);
    const std::span<candidate> carrying(candidates.begin(), others.begin());
    return carrying.empty() ? candidates : carrying;
}

/// Puts the candidates that a short prompt may use first and returns them.
std::span<candidate> for_short_prompt(std::span<candidate> candidates)
{
    const auto carrying = std::ranges::partition(candidates, [](const candidate& each) { return !each.carries_long_; });
    const std::span<candidate> free(candidates.begin(), carrying.begin());
    const std::span<candidate> carriers(carrying.begin(), carrying.end());
    const bool free_is_slow = lowest_estimate(free) > scaled(lowest_estimate(carriers), carrier_advantage);
    return free.empty() || free_is_slow ? candidates : free;
}

}  // namespace

milliseconds estimate_first_token(const engine_state& engine, const placement_request& request)
{
    return first_token_after(engine, request, cached_tokens(engine, request.prefix_keys_));
}

std::optional<placement> choose_engine(std::span<const engine_state* const> engines, const placement_request& request)
{
    std::vector<candidate> candidates;
    candidates.reserve(engines.size());
    std::size_t engines_of_model = 0;
    std::size_t carriers = 0;
    std::size_t blocks = 0;  // cached on the engine before; engines often share the same system prompt
    for (const engine_state* engine : engines)
    {
        if (!serves_model(*engine, request))
        {
            continue;
        }
        const bool carries_long = engine->long_prefills_ > 0;
        ++engines_of_model;
        carriers += carries_long ? 1 : 0;
        if (qualifies(*engine, request))
        {
            blocks = cached_blocks(*engine, request.prefix_keys_, blocks);
            const token_count cached =
                blocks == 0 ? token_count{0} : engine->cached_prefixes_.at(request.prefix_keys_[blocks - 1]);
            candidates.push_back({engine, cached, first_token_after(*engine, request, cached), carries_long});
        }
    }

    const bool is_long = request.prompt_ > long_prompt_threshold;
    const std::span<candidate> usable =
        is_long ? for_long_prompt(candidates, engines_of_model, carriers) : for_short_prompt(candidates);
    const milliseconds lowest = lowest_estimate(usable);
    if (usable.empty() || lowest == milliseconds::max())
    {
        return std::nullopt;
    }
    const auto unequal = std::ranges::partition(
        usable,
        [limit = scaled(lowest, near_equal_factor)](const candidate& each) { return each.first_token_ <= limit; });
    const std::span<candidate> equals(usable.begin(), unequal.begin());

    const std::uint64_t seed = XXH3_64bits(request.id_.get().data(), request.id_.get().size());
    const auto preference = [&](const candidate& each) {
        return std::pair{is_long && each.carries_long_, tie_break(seed, *each.engine_)};
    };
    const auto chosen = std::ranges::max_element(equals, {}, preference);
    return placement{chosen->engine_, chosen->cached_, chosen->first_token_};
}

}  // namespace cornelstall
