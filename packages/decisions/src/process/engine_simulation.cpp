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

/// Tokens of the value that is added to a request's basic value of 1.
constexpr double tokens_per_value = 25000.0;
/// A generated token takes as much of an engine as this many prompt tokens.
constexpr double answer_token_weight = 10.0;
/// Spread of the forecast's error against the goal; the chance of being in time falls over this part of it.
constexpr double goal_spread = 0.15;
/// Part of a request's value that is left once its goal is missed, falling further with the delay.
constexpr double late_value = 0.2;
/// Callers abandon a stream after a pause of the longest of these: a time, times of its goal, times of its pause.
constexpr milliseconds least_patience{2000};
constexpr int patience_goals = 4;
constexpr int patience_gaps = 8;
/// A forecast ends here: no goal is longer, and an engine that needs more is the wrong one anyway.
constexpr std::chrono::seconds longest_forecast{60};
/// Losses below this chance are not counted; they would add up over the passes of a long read.
constexpr double least_loss = 0.1;
/// A request that has probably lost this part of its value to a pause is late from then on.
constexpr double certain_loss = 0.3;
/// Reads that are not confirmed this long after their pass should have ended are taken to be lost reports.
constexpr milliseconds least_overdue{150};
/// Share of a prompt that counts as unread while the engine has not shown a first token.
constexpr std::int64_t least_unread_tokens = 256;

using float_ms = std::chrono::duration<double, std::milli>;

time_point::duration duration_of_pass(double length_ms)
{
    return std::chrono::duration_cast<time_point::duration>(float_ms(length_ms));
}

/// One pass of an engine: the requests that generate make `steps_per_pass` steps, and each step reads a chunk.
struct pass
{
    double length_ms_ = 0.0;
    std::vector<execution_id> finished_reads_;
};

