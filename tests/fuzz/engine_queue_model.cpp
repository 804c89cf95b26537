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
/// Longer than every time limit and segment hold, so that nothing may be held afterwards.
constexpr std::chrono::minutes settling_time{10};

/// One attempt of a request as its entry VM knows it.
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

struct fleet
{
    wrong_owner owner_ = wrong_owner::none;
    time_point now_ = start_time;
    std::array<owned_engine, 2> engines_;
    std::vector<attempt_record> attempts_;
    run_result result_;
};

void require(fleet& all, bool holds, violation which)
{
    if (!holds)
    {
        all.result_.violations_.insert(which);
    }
}

attempt_record& record_of(fleet& all, const queue_entry& entry)
{
    return *std::ranges::find_if(all.attempts_, [&](const attempt_record& each) {
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

void end(fleet& all, attempt_record& ended)
{
    ++ended.ends_;
    require(all, ended.ends_ == 1, violation::not_one_end);
}

void place(fleet& all, attempt_record& placed)
{
    owned_engine& engine = all.engines_.at(placed.engine_);
    queue_entry entry = placed.entry_;
    if (all.owner_ == wrong_owner::deadline_ignored)
    {
        entry.deadline_ += std::chrono::hours{1};
    }
    if (enqueue(engine.queue_, engine.state_, entry, all.now_))
    {
        end(all, placed);
    }
}

void submit(fleet& all, const command& given, bool no_wait)
{
    attempt_record submitted;
    submitted.entry_ = sample_entry(std::to_string(all.attempts_.size()), std::to_string(given.caller_),
                                    all_ranks.at(static_cast<std::size_t>(given.rank_)), given.prompt_, given.output_);
    submitted.entry_.deadline_ = all.now_ + milliseconds{given.time_ms_};
    submitted.entry_.no_wait_ = no_wait;
    submitted.engine_ = given.target_ % all.engines_.size();
    all.attempts_.push_back(submitted);
    place(all, all.attempts_.back());
}

void check_memory(fleet& all, std::size_t number)
{
    std::int64_t tokens = 0;
    int running = 0;
    for (const attempt_record& each : all.attempts_)
    {
        if (is_running(each) && each.engine_ == number)
        {
            tokens += (each.entry_.prompt_ + each.entry_.max_output_).get();
            ++running;
        }
    }
    require(all, tokens <= memory && running <= slots, violation::memory_exceeded);
}

void grant_waiting(fleet& all, std::size_t number)
{
    owned_engine& engine = all.engines_.at(number);
    engine_state seen = engine.state_;
    if (all.owner_ == wrong_owner::memory_doubled)
    {
        seen.load_.kv_total_ = token_count{2 * memory};
    }
    if (all.owner_ == wrong_owner::drain_unseen)
    {
        seen.load_.draining_ = false;
    }
    for (const grant& given : grant_next(engine.queue_, seen, all.now_))
    {
        attempt_record& granted = record_of(all, given.entry_);
        require(all, is_waiting(granted) && granted.engine_ == number, violation::not_one_end);
        require(all, all.now_ < granted.entry_.deadline_, violation::late_grant);
        require(all, !engine.state_.load_.draining_, violation::granted_while_leaving);
        granted.granted_ = true;
        ++all.result_.granted_;
        granted.announced_ = given;
    }
    check_memory(all, number);
}

void release_one(fleet& all, attempt_record& running, std::int64_t used)
{
    if (all.owner_ != wrong_owner::release_forgets)
    {
        engine_queue& queue = all.engines_.at(running.engine_).queue_;
        require(all, try_release(queue, running.announced_.id_, used, all.now_), violation::capacity_lost);
    }
    end(all, running);
}

void expire_waiting(fleet& all, std::size_t number)
{
    owned_engine& engine = all.engines_.at(number);
    if (all.owner_ != wrong_owner::expiry_does_nothing)
    {
        for (const removed_entry& removed : expire(engine.queue_, engine.state_, all.now_))
        {
            end(all, record_of(all, removed.entry_));
            ++all.result_.removed_;
        }
    }
    const bool overdue = std::ranges::any_of(all.attempts_, [&](const attempt_record& each) {
        return is_waiting(each) && each.engine_ == number && each.entry_.deadline_ <= all.now_;
    });
    require(all, !overdue, violation::overdue_in_queue);
}

/// The queued requests of a draining engine go back to their entry VMs, which place a new attempt elsewhere.
void drain(fleet& all, std::size_t number)
{
    owned_engine& engine = all.engines_.at(number);
    engine.state_.load_.draining_ = true;
    if (all.owner_ == wrong_owner::drain_unseen)
    {
        return;
    }
    for (const removed_entry& removed : remove_all_queued(engine.queue_, refusal_reason::no_engine_ready, "draining"))
    {
        attempt_record& ended = record_of(all, removed.entry_);
        end(all, ended);
        ++all.result_.moved_;
        attempt_record next = ended;
        next.ends_ = 0;
        next.entry_.attempt_ = next.entry_.attempt_.next();
        next.engine_ = 1 - number;
        all.attempts_.push_back(next);
        place(all, all.attempts_.back());
    }
}

/// The owner dies with its queue: the entry VMs announce their grants, some twice, and ask again for the rest.
void change_owner(fleet& all, std::size_t number)
{
    engine_queue& queue = all.engines_.at(number).queue_;
    queue = engine_queue{};
    for (attempt_record& each : all.attempts_)
    {
        if (each.engine_ == number && is_running(each) && all.owner_ != wrong_owner::adoption_forgets)
        {
            each.announced_.prefill_rate_ = token_rate{0.0};
            each.announced_.decode_rate_ = token_rate{0.0};
            restore_grant(queue, each.announced_);
            restore_grant(queue, each.announced_);
            ++all.result_.adopted_;
        }
    }
    for (attempt_record& each : all.attempts_)
    {
        if (each.engine_ == number && is_waiting(each))
        {
            place(all, each);
        }
    }
}

/// Time passes; entry VMs cut off what runs beyond its limit.
void pass_time(fleet& all, milliseconds passed)
{
    all.now_ += passed;
    for (attempt_record& each : all.attempts_)
    {
        if (is_running(each) && each.entry_.deadline_ <= all.now_)
        {
            release_one(all, each, 0);
        }
    }
}

void apply_to_attempt(fleet& all, const command& given)
{
    if (all.attempts_.empty())
    {
        return;
    }
    attempt_record& chosen = all.attempts_.at(given.target_ % all.attempts_.size());
    engine_queue& queue = all.engines_.at(chosen.engine_).queue_;
    if (given.action_ == action::first_part && is_running(chosen))
    {
        mark_prefill_finished(queue, chosen.announced_.id_);
        chosen.announced_.prefilling_ = false;
    }
    else if (given.action_ == action::release && is_running(chosen))
    {
        release_one(all, chosen, std::min(given.output_, chosen.entry_.max_output_.get()));
    }
    else if (given.action_ == action::repeat_release && chosen.granted_ && chosen.ends_ > 0)
    {
        require(all, !try_release(queue, chosen.announced_.id_, given.output_, all.now_), violation::not_one_end);
    }
    else if (given.action_ == action::withdraw)
    {
        const bool was_waiting = all.owner_ == wrong_owner::withdrawal_forgets
                                     ? is_waiting(chosen)
                                     : withdraw(queue, chosen.entry_.request_, chosen.entry_.attempt_);
        require(all, was_waiting == is_waiting(chosen), violation::not_one_end);
        if (was_waiting)
        {
            end(all, chosen);
            ++all.result_.withdrawn_;
        }
    }
}

void apply(fleet& all, const command& given)
{
    const std::size_t number = given.target_ % all.engines_.size();
    switch (given.action_)
    {
        case action::submit:
            return submit(all, given, false);
        case action::submit_segment:
            return submit(all, given, true);
        case action::grant:
            return grant_waiting(all, number);
        case action::expire:
            return expire_waiting(all, number);
        case action::drain:
            return drain(all, number);
        case action::end_drain:
            all.engines_.at(number).state_.load_.draining_ = false;
            return;
        case action::change_owner:
            return change_owner(all, number);
        case action::pass_time:
            return pass_time(all, milliseconds{given.time_ms_});
        case action::first_part:
        case action::release:
        case action::repeat_release:
        case action::withdraw:
            return apply_to_attempt(all, given);
    }
}

/// True when one request gets the whole memory, and as many as there are slots get these.
bool has_whole_capacity(owned_engine& engine, time_point now)
{
    engine.state_.load_.draining_ = false;
    const auto fits = [&](int count, std::int64_t prompt) {
        for (int number = 0; number < count; ++number)
        {
            queue_entry entry = sample_entry("whole" + std::to_string(number), "a", rank::urgent, prompt, 1);
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

run_result run(const std::vector<command>& commands, wrong_owner owner)
{
    fleet all;
    all.owner_ = owner;
    for (std::size_t number = 0; number < all.engines_.size(); ++number)
    {
        all.engines_.at(number).state_.id_ = engine_id{std::to_string(number)};
    }
    std::ranges::for_each(commands, [&](const command& each) { apply(all, each); });
    pass_time(all, settling_time);
    for (std::size_t number = 0; number < all.engines_.size(); ++number)
    {
        expire_waiting(all, number);
        const bool whole = has_whole_capacity(all.engines_.at(number), all.now_);
        require(all, whole, violation::capacity_lost);
    }
    const bool all_ended =
        std::ranges::all_of(all.attempts_, [](const attempt_record& each) { return each.ends_ == 1; });
    require(all, all_ended, violation::not_one_end);
    return all.result_;
}

}  // namespace cornelstall::test
