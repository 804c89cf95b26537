#include "cornelstall/decisions/process/engine_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace cornelstall
{

namespace
{

/// Tokens of the value that is added to a request's basic value of 1.
constexpr double tokens_per_value = 25000.0;
/// A generated token takes as much of an engine as this many prompt tokens.
constexpr double answer_token_weight = 10.0;
/// Spread of the forecast's error against the goal; the chance of being in time falls over this part of it.
constexpr double goal_spread = 0.15;
/// Part of a request's value that is left once its goal is missed, falling further with the delay.
constexpr double late_value = 0.2;
/// A forecast ends here: no goal is longer, and an engine that needs more is the wrong one anyway.
constexpr double longest_forecast_ms = 60000.0;
/// Share of a prompt that counts as unread while the engine has not shown a first token.
constexpr std::int64_t least_unread_tokens = 256;

using float_ms = std::chrono::duration<double, std::milli>;

/// The part of a pass that generates, without reading.
double generation_ms(const std::vector<engine_work>& work, const engine_profile& profile)
{
    std::int64_t context = 0;
    int generating = 0;
    std::ranges::for_each(work | std::views::filter(&engine_work::generating_), [&](const engine_work& request) {
        context += request.prompt_.get();
        ++generating;
    });
    if (generating == 0)
    {
        return 0.0;
    }
    const double step = profile.step_ms_ + profile.step_ms_per_request_ * generating +
                        profile.step_ms_per_1k_context_ * static_cast<double>(context) / 1000.0;
    return step * profile.steps_per_pass_;
}

double reading_ms(const engine_work& request, std::int64_t tokens, const engine_profile& profile)
{
    const auto before = static_cast<double>(request.prompt_.get() - request.unread_.get());
    const auto chunk = static_cast<double>(tokens);
    const double pairs = chunk * (before + chunk / 2.0);
    return chunk / profile.read_tokens_per_ms_ + profile.read_ms_per_million_pairs_ * pairs / 1e6;
}

/// The request whose prompt is read next: the most urgent one, then the one that came first.
engine_work* next_reader(std::vector<engine_work>& work)
{
    auto readers = work | std::views::filter([](const engine_work& request) { return !request.generating_; });
    const auto found = std::ranges::min_element(readers, {}, &engine_work::priority_);
    return found == std::ranges::end(readers) ? nullptr : &*found;
}

/// Makes one pass over @a work.
/// @param finish called with each request whose prompt is read to its end, and the time since the start of the pass
/// @return the length of the pass
template <class Finish>
double make_pass(std::vector<engine_work>& work, const engine_profile& profile, double pace, Finish finish)
{
    double length = generation_ms(work, profile);
    std::ranges::for_each(work | std::views::filter(&engine_work::generating_),
                          [&](engine_work& request) { request.answer_left_ -= token_count{profile.steps_per_pass_}; });
    std::int64_t room = profile.read_chunk_tokens_;
    while (room > 0)
    {
        engine_work* const reader = next_reader(work);
        if (reader == nullptr)
        {
            break;
        }
        const auto tokens = std::min(room, reader->unread_.get());
        length += reading_ms(*reader, tokens, profile);
        reader->unread_ -= token_count{tokens};
        room -= tokens;
        if (reader->unread_.get() <= 0)
        {
            reader->generating_ = true;
            finish(*reader, length * pace);
        }
    }
    std::erase_if(work,
                  [](const engine_work& request) { return request.generating_ && request.answer_left_.get() <= 0; });
    return length * pace;
}

/// Expected value of a request whose first token comes @a after its arrival.
double expected_value(const engine_work& request, double after_ms)
{
    const auto goal = static_cast<double>(request.target_.count());
    const double in_time = 1.0 / (1.0 + std::exp((after_ms - goal) / (goal_spread * goal)));
    const double late = late_value / (1.0 + std::max(0.0, after_ms - goal) / goal);
    return request.value_ * (in_time + (1.0 - in_time) * late);
}

struct simulated_reads
{
    double value_ = 0.0;             ///< of all requests whose prompt was still to be read
    double candidate_first_ms_ = 0;  ///< until the first token of the candidate
};

simulated_reads simulate_reads(std::vector<engine_work> work, const engine_profile& profile, double pace,
                               running_key candidate, time_point now)
{
    simulated_reads result;
    double elapsed = 0.0;
    const auto read_to_the_end = [&](const engine_work& request, double at) {
        const double waited = std::chrono::duration_cast<float_ms>(now - request.arrived_).count();
        result.value_ += expected_value(request, waited + elapsed + at);
        if (request.key_ == candidate)
        {
            result.candidate_first_ms_ = elapsed + at;
        }
    };
    while (elapsed < longest_forecast_ms && next_reader(work) != nullptr)
    {
        elapsed += make_pass(work, profile, pace, read_to_the_end);
    }
    return result;
}

}  // namespace

double value_of(token_count prompt, token_count answer)
{
    return 1.0 + (static_cast<double>(prompt.get()) + answer_token_weight * static_cast<double>(answer.get())) /
                     tokens_per_value;
}

void advance(engine_schedule& load, const engine_profile& profile, double pace, time_point now)
{
    const double goal = std::chrono::duration_cast<float_ms>(now - load.simulated_until_).count();
    double elapsed = 0.0;
    // VMs remove requests when they see them end, so the simulation only moves them forward.
    std::ranges::for_each(load.work_, [&](engine_work& request) {
        request.answer_left_ = std::max(request.answer_left_, token_count{profile.steps_per_pass_ + 1});
    });
    while (elapsed < goal && !load.work_.empty())
    {
        auto next = load.work_;
        const double length = make_pass(next, profile, pace, [](const engine_work&, double) {});
        if (elapsed + length > goal || length <= 0.0)
        {
            break;
        }
        std::ranges::for_each(load.work_, [&next](engine_work& request) {
            const auto after = std::ranges::find(next, request.key_, &engine_work::key_);
            if (after == next.end())
            {
                request.answer_left_ = token_count{1};
                return;
            }
            request.answer_left_ = after->answer_left_;
            if (!request.generating_)
            {
                request.unread_ =
                    std::max(after->unread_, token_count{std::min(least_unread_tokens, request.prompt_.get())});
            }
        });
        elapsed += length;
        load.simulated_until_ += std::chrono::duration_cast<time_point::duration>(float_ms(length));
    }
    if (load.work_.empty())
    {
        load.simulated_until_ = now;
    }
}

void add_work(engine_schedule& load, engine_work added, time_point now)
{
    if (load.work_.empty())
    {
        load.simulated_until_ = now;
    }
    load.work_.push_back(added);
}

void note_first_token(engine_schedule& load, running_key key)
{
    const auto found = std::ranges::find(load.work_, key, &engine_work::key_);
    if (found != load.work_.end())
    {
        found->generating_ = true;
        found->unread_ = token_count{0};
    }
}

void remove_work(engine_schedule& load, running_key key)
{
    std::erase_if(load.work_, [key](const engine_work& request) { return request.key_ == key; });
}

placement_forecast forecast_placement(const engine_schedule& load, const engine_profile& profile, double pace,
                                      const engine_work& candidate, time_point now)
{
    const auto tokens = [](std::int64_t sum, const engine_work& request) {
        return sum + request.prompt_.get() + request.answer_left_.get();
    };
    const auto used = std::accumulate(load.work_.begin(), load.work_.end(), std::int64_t{0}, tokens);
    auto work = load.work_;
    const auto before = simulate_reads(work, profile, pace, candidate.key_, now);
    work.push_back(candidate);
    const auto after = simulate_reads(std::move(work), profile, pace, candidate.key_, now);
    placement_forecast result;
    result.first_token_ = milliseconds{static_cast<std::int64_t>(after.candidate_first_ms_)};
    result.benefit_ = after.value_ - before.value_;
    result.fits_ =
        static_cast<int>(load.work_.size()) < profile.slots_ && tokens(used, candidate) <= profile.kv_capacity_.get();
    return result;
}

}  // namespace cornelstall