/// The steps of a pass that generates, without reading.
double generation_ms(const std::vector<engine_work>& work, const engine_profile& profile)
{
    std::int64_t context = 0;
    int generating = 0;
    std::ranges::for_each(work, [&](const engine_work& request) {
        // A helper that has read its part holds context for the steps of the engine that answers.
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

double reading_ms(const engine_work& request, std::int64_t tokens, const engine_profile& profile)
{
    const auto chunk = static_cast<double>(tokens);
    const auto before = static_cast<double>(request.prompt_.get() - request.prefill_left_.get());
    // Engines that read a prompt together share its pairs evenly.
    const double pairs = request.joint_prompt_.get() > 0
                             ? chunk * static_cast<double>(request.joint_prompt_.get()) / 2.0
                             : chunk * (before + chunk / 2.0);
    return chunk / profile.prefill_tokens_per_ms_ + profile.prefill_ms_per_million_token_pairs_ * pairs / 1e6;
}

/// The request whose prompt is read next in a pass that began at @a start: parts of joint prompts, then the most urgent
/// one, then the first one.
engine_work* next_reader(std::vector<engine_work>& work, time_point start)
{
    auto readers = work | std::views::filter([start](const engine_work& request) {
                       return !request.generating_ && request.prefill_left_.get() > 0 && request.sent_at_ <= start;
                   });
    const auto found = std::ranges::min_element(readers, {}, [](const engine_work& request) {
        return std::pair(request.joint_prompt_.get() == 0, request.priority_);
    });
    return found == std::ranges::end(readers) ? nullptr : &*found;
}

/// Makes one pass over @a work.
pass make_pass(std::vector<engine_work>& work, const engine_profile& profile, double pace, time_point start)
{
    pass made;
    made.length_ms_ = generation_ms(work, profile);
    const bool generates = made.length_ms_ > 0.0;
    std::ranges::for_each(work | std::views::filter(&engine_work::generating_), [&](engine_work& request) {
        request.answer_left_ -= token_count{profile.decode_steps_per_pass_};
    });
    std::int64_t room =
        static_cast<std::int64_t>(profile.prefill_chunk_tokens_) * (generates ? profile.decode_steps_per_pass_ : 1);
    while (room > 0)
    {
        engine_work* const reader = next_reader(work, start);
        if (reader == nullptr)
        {
            break;
        }
        const auto tokens = std::min(room, reader->prefill_left_.get());
        made.length_ms_ += reading_ms(*reader, tokens, profile);
        reader->prefill_left_ -= token_count{tokens};
        room -= tokens;
        if (reader->prefill_left_.get() <= 0)
        {
            made.finished_reads_.push_back(reader->key_);
        }
    }
    made.length_ms_ *= pace;
    return made;
}

/// Requests whose prompt was read to the end in @a made generate from the next pass on.
void begin_answers(std::vector<engine_work>& work, const pass& made)
{
    std::ranges::for_each(work, [&made](engine_work& request) {
        if (!request.is_helper_ && std::ranges::find(made.finished_reads_, request.key_) != made.finished_reads_.end())
        {
            request.generating_ = true;
        }
    });
}

/// The simulation of an engine's future for a forecast.
struct future
{
    std::vector<engine_work> work_;
    time_point start_;    ///< of the next pass
    double value_ = 0.0;  ///< expected of the requests whose first token has come in the simulation
    double lost_ = 0.0;   ///< value of answers that a long pass makes late
    double candidate_ms_ = 0.0;
};

/// The chance that a time forecast as @a forecast_ms exceeds @a limit.
double chance_beyond(milliseconds limit, double forecast_ms)
{
    const auto bound = static_cast<double>(limit.count());
    const double chance = 1.0 / (1.0 + std::exp((bound - forecast_ms) / (goal_spread * bound)));
    return chance < least_loss ? 0.0 : chance;
}

/// Part of a request's value that is lost when its events are @a length_ms apart: the caller gets it late, or leaves.
double pause_loss(const engine_work& request, double length_ms)
{
    const double late = request.late_ ? 0.0 : chance_beyond(request.max_gap_, length_ms) * (1.0 - late_value);
    return request.value_ * (late + chance_beyond(request.abandon_after_, length_ms) * late_value);
}

/// Advances @a ahead by one pass and counts what it brings and costs.
void simulate_pass(future& ahead, const engine_profile& profile, double pace, execution_id candidate, time_point now)
{
    const auto made = make_pass(ahead.work_, profile, pace, ahead.start_);
    const auto end = ahead.start_ + duration_of_pass(made.length_ms_);
    std::ranges::for_each(ahead.work_ | std::views::filter(&engine_work::generating_), [&](engine_work& request) {
        const double loss = pause_loss(request, made.length_ms_);
        ahead.lost_ += loss;
        request.late_ = request.late_ || loss > request.value_ * certain_loss;
    });
    begin_answers(ahead.work_, made);
    std::ranges::for_each(made.finished_reads_, [&](execution_id key) {
        const auto read = std::ranges::find(ahead.work_, key, &engine_work::key_);
        const double after = std::chrono::duration_cast<float_ms>(end - read->arrived_).count();
        ahead.value_ += expected_value(*read, after);
        if (key == candidate)
        {
            ahead.candidate_ms_ = std::chrono::duration_cast<float_ms>(end - now).count();
        }
    });
    std::erase_if(ahead.work_,
                  [](const engine_work& request) { return request.generating_ && request.answer_left_.get() <= 0; });
    ahead.start_ = end;
}

bool is_reading(const engine_work& request)
{
    return !request.generating_ && request.prefill_left_.get() > 0;
}

/// Simulates until all prompts are read.
void simulate_reads(future& ahead, const engine_profile& profile, double pace, execution_id candidate, time_point now)
{
    const auto horizon = now + longest_forecast;
    while (ahead.start_ < horizon && std::ranges::any_of(ahead.work_, is_reading))
    {
        const auto before = ahead.start_;
        simulate_pass(ahead, profile, pace, candidate, now);
        if (ahead.start_ == before)
        {
            // Nothing that is there now can be read yet, so the pass begins with the next arrival.
            ahead.start_ = now;
            std::ranges::for_each(ahead.work_,
                                  [now](engine_work& request) { request.sent_at_ = std::min(request.sent_at_, now); });
        }
    }
}

/// When the engine gets the next prompt to read after @a start.
time_point first_arrival_after(const std::vector<engine_work>& work, time_point start)
{
    auto waiting = work | std::views::filter([start](const engine_work& request) {
                       return is_reading(request) && request.sent_at_ > start;
                   });
    const auto first = std::ranges::min_element(waiting, {}, &engine_work::sent_at_);
    return first == std::ranges::end(waiting) ? time_point::max() : first->sent_at_;
}

/// The first tokens that were seen take effect for the passes that follow.
void take_first_tokens(engine_simulation& load)
{
    std::ranges::for_each(load.work_, [&load](engine_work& request) {
        if (std::ranges::find(load.first_tokens_, request.key_) != load.first_tokens_.end())
        {
            request.generating_ = true;
            request.prefill_left_ = token_count{0};
        }
    });
    load.first_tokens_.clear();
    load.pass_end_.reset();
}

/// True when the end that was seen is that of the pass before @a made, which began a little earlier than it really did.
bool is_begin_of(const engine_simulation& load, const pass& made)
{
    return load.pass_end_ && *load.pass_end_ - load.simulated_until_ < duration_of_pass(made.length_ms_) / 2;
}

/// When the pass @a made under way ended, or nothing when it has not yet. A pass whose reads are not confirmed is taken
/// to go on for a while, since what waits behind them is not read before.
std::optional<time_point> end_of_pass(const engine_simulation& load, const pass& made, time_point now)
{
    const auto length = duration_of_pass(made.length_ms_);
    const auto predicted = load.simulated_until_ + length;
    if (load.pass_end_ && *load.pass_end_ < predicted + length / 2)
    {
        return *load.pass_end_;
    }
    const bool confirmable = !made.finished_reads_.empty() && !load.pass_end_;
    const auto overdue = std::max<time_point::duration>(least_overdue, length / 2);
    return predicted + (confirmable ? overdue : time_point::duration{0}) > now ? std::nullopt
                                                                               : std::optional(predicted);
}

/// Takes over the state after a pass that ended at @a end. VMs see when a read or an answer ends, so the simulation
/// only brings requests close to their end.
void complete_pass(engine_simulation& load, const std::vector<engine_work>& next, time_point end)
{
    std::ranges::transform(next, load.work_, load.work_.begin(), [&](engine_work after, const engine_work& before) {
        const token_count least{std::min(least_unread_tokens, before.prefill_left_.get())};
        after.prefill_left_ = before.generating_ ? token_count{0} : std::max(after.prefill_left_, least);
        after.answer_left_ = std::max(after.answer_left_, token_count{1});
        return after;
    });
    load.simulated_until_ = end;
}

}  // namespace

milliseconds abandon_timeout(milliseconds target, milliseconds max_gap)
{
    return std::max({least_patience, target * patience_goals, max_gap * patience_gaps});
}

double request_value(token_count prompt, token_count answer)
{
    return 1.0 + (static_cast<double>(prompt.get()) + answer_token_weight * static_cast<double>(answer.get())) /
                     tokens_per_value;
}

double expected_value(const engine_work& request, double after_ms)
{
    const auto goal = static_cast<double>(request.target_.count());
    const double in_time = 1.0 / (1.0 + std::exp((after_ms - goal) / (goal_spread * goal)));
    const bool waits = after_ms < static_cast<double>(request.abandon_after_.count());
    const double late = waits ? late_value / (1.0 + std::max(0.0, after_ms - goal) / goal) : 0.0;
    return request.value_ * (in_time + (1.0 - in_time) * late);
}

double single_engine_prefill_ms(const engine_profile& profile, token_count prompt)
{
    engine_work alone;
    alone.prompt_ = prompt;
    alone.prefill_left_ = prompt;
    return reading_ms(alone, prompt.get(), profile);
}

token_count memory_used(const engine_simulation& load)
{
    const auto tokens = [](std::int64_t sum, const engine_work& request) {
        return sum + request.prompt_.get() + request.answer_left_.get();
    };
    return token_count{std::accumulate(load.work_.begin(), load.work_.end(), std::int64_t{0}, tokens)};
}

int slots_used(const engine_simulation& load)
{
    return static_cast<int>(std::ranges::count_if(load.work_, std::logical_not{}, &engine_work::is_helper_));
}

bool is_idle(const engine_simulation& load)
{
    return std::ranges::all_of(load.work_, &engine_work::holds_engine_);
}

bool is_held_by_other(const engine_simulation& load, execution_id own, time_point arrived)
{
    return std::ranges::any_of(load.work_, [own, arrived](const engine_work& request) {
        return request.holds_engine_ && request.key_ != own &&
               std::pair(request.arrived_, request.key_) < std::pair(arrived, own);
    });
}

milliseconds time_until_idle(const engine_simulation& load, const engine_profile& profile, double pace, time_point now)
{
    future ahead{load.work_, std::max(load.simulated_until_, now)};
    std::erase_if(ahead.work_, &engine_work::holds_engine_);
    const auto horizon = now + longest_forecast;
    while (!ahead.work_.empty() && ahead.start_ < horizon)
    {
        const auto before = ahead.start_;
        simulate_pass(ahead, profile, pace, execution_id{}, now);
        if (ahead.start_ == before)
        {
            break;  // only memory is held, whose request ends elsewhere
        }
    }
    return std::chrono::duration_cast<milliseconds>(ahead.start_ - now);
}

milliseconds generation_time(const engine_profile& profile, token_count prompt, token_count answer)
{
    const double step = profile.decode_step_ms_ + profile.decode_step_ms_per_request_ +
                        profile.decode_step_ms_per_1k_context_ * static_cast<double>(prompt.get()) / 1000.0;
    return milliseconds{static_cast<std::int64_t>(step * static_cast<double>(answer.get()))};
}

void advance(engine_simulation& load, const engine_profile& profile, double pace, time_point now)
{
    while (!load.work_.empty())
    {
        if (load.pass_end_ && *load.pass_end_ <= load.simulated_until_)
        {
            take_first_tokens(load);
        }
        auto next = load.work_;
        const auto made = make_pass(next, profile, pace, load.simulated_until_);
        if (made.length_ms_ <= 0.0)
        {
            take_first_tokens(load);
            // The engine is idle, as one that only holds memory is, until the next request arrives.
            load.simulated_until_ = std::min(now, first_arrival_after(load.work_, load.simulated_until_));
            if (load.simulated_until_ == now)
            {
                break;
            }
            continue;
        }
        const auto end = end_of_pass(load, made, now);
        if (!end)
        {
            break;
        }
        if (*end == load.pass_end_ && is_begin_of(load, made))
        {
            load.simulated_until_ = *end;
        }
        else
        {
            complete_pass(load, next, *end);
        }
        if (*end == load.pass_end_)
        {
            take_first_tokens(load);
        }
    }
    if (load.work_.empty())
    {
        take_first_tokens(load);
        load.simulated_until_ = now;
    }
}

void add_work(engine_simulation& load, engine_work added, time_point now)
{
    if (load.work_.empty())
    {
        load.simulated_until_ = now;
    }
    load.work_.push_back(added);
}

void record_first_token(engine_simulation& load, execution_id key, time_point now)
{
    load.first_tokens_.push_back(key);
    record_pass_end(load, now);
}

void record_pass_end(engine_simulation& load, time_point now)
{
    load.pass_end_ = now;
}

void record_part_prefilled(engine_simulation& load, execution_id key)
{
    const auto found = std::ranges::find(load.work_, key, &engine_work::key_);
    if (found != load.work_.end())
    {
        found->prefill_left_ = token_count{0};
    }
}

void remove_work(engine_simulation& load, execution_id key)
{
    std::erase_if(load.work_, [key](const engine_work& request) { return request.key_ == key; });
}

std::optional<double> decode_pass_ms(const engine_simulation& load, const engine_profile& profile)
{
    const double length = generation_ms(load.work_, profile);
    if (length <= 0.0 || std::ranges::any_of(load.work_, is_reading))
    {
        return std::nullopt;
    }
    return length;
}

placement_forecast forecast_placement(const engine_simulation& load, const engine_profile& profile, double pace,
                                      const engine_work& candidate, time_point now)
{
    future without{load.work_, load.simulated_until_};
    if (!without.work_.empty())
    {
        // The candidate comes too late for the pass that is under way.
        simulate_pass(without, profile, pace, candidate.key_, now);
    }
    // A pass that is overdue is expected to take half as long again.
    without.start_ =
        without.start_ < now && !load.work_.empty() ? now + (now - without.start_) / 2 : std::max(without.start_, now);
    future with = without;
    with.work_.push_back(candidate);
    with.work_.back().sent_at_ = now;
    simulate_reads(without, profile, pace, candidate.key_, now);
    simulate_reads(with, profile, pace, candidate.key_, now);
    placement_forecast result;
    result.first_token_ = milliseconds{static_cast<std::int64_t>(with.candidate_ms_)};
    result.benefit_ = (with.value_ - with.lost_) - (without.value_ - without.lost_);
    const auto used = memory_used(load).get() + candidate.prompt_.get() + candidate.answer_left_.get();
    result.fits_ = slots_used(load) < profile.slots_ && used <= profile.kv_capacity_.get();
    return result;
}

}  // namespace cornelstall
