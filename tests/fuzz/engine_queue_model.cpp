#include "fuzz/engine_queue_model.hpp"

#include <algorithm>
#include <array>
#include <ostream>
#include <string>

#include "decisions/queue_samples.hpp"

namespace cornelstall::test
{

namespace
{

constexpr int slots = 4;
constexpr std::int64_t memory = 20'000;
/// Longer than every time limit and segment hold, so that afterwards all capacity must be free.
constexpr std::chrono::minutes drain_time{10};

/// An attempt of a request as known to its entry VM.
struct attempt_record
{
    queue_entry entry_;
    std::size_t engine_ = 0;
    int ends_ = 0;
    bool granted_ = false;
    grant announced_;
};

struct owned_engine
{
    engine_state state_ = sample_engine("e", slots, memory);
    engine_queue queue_;
};

struct queue_model
{
    injected_fault fault_ = injected_fault::none;
    time_point now_ = start_time;
    std::array<owned_engine, 2> engines_;
    std::vector<attempt_record> attempts_;
    run_result result_;
};

void require(queue_model& model, bool holds, violation which)
{
    if (!holds)
    {
        model.result_.violations_.insert(which);
    }
}

attempt_record& record_of(queue_model& model, const queue_entry& entry)
{
    return *std::ranges::find_if(model.attempts_, [&](const attempt_record& each) {
        return each.entry_.request_ == entry.request_ && each.entry_.attempt_ == entry.attempt_;
    });
}

bool is_running(const attempt_record& each)
{
    return each.granted_ && each.ends_ == 0;
}

bool is_waiting(const attempt_record& each)
{
    return !each.granted_ && each.ends_ == 0;
}

void record_end(queue_model& model, attempt_record& ended)
{
    ++ended.ends_;
    require(model, ended.ends_ == 1, violation::not_ended_exactly_once);
}

void enqueue_attempt(queue_model& model, attempt_record& placed)
{
    owned_engine& engine = model.engines_.at(placed.engine_);
    queue_entry entry = placed.entry_;
    if (model.fault_ == injected_fault::deadline_ignored)
    {
        entry.deadline_ += std::chrono::hours{1};
    }
    if (enqueue(engine.queue_, engine.state_, entry, model.now_))
    {
        record_end(model, placed);
    }
}

void submit(queue_model& model, const command& given, bool no_wait)
{
    attempt_record submitted;
    submitted.entry_ = sample_entry(std::to_string(model.attempts_.size()), std::to_string(given.caller_),
                                    all_ranks.at(static_cast<std::size_t>(given.rank_)), given.prompt_, given.output_);
    submitted.entry_.deadline_ = model.now_ + milliseconds{given.time_ms_};
    submitted.entry_.no_wait_ = no_wait;
    submitted.engine_ = given.target_ % model.engines_.size();
    model.attempts_.push_back(submitted);
    enqueue_attempt(model, model.attempts_.back());
}

void check_memory(queue_model& model, std::size_t index)
{
    std::int64_t tokens = 0;
    int running = 0;
    for (const attempt_record& each : model.attempts_)
    {
        if (is_running(each) && each.engine_ == index)
        {
            tokens += (each.entry_.prompt_ + each.entry_.max_output_).get();
            ++running;
        }
    }
    require(model, tokens <= memory && running <= slots, violation::memory_exceeded);
}

void grant_waiting(queue_model& model, std::size_t index)
{
    owned_engine& engine = model.engines_.at(index);
    engine_state seen = engine.state_;
    if (model.fault_ == injected_fault::memory_doubled)
    {
        seen.load_.kv_total_ = token_count{2 * memory};
    }
    if (model.fault_ == injected_fault::drain_ignored)
    {
        seen.load_.draining_ = false;
    }
    for (const grant& given : grant_next(engine.queue_, seen, model.now_))
    {
        attempt_record& granted = record_of(model, given.entry_);
        require(model, is_waiting(granted) && granted.engine_ == index, violation::not_ended_exactly_once);
        require(model, model.now_ < granted.entry_.deadline_, violation::late_grant);
        require(model, !engine.state_.load_.draining_, violation::granted_while_draining);
        granted.granted_ = true;
        ++model.result_.granted_;
        granted.announced_ = given;
    }
    check_memory(model, index);
}

void release_one(queue_model& model, attempt_record& running, std::int64_t used)
{
    if (model.fault_ != injected_fault::release_ignored)
    {
        engine_queue& queue = model.engines_.at(running.engine_).queue_;
        require(model, try_release(queue, running.announced_.id_, used, model.now_), violation::capacity_lost);
    }
    record_end(model, running);
}

void expire_waiting(queue_model& model, std::size_t index)
{
    owned_engine& engine = model.engines_.at(index);
    if (model.fault_ != injected_fault::expiry_ignored)
    {
        for (const removed_entry& removed : expire(engine.queue_, engine.state_, model.now_))
        {
            record_end(model, record_of(model, removed.entry_));
            ++model.result_.removed_;
        }
    }
    const bool overdue = std::ranges::any_of(model.attempts_, [&](const attempt_record& each) {
        return is_waiting(each) && each.engine_ == index && each.entry_.deadline_ <= model.now_;
    });
    require(model, !overdue, violation::overdue_in_queue);
}

/// Drains an engine: its waiting requests return to their entry VMs, which start a new attempt on the other engine.
void drain(queue_model& model, std::size_t index)
{
    owned_engine& engine = model.engines_.at(index);
    engine.state_.load_.draining_ = true;
    if (model.fault_ == injected_fault::drain_ignored)
    {
        return;
    }
    for (const removed_entry& removed : remove_all_queued(engine.queue_, refusal_reason::no_engine_ready, "draining"))
    {
        attempt_record& ended = record_of(model, removed.entry_);
        record_end(model, ended);
        ++model.result_.requeued_;
        attempt_record next = ended;
        next.ends_ = 0;
        next.entry_.attempt_ = next.entry_.attempt_.next();
        next.engine_ = 1 - index;
        model.attempts_.push_back(next);
        enqueue_attempt(model, model.attempts_.back());
    }
}

/// Replaces an owner and its queue: the entry VMs announce their running grants twice and enqueue waiting requests
/// again.
void change_owner(queue_model& model, std::size_t index)
{
    engine_queue& queue = model.engines_.at(index).queue_;
    queue = engine_queue{};
    for (attempt_record& each : model.attempts_)
    {
        if (each.engine_ == index && is_running(each) && model.fault_ != injected_fault::grants_not_restored)
        {
            each.announced_.prefill_rate_ = token_rate{0.0};
            each.announced_.decode_rate_ = token_rate{0.0};
            restore_grant(queue, each.announced_);
            restore_grant(queue, each.announced_);
            ++model.result_.restored_;
        }
    }
    for (attempt_record& each : model.attempts_)
    {
        if (each.engine_ == index && is_waiting(each))
        {
            enqueue_attempt(model, each);
        }
    }
}

/// Advances the time; entry VMs cancel running requests at their time limit.
void pass_time(queue_model& model, milliseconds passed)
{
    model.now_ += passed;
    for (attempt_record& each : model.attempts_)
    {
        if (is_running(each) && each.entry_.deadline_ <= model.now_)
        {
            release_one(model, each, 0);
        }
    }
}

void apply_to_attempt(queue_model& model, const command& given)
{
    if (model.attempts_.empty())
    {
        return;
    }
    attempt_record& chosen = model.attempts_.at(given.target_ % model.attempts_.size());
    engine_queue& queue = model.engines_.at(chosen.engine_).queue_;
    if (given.action_ == action::first_part && is_running(chosen))
    {
        mark_prefill_finished(queue, chosen.announced_.id_);
        chosen.announced_.prefilling_ = false;
    }
    else if (given.action_ == action::release && is_running(chosen))
    {
        release_one(model, chosen, std::min(given.output_, chosen.entry_.max_output_.get()));
    }
    else if (given.action_ == action::repeat_release && chosen.granted_ && chosen.ends_ > 0)
    {
        require(model, !try_release(queue, chosen.announced_.id_, given.output_, model.now_),
                violation::not_ended_exactly_once);
    }
    else if (given.action_ == action::withdraw)
    {
        const bool withdrawn = model.fault_ == injected_fault::withdrawal_ignored
                                   ? is_waiting(chosen)
                                   : withdraw(queue, chosen.entry_.request_, chosen.entry_.attempt_);
        require(model, withdrawn == is_waiting(chosen), violation::not_ended_exactly_once);
        if (withdrawn)
        {
            record_end(model, chosen);
            ++model.result_.withdrawn_;
        }
    }
}

void apply(queue_model& model, const command& given)
{
    const std::size_t index = given.target_ % model.engines_.size();
    switch (given.action_)
    {
        case action::submit:
            return submit(model, given, false);
        case action::submit_segment:
            return submit(model, given, true);
        case action::grant:
            return grant_waiting(model, index);
        case action::expire:
            return expire_waiting(model, index);
        case action::drain:
            return drain(model, index);
        case action::end_drain:
            model.engines_.at(index).state_.load_.draining_ = false;
            return;
        case action::change_owner:
            return change_owner(model, index);
        case action::pass_time:
            return pass_time(model, milliseconds{given.time_ms_});
        case action::first_part:
        case action::release:
        case action::repeat_release:
        case action::withdraw:
            return apply_to_attempt(model, given);
    }
}

/// True when a request that needs all of the memory is granted, and then one request per slot.
bool has_full_capacity(owned_engine& engine, time_point now)
{
    engine.state_.load_.draining_ = false;
    const auto fits = [&](int count, std::int64_t prompt) {
        for (int index = 0; index < count; ++index)
        {
            queue_entry entry = sample_entry("capacity" + std::to_string(index), "a", rank::urgent, prompt, 1);
            entry.deadline_ = now + std::chrono::hours{1};
            (void)enqueue(engine.queue_, engine.state_, entry, now);
        }
        const auto granted = grant_next(engine.queue_, engine.state_, now);
        return static_cast<int>(granted.size()) == count && std::ranges::all_of(granted, [&](const grant& each) {
                   return try_release(engine.queue_, each.id_, 1, now);
               });
    };
    return fits(1, memory - 1) && fits(slots, 1);
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const command& shown)
{
    constexpr std::array names{"submit",   "submit_segment", "grant", "first_part", "release",      "repeat_release",
                               "withdraw", "expire",         "drain", "end_drain",  "change_owner", "pass_time"};
    return out << names.at(static_cast<std::size_t>(shown.action_)) << "(target " << shown.target_ << ", prompt "
               << shown.prompt_ << ", output " << shown.output_ << ", " << shown.time_ms_ << " ms, rank " << shown.rank_
               << ", caller " << shown.caller_ << ')';
}

run_result run(const std::vector<command>& commands, injected_fault fault)
{
    queue_model model;
    model.fault_ = fault;
    for (std::size_t index = 0; index < model.engines_.size(); ++index)
    {
        model.engines_.at(index).state_.id_ = engine_id{std::to_string(index)};
    }
    std::ranges::for_each(commands, [&](const command& each) { apply(model, each); });
    pass_time(model, drain_time);
    for (std::size_t index = 0; index < model.engines_.size(); ++index)
    {
        expire_waiting(model, index);
        const bool full_capacity = has_full_capacity(model.engines_.at(index), model.now_);
        require(model, full_capacity, violation::capacity_lost);
    }
    const bool all_ended =
        std::ranges::all_of(model.attempts_, [](const attempt_record& each) { return each.ends_ == 1; });
    require(model, all_ended, violation::not_ended_exactly_once);
    return model.result_;
}

}  // namespace cornelstall::test
