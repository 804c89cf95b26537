#include "cornelstall/decisions/process/engine_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

namespace cornelstall
{

namespace
{

/// Spread of the forecast error as a fraction of the limit; sets the width of the logistic curve for being in time.
constexpr double forecast_error_share = 0.15;
/// Fraction of the value that is left once the target is missed; it decreases further with the delay.
constexpr double late_value_share = 0.2;
/// Limit of a forecast: no target is longer, and an engine that needs more time is unsuitable.
constexpr std::chrono::seconds max_forecast{60};
/// Smaller probabilities count as 0; otherwise they would add up over the passes of a long prefill.
constexpr double min_counted_probability = 0.1;
/// A request whose expected loss from a gap exceeds this fraction of its value counts as late from then on.
constexpr double late_loss_share = 0.3;
/// When a prefill is not confirmed within this time or half of its pass, whichever is longer, after the predicted end
/// of the pass, its report is taken to be lost.
constexpr milliseconds min_confirmation_timeout{150};
/// Prompt tokens that the simulation leaves to prefill until the first token of the request is observed.
constexpr std::int64_t min_prefill_left_tokens = 256;

/// The least rest of a running answer that a forecast assumes, as a part of the mean length of answers.
constexpr std::int64_t overdue_answer_divisor = 4;

using float_ms = std::chrono::duration<double, std::milli>;

time_point::duration duration_of_pass(double length_ms)
{
    return std::chrono::duration_cast<time_point::duration>(float_ms(length_ms));
}

/// One pass of an engine: `decode_steps_per_pass_` decode steps, each of which can prefill one chunk; without a
/// generating request, the prefill of one chunk.
struct pass
{
    double length_ms_ = 0.0;
    std::vector<execution_id> finished_prefills_;
};

/// Time that the decode steps of a pass take without prefill.
double decode_ms(const std::vector<engine_work>& work, const engine_profile& profile)
{
    std::int64_t context = 0;
    int generating = 0;
    std::ranges::for_each(work, [&](const engine_work& request) {
        // A helper that has prefilled its part holds context that the decode steps of the answering engine use.
        const bool counts = request.generating_ || (request.is_helper_ && request.prefill_left_.get() <= 0);
        context += counts ? request.prompt_.get() : 0;
        generating += request.generating_ ? 1 : 0;
    });
    if (generating == 0)
    {
        return 0.0;
    }
    const double step = profile.decode_step_ms_ + profile.decode_step_ms_per_request_ * generating +
                        profile.decode_step_ms_per_1k_context_ * static_cast<double>(context) / 1000.0;
    return step * profile.decode_steps_per_pass_;
}

double prefill_ms(const engine_work& request, std::int64_t tokens, const engine_profile& profile)
{
    const auto chunk = static_cast<double>(tokens);
    const auto before = static_cast<double>(request.prompt_.get() - request.prefill_left_.get());
    // The engines of a joint prefill share the attention pairs evenly.
    const double pairs = request.joint_prompt_.get() > 0
                             ? chunk * static_cast<double>(request.joint_prompt_.get()) / 2.0
                             : chunk * (before + chunk / 2.0);
    return chunk / profile.prefill_tokens_per_ms_ + profile.prefill_ms_per_million_token_pairs_ * pairs / 1e6;
}

/// True when the engine has begun to work on the request, so that it occupies a slot.
bool occupies_slot(const engine_work& request)
{
    return !request.is_helper_ && !request.holds_engine_ &&
           (request.generating_ || request.prefill_left_ < request.prompt_);
}

/// The request whose prompt is prefilled next in a pass that began at @a start: parts of joint prefills first, then the
/// most urgent request, then the earliest. A request that the engine has not begun waits for a free slot.
engine_work* next_prefill(std::vector<engine_work>& work, const engine_profile& profile, time_point start)
{
    const bool has_slot = std::ranges::count_if(work, occupies_slot) < profile.slots_;
    auto waiting = work | std::views::filter([start, has_slot](const engine_work& request) {
                       return !request.generating_ && request.prefill_left_.get() > 0 && request.sent_at_ <= start &&
                              (has_slot || request.is_helper_ || occupies_slot(request));
                   });
    const auto found = std::ranges::min_element(waiting, {}, [](const engine_work& request) {
        return std::pair(request.joint_prompt_.get() == 0, request.priority_);
    });
    return found == std::ranges::end(waiting) ? nullptr : &*found;
}

/// Simulates one pass over @a work.
pass make_pass(std::vector<engine_work>& work, const engine_profile& profile, double slowdown, time_point start)
{
    pass simulated;
    simulated.length_ms_ = decode_ms(work, profile);
    const bool generates = simulated.length_ms_ > 0.0;
    std::ranges::for_each(work | std::views::filter(&engine_work::generating_), [&](engine_work& request) {
        request.answer_left_ -= token_count{profile.decode_steps_per_pass_};
    });
    std::int64_t prefill_budget =
        static_cast<std::int64_t>(profile.prefill_chunk_tokens_) * (generates ? profile.decode_steps_per_pass_ : 1);
    while (prefill_budget > 0)
    {
        engine_work* const next = next_prefill(work, profile, start);
        if (next == nullptr)
        {
            break;
        }
        const auto tokens = std::min(prefill_budget, next->prefill_left_.get());
        simulated.length_ms_ += prefill_ms(*next, tokens, profile);
        next->prefill_left_ -= token_count{tokens};
        prefill_budget -= tokens;
        if (next->prefill_left_.get() <= 0)
        {
            simulated.finished_prefills_.push_back(next->key_);
        }
    }
    simulated.length_ms_ *= slowdown;
    return simulated;
}

/// Requests whose prefill ended in @a simulated generate from the next pass on.
void start_generation(std::vector<engine_work>& work, const pass& simulated)
{
    std::ranges::for_each(work, [&simulated](engine_work& request) {
        if (!request.is_helper_ &&
            std::ranges::find(simulated.finished_prefills_, request.key_) != simulated.finished_prefills_.end())
        {
            request.generating_ = true;
        }
    });
}

/// The simulated future of an engine, used for a forecast.
struct engine_forecast
{
    std::vector<engine_work> work_;
    time_point start_;            ///< start of the next pass
    double value_ = 0.0;          ///< expected value of the requests whose first token falls in the simulation
    double expected_loss_ = 0.0;  ///< value that is lost through gaps in answers
    double candidate_first_token_ms_ = 0.0;
};

/// The probability that a duration forecast as @a forecast_ms exceeds @a limit.
double probability_above(milliseconds limit, double forecast_ms)
{
    const auto bound = static_cast<double>(limit.count());
    const double probability = 1.0 / (1.0 + std::exp((bound - forecast_ms) / (forecast_error_share * bound)));
    return probability < min_counted_probability ? 0.0 : probability;
}

/// The expected loss of value when events of a request are @a length_ms apart: the answer is late or the caller
/// abandons it.
double expected_gap_loss(const engine_work& request, double length_ms)
{
    const double late = request.late_ ? 0.0 : probability_above(request.max_gap_, length_ms) * (1.0 - late_value_share);
    return request.value_ * (late + probability_above(request.abandon_after_, length_ms) * late_value_share);
}

/// Advances @a forecast by one pass and adds up expected value and loss.
void simulate_pass(engine_forecast& forecast, const engine_profile& profile, double slowdown, execution_id candidate,
                   time_point now)
{
    const auto simulated = make_pass(forecast.work_, profile, slowdown, forecast.start_);
    const auto end = forecast.start_ + duration_of_pass(simulated.length_ms_);
    std::ranges::for_each(forecast.work_ | std::views::filter(&engine_work::generating_), [&](engine_work& request) {
        const double loss = expected_gap_loss(request, simulated.length_ms_);
        forecast.expected_loss_ += loss;
        request.late_ = request.late_ || loss > request.value_ * late_loss_share;
    });
    start_generation(forecast.work_, simulated);
    std::ranges::for_each(simulated.finished_prefills_, [&](execution_id key) {
        const auto finished = std::ranges::find(forecast.work_, key, &engine_work::key_);
        const double after = std::chrono::duration_cast<float_ms>(end - finished->arrived_).count();
        forecast.value_ += expected_value(*finished, after);
        if (key == candidate)
        {
            forecast.candidate_first_token_ms_ = std::chrono::duration_cast<float_ms>(end - now).count();
        }
    });
    std::erase_if(forecast.work_,
                  [](const engine_work& request) { return request.generating_ && request.answer_left_.get() <= 0; });
    forecast.start_ = end;
}

bool is_in_prefill(const engine_work& request)
{
    return !request.generating_ && request.prefill_left_.get() > 0;
}

/// Answers that are longer than expected are forecast to go on. Otherwise their slots would seem to become free with
/// the next pass, one after the other for as long as they run.
void extend_overdue_answers(std::vector<engine_work>& work, const engine_profile& profile)
{
    const token_count least{std::max<std::int64_t>(1, profile.mean_output_tokens_.get() / overdue_answer_divisor)};
    std::ranges::for_each(work | std::views::filter(&engine_work::generating_), [least](engine_work& request) {
        request.answer_left_ = std::max(request.answer_left_, least);
    });
}

/// Simulates until all prompts are prefilled.
void simulate_prefills(engine_forecast& forecast, const engine_profile& profile, double slowdown,
                       execution_id candidate, time_point now)
{
    const auto horizon = now + max_forecast;
    while (forecast.start_ < horizon && std::ranges::any_of(forecast.work_, is_in_prefill))
    {
        const auto before = forecast.start_;
        simulate_pass(forecast, profile, slowdown, candidate, now);
        if (forecast.start_ == before)
        {
            // No present request can be prefilled yet, so the pass begins with the next arrival.
            forecast.start_ = now;
            std::ranges::for_each(forecast.work_,
                                  [now](engine_work& request) { request.sent_at_ = std::min(request.sent_at_, now); });
        }
    }
}

/// The time after @a start at which the next prompt is sent to the engine, or `time_point::max()` when none is.
time_point first_arrival_after(const std::vector<engine_work>& work, time_point start)
{
    auto waiting = work | std::views::filter([start](const engine_work& request) {
                       return is_in_prefill(request) && request.sent_at_ > start;
                   });
    const auto first = std::ranges::min_element(waiting, {}, &engine_work::sent_at_);
    return first == std::ranges::end(waiting) ? time_point::max() : first->sent_at_;
}

/// Applies the observed first tokens to the following passes.
void apply_first_tokens(engine_simulation& engine)
{
    std::ranges::for_each(engine.work_, [&engine](engine_work& request) {
        if (std::ranges::find(engine.observed_first_tokens_, request.key_) != engine.observed_first_tokens_.end())
        {
            request.generating_ = true;
            request.prefill_left_ = token_count{0};
        }
    });
    engine.observed_first_tokens_.clear();
    engine.observed_pass_end_.reset();
}

/// True when the observed end belongs to the pass before @a simulated, so that @a simulated started a little later than
/// assumed.
bool is_previous_pass_end(const engine_simulation& engine, const pass& simulated)
{
    return engine.observed_pass_end_ &&
           *engine.observed_pass_end_ - engine.simulated_until_ < duration_of_pass(simulated.length_ms_) / 2;
}

/// The end of the current pass @a simulated, or nothing while it is running. A pass with unconfirmed prefills is
/// extended for a while, because the engine prefills the following requests only after them.
std::optional<time_point> end_of_pass(const engine_simulation& engine, const pass& simulated, time_point now)
{
    const auto length = duration_of_pass(simulated.length_ms_);
    const auto predicted = engine.simulated_until_ + length;
    if (engine.observed_pass_end_ && *engine.observed_pass_end_ < predicted + length / 2)
    {
        return *engine.observed_pass_end_;
    }
    const bool has_unconfirmed_prefills = !simulated.finished_prefills_.empty() && !engine.observed_pass_end_;
    const auto confirmation_timeout = std::max<time_point::duration>(min_confirmation_timeout, length / 2);
    return predicted + (has_unconfirmed_prefills ? confirmation_timeout : time_point::duration{0}) > now
               ? std::nullopt
               : std::optional(predicted);
}

/// Applies the state after a pass that ended at @a end. VMs observe when a prefill or an answer ends, so the simulation
/// only brings requests close to their end.
void complete_pass(engine_simulation& engine, const std::vector<engine_work>& next, time_point end)
{
    std::ranges::transform(next, engine.work_, engine.work_.begin(), [&](engine_work after, const engine_work& before) {
        const token_count least{std::min(min_prefill_left_tokens, before.prefill_left_.get())};
        after.prefill_left_ = before.generating_ ? token_count{0} : std::max(after.prefill_left_, least);
        after.answer_left_ = std::max(after.answer_left_, token_count{1});
        return after;
    });
    engine.simulated_until_ = end;
}

}  // namespace

double expected_value(const engine_work& request, double after_ms)
{
    const auto target = static_cast<double>(request.target_.count());
    const double in_time = 1.0 / (1.0 + std::exp((after_ms - target) / (forecast_error_share * target)));
    const bool caller_waits = after_ms < static_cast<double>(request.abandon_after_.count());
    const double late = caller_waits ? late_value_share / (1.0 + std::max(0.0, after_ms - target) / target) : 0.0;
    return request.value_ * (in_time + (1.0 - in_time) * late);
}

double single_engine_prefill_ms(const engine_profile& profile, token_count prompt)
{
    engine_work single_request;
    single_request.prompt_ = prompt;
    single_request.prefill_left_ = prompt;
    return prefill_ms(single_request, prompt.get(), profile);
}

token_count memory_used(const engine_simulation& engine)
{
    const auto tokens = [](std::int64_t sum, const engine_work& request) {
        return sum + request.prompt_.get() + request.answer_left_.get();
    };
    return token_count{std::accumulate(engine.work_.begin(), engine.work_.end(), std::int64_t{0}, tokens)};
}

int slots_used(const engine_simulation& engine)
{
    return static_cast<int>(std::ranges::count_if(engine.work_, std::logical_not{}, &engine_work::is_helper_));
}

bool is_idle(const engine_simulation& engine)
{
    return std::ranges::all_of(engine.work_, &engine_work::holds_engine_);
}

bool is_held_by_other(const engine_simulation& engine, execution_id own, time_point arrived)
{
    return std::ranges::any_of(engine.work_, [own, arrived](const engine_work& request) {
        return request.holds_engine_ && request.key_ != own &&
               std::pair(request.arrived_, request.key_) < std::pair(arrived, own);
    });
}

milliseconds time_until_idle(const engine_simulation& engine, const engine_profile& profile, double slowdown,
                             time_point now)
{
    engine_forecast forecast{engine.work_, std::max(engine.simulated_until_, now)};
    std::erase_if(forecast.work_, &engine_work::holds_engine_);
    const auto horizon = now + max_forecast;
    while (!forecast.work_.empty() && forecast.start_ < horizon)
    {
        const auto before = forecast.start_;
        simulate_pass(forecast, profile, slowdown, execution_id{}, now);
        if (forecast.start_ == before)
        {
            break;  // only helper parts remain; their memory is freed when another engine's answer ends
        }
    }
    return std::chrono::duration_cast<milliseconds>(forecast.start_ - now);
}

milliseconds generation_time(const engine_profile& profile, token_count prompt, token_count answer)
{
    const double step = profile.decode_step_ms_ + profile.decode_step_ms_per_request_ +
                        profile.decode_step_ms_per_1k_context_ * static_cast<double>(prompt.get()) / 1000.0;
    return milliseconds{static_cast<std::int64_t>(step * static_cast<double>(answer.get()))};
}

void advance(engine_simulation& engine, const engine_profile& profile, double slowdown, time_point now)
{
    while (!engine.work_.empty())
    {
        if (engine.observed_pass_end_ && *engine.observed_pass_end_ <= engine.simulated_until_)
        {
            apply_first_tokens(engine);
        }
        auto next = engine.work_;
        const auto simulated = make_pass(next, profile, slowdown, engine.simulated_until_);
        if (simulated.length_ms_ <= 0.0)
        {
            apply_first_tokens(engine);
            // The engine is idle until the next request arrives; an engine that only holds memory for the
            // answer of another engine is idle, too.
            engine.simulated_until_ = std::min(now, first_arrival_after(engine.work_, engine.simulated_until_));
            if (engine.simulated_until_ == now)
            {
                break;
            }
            continue;
        }
        const auto end = end_of_pass(engine, simulated, now);
        if (!end)
        {
            break;
        }
        if (*end == engine.observed_pass_end_ && is_previous_pass_end(engine, simulated))
        {
            engine.simulated_until_ = *end;
        }
        else
        {
            complete_pass(engine, next, *end);
        }
        if (*end == engine.observed_pass_end_)
        {
            apply_first_tokens(engine);
        }
    }
    if (engine.work_.empty())
    {
        apply_first_tokens(engine);
        engine.simulated_until_ = now;
    }
}

void add_work(engine_simulation& engine, engine_work added, time_point now)
{
    if (engine.work_.empty())
    {
        engine.simulated_until_ = now;
    }
    engine.work_.push_back(added);
}

void record_first_token(engine_simulation& engine, execution_id key, time_point now)
{
    engine.observed_first_tokens_.push_back(key);
    record_pass_end(engine, now);
}

void record_pass_end(engine_simulation& engine, time_point now)
{
    engine.observed_pass_end_ = now;
}

void record_part_prefilled(engine_simulation& engine, execution_id key)
{
    const auto found = std::ranges::find(engine.work_, key, &engine_work::key_);
    if (found != engine.work_.end())
    {
        found->prefill_left_ = token_count{0};
    }
}

void remove_work(engine_simulation& engine, execution_id key)
{
    std::erase_if(engine.work_, [key](const engine_work& request) { return request.key_ == key; });
}

std::optional<double> decode_pass_ms(const engine_simulation& engine, const engine_profile& profile)
{
    const double length = decode_ms(engine.work_, profile);
    if (length <= 0.0 || std::ranges::any_of(engine.work_, is_in_prefill))
    {
        return std::nullopt;
    }
    return length;
}

placement_forecast forecast_placement(const engine_simulation& engine, const engine_profile& profile, double slowdown,
                                      const engine_work& candidate, time_point now)
{
    engine_forecast baseline{engine.work_, engine.simulated_until_};
    extend_overdue_answers(baseline.work_, profile);
    if (!baseline.work_.empty())
    {
        // The candidate arrives too late for the current pass.
        simulate_pass(baseline, profile, slowdown, candidate.key_, now);
    }
    // An overdue pass is expected to run on for half of the time that it is already overdue.
    baseline.start_ = baseline.start_ < now && !engine.work_.empty() ? now + (now - baseline.start_) / 2
                                                                     : std::max(baseline.start_, now);
    engine_forecast with_candidate = baseline;
    with_candidate.work_.push_back(candidate);
    with_candidate.work_.back().sent_at_ = now;
    simulate_prefills(baseline, profile, slowdown, candidate.key_, now);
    simulate_prefills(with_candidate, profile, slowdown, candidate.key_, now);
    placement_forecast result;
    result.first_token_ = milliseconds{static_cast<std::int64_t>(with_candidate.candidate_first_token_ms_)};
    result.benefit_ =
        (with_candidate.value_ - with_candidate.expected_loss_) - (baseline.value_ - baseline.expected_loss_);
    const auto used = memory_used(engine).get() + candidate.prompt_.get() + candidate.answer_left_.get();
    result.fits_ = slots_used(engine) < profile.slots_ && used <= profile.kv_capacity_.get();
    return result;
}

}  // namespace cornelstall
