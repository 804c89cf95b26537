#include "replay/replay.hpp"

#include <algorithm>

#include "decisions/fake_engine.hpp"
#include "decisions/queue_samples.hpp"

namespace cornelstall::test
{

namespace
{

constexpr milliseconds report_interval{500};

struct replayed_engine
{
    engine_state state_;     ///< as known to the owner
    engine_state reported_;  ///< as known to the entry VMs
    engine_queue queue_;
    fake_engine engine_;
    bool draining_ = false;  ///< as known to the engine
    time_point drained_at_;
};

struct replay_state
{
    disabled_mechanism mechanism_ = disabled_mechanism::none;
    time_point now_ = start_time;
    std::vector<replayed_engine> engines_;
    replay_result result_;
};

replayed_request& request_of(replay_state& state, const queue_entry& entry)
{
    return state.result_.requests_.at(std::stoul(entry.request_.get()));
}

void finish_request(replay_state& state, replayed_request& ended)
{
    ended.ended_ = state.now_;
    ++ended.end_count_;
}

std::vector<replayed_engine> engines_of(const trace& recorded, disabled_mechanism mechanism)
{
    std::vector<replayed_engine> engines;
    for (const traced_engine& each : recorded.engines_)
    {
        replayed_engine engine;
        engine.state_ = sample_engine(each.id_, each.slots_, each.memory_.get());
        engine.state_.load_.prefill_rate_ = each.prefill_rate_;
        engine.state_.load_.decode_rate_ = each.decode_rate_;
        engine.reported_ = engine.state_;
        engine.queue_.engine_ = engine.state_.id_;
        // Without preemption, a running long prefill delays the prompts queued after it.
        engine.engine_ = {each.prefill_rate_, each.decode_rate_, false, {}, {}};
        if (mechanism != disabled_mechanism::floors)
        {
            std::ranges::for_each(recorded.floors_,
                                  [&](const auto& floor) { engine.queue_.ranks_[floor.first].floor_ = floor.second; });
        }
        engines.push_back(engine);
    }
    return engines;
}

replayed_engine* select_engine(replay_state& state, const queue_entry& entry)
{
    if (state.mechanism_ == disabled_mechanism::placement)
    {
        return &state.engines_.at(std::stoul(entry.request_.get()) % state.engines_.size());
    }
    std::vector<const engine_state*> reported;
    std::ranges::transform(state.engines_, std::back_inserter(reported),
                           [](const replayed_engine& each) { return &each.reported_; });
    placement_request request = sample_request(entry.request_.get(), entry.prompt_.get());
    request.max_output_ = entry.max_output_;
    const auto chosen = choose_engine(reported, request);
    if (!chosen)
    {
        return nullptr;
    }
    return &*std::ranges::find_if(state.engines_,
                                  [&](const replayed_engine& each) { return &each.reported_ == chosen->engine_; });
}

/// Selects an engine and enqueues the request there as a new attempt.
void submit(replay_state& state, std::size_t number)
{
    replayed_request& request = state.result_.requests_.at(number);
    const traced_request& traced = request.request_;
    queue_entry entry = sample_entry(std::to_string(number), traced.caller_, traced.rank_, traced.prompt_.get(),
                                     traced.max_output_.get());
    entry.attempt_ = attempt_number{static_cast<std::uint32_t>(++request.attempts_)};
    entry.deadline_ = request.deadline_;
    if (state.mechanism_ == disabled_mechanism::ranks)
    {
        entry.rank_ = rank::standard;
        entry.caller_ = caller_id{"all"};
    }
    replayed_engine* engine = select_engine(state, entry);
    if (engine == nullptr || enqueue(engine->queue_, engine->state_, entry, state.now_))
    {
        finish_request(state, request);
        return;
    }
    engine->reported_.tokens_sent_since_report_ += entry.uncached_;
    ++engine->reported_.requests_sent_since_report_;
}

/// Updates the load known to the owner and the entry VMs. The queued requests of a draining engine are resubmitted.
void report_load(replay_state& state, replayed_engine& engine)
{
    engine.state_.load_.running_ = static_cast<int>(engine.engine_.running_.size());
    double waiting = 0.0;
    std::ranges::for_each(engine.engine_.running_, [&](const fake_sequence& each) { waiting += each.prefill_left_; });
    engine.state_.load_.prefill_waiting_ = token_count{static_cast<std::int64_t>(waiting)};
    engine.state_.load_.draining_ = engine.draining_;
    engine.state_.long_prefills_ = static_cast<int>(std::ranges::count_if(engine.queue_.grants_, [](const auto& each) {
        return each.second.prefilling_ && each.second.entry_.prompt_ > long_prompt_threshold;
    }));
    engine.reported_ = engine.state_;
    if (engine.draining_)
    {
        for (const removed_entry& each : remove_all_queued(engine.queue_, refusal_reason::no_engine_ready, "draining"))
        {
            submit(state, std::stoul(each.entry_.request_.get()));
        }
    }
}

void start_request(replay_state& state, replayed_engine& engine, const grant& granted)
{
    if (engine.drained_at_ != time_point{})
    {
        state.result_.work_after_drain_[engine.state_.id_.get()] =
            std::chrono::duration_cast<milliseconds>(state.now_ - engine.drained_at_);
    }
    if (engine.draining_)
    {
        // The engine refuses the request before running it; the entry VM reports the drain and submits the request
        // again.
        (void)release(engine.queue_, granted.id_, token_count{0}, state.now_);
        report_load(state, engine);
        submit(state, std::stoul(granted.entry_.request_.get()));
        return;
    }
    const traced_request& traced = request_of(state, granted.entry_).request_;
    engine.engine_.running_.push_back({granted.id_, granted.priority_, static_cast<double>(traced.prompt_.get()),
                                       static_cast<double>(traced.output_.get())});
}

void abort_expired_requests(replay_state& state, replayed_engine& engine)
{
    std::erase_if(engine.engine_.running_, [&](const fake_sequence& each) {
        replayed_request& request = request_of(state, engine.queue_.grants_.at(each.id_).entry_);
        const bool expired = request.deadline_ <= state.now_;
        if (expired)
        {
            finish_request(state, request);
            request.cut_off_ = true;
            (void)release(engine.queue_, each.id_, token_count{0}, state.now_);
        }
        return expired;
    });
}

void advance_engine(replay_state& state, replayed_engine& engine)
{
    const fake_events events = step(engine.engine_);
    for (const grant_id& id : events.first_parts_)
    {
        request_of(state, engine.queue_.grants_.at(id).entry_).first_part_ = state.now_;
        mark_prefill_finished(engine.queue_, id);
    }
    for (const grant_id& id : events.finished_)
    {
        replayed_request& request = request_of(state, engine.queue_.grants_.at(id).entry_);
        finish_request(state, request);
        request.answered_ = true;
        (void)release(engine.queue_, id, request.request_.output_, state.now_);
    }
    abort_expired_requests(state, engine);
    for (const removed_entry& removed : expire(engine.queue_, engine.state_, state.now_))
    {
        finish_request(state, request_of(state, removed.entry_));
    }
    for (const grant& granted : grant_next(engine.queue_, engine.state_, state.now_))
    {
        start_request(state, engine, granted);
    }
}

void start_drains(replay_state& state, const trace& recorded)
{
    for (const traced_drain& each : recorded.drains_)
    {
        const auto engine =
            std::ranges::find(state.engines_, each.engine_, [](const auto& one) { return one.state_.id_.get(); });
        if (engine != state.engines_.end() && engine->drained_at_ == time_point{} &&
            start_time + each.at_ <= state.now_)
        {
            engine->drained_at_ = state.now_;
            engine->draining_ = state.mechanism_ != disabled_mechanism::drains;
        }
    }
}

}  // namespace

replay_result replay(const trace& recorded, disabled_mechanism mechanism)
{
    replay_state state;
    state.mechanism_ = mechanism;
    state.engines_ = engines_of(recorded, mechanism);
    const milliseconds extension = mechanism == disabled_mechanism::limits ? std::chrono::hours{1} : milliseconds{0};
    std::ranges::transform(recorded.requests_, std::back_inserter(state.result_.requests_),
                           [&](const traced_request& each) {
                               return replayed_request{each, start_time + each.at_ + each.time_limit_ + extension};
                           });
    std::size_t next = 0;
    time_point reported_at = start_time;
    const auto is_busy = [](const replayed_engine& each) {
        return queue_length(each.queue_) > 0 || !each.queue_.grants_.empty();
    };
    while (next < recorded.requests_.size() || std::ranges::any_of(state.engines_, is_busy))
    {
        start_drains(state, recorded);
        for (; next < recorded.requests_.size() && start_time + recorded.requests_[next].at_ <= state.now_; ++next)
        {
            submit(state, next);
        }
        std::ranges::for_each(state.engines_, [&](replayed_engine& each) { advance_engine(state, each); });
        if (state.now_ - reported_at >= report_interval)
        {
            std::ranges::for_each(state.engines_, [&](replayed_engine& each) { report_load(state, each); });
            reported_at = state.now_;
        }
        state.now_ += step_length;
    }
    return state.result_;
}

}  // namespace cornelstall::test
