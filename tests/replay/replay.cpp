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
    engine_state state_;     ///< as the owner knows it
    engine_state reported_;  ///< as the entry VMs know it
    engine_queue queue_;
    fake_engine engine_;
    bool draining_ = false;  ///< as the engine itself knows it
    time_point drained_at_;
};

struct world
{
    left_out mechanism_ = left_out::nothing;
    time_point now_ = start_time;
    std::vector<replayed_engine> engines_;
    replay_result result_;
};

replayed_request& request_of(world& all, const queue_entry& entry)
{
    return all.result_.requests_.at(std::stoul(entry.request_.get()));
}

void end(world& all, replayed_request& ended)
{
    ended.ended_ = all.now_;
    ++ended.ends_;
}

std::vector<replayed_engine> engines_of(const trace& recorded, left_out mechanism)
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
        // Without preemption a long prefill that has begun delays the prompts behind it.
        engine.engine_ = {each.prefill_rate_, each.decode_rate_, false, {}, {}};
        if (mechanism != left_out::floors)
        {
            std::ranges::for_each(recorded.floors_,
                                  [&](const auto& floor) { engine.queue_.ranks_[floor.first].floor_ = floor.second; });
        }
        engines.push_back(engine);
    }
    return engines;
}

replayed_engine* choose(world& all, const queue_entry& entry)
{
    if (all.mechanism_ == left_out::placement)
    {
        return &all.engines_.at(std::stoul(entry.request_.get()) % all.engines_.size());
    }
    std::vector<const engine_state*> reported;
    std::ranges::transform(all.engines_, std::back_inserter(reported),
                           [](const replayed_engine& each) { return &each.reported_; });
    placement_request request = sample_request(entry.request_.get(), entry.prompt_.get());
    request.max_output_ = entry.max_output_;
    const auto chosen = choose_engine(reported, request);
    if (!chosen)
    {
        return nullptr;
    }
    return &*std::ranges::find_if(all.engines_,
                                  [&](const replayed_engine& each) { return &each.reported_ == chosen->engine_; });
}

/// Asks the owner of the chosen engine for a grant, as a new attempt.
void place(world& all, std::size_t number)
{
    replayed_request& request = all.result_.requests_.at(number);
    const traced_request& traced = request.request_;
    queue_entry entry = sample_entry(std::to_string(number), traced.caller_, traced.rank_, traced.prompt_.get(),
                                     traced.max_output_.get());
    entry.attempt_ = attempt_number{static_cast<std::uint32_t>(++request.attempts_)};
    entry.deadline_ = request.deadline_;
    if (all.mechanism_ == left_out::ranks)
    {
        entry.rank_ = rank::standard;
        entry.caller_ = caller_id{"all"};
    }
    replayed_engine* engine = choose(all, entry);
    if (engine == nullptr || enqueue(engine->queue_, engine->state_, entry, all.now_))
    {
        end(all, request);
        return;
    }
    engine->reported_.tokens_sent_since_report_ += entry.uncached_;
    ++engine->reported_.requests_sent_since_report_;
}

/// The owner polls the load; a drain returns its queue to the entry VMs, which place the requests elsewhere.
void report(world& all, replayed_engine& engine)
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
            place(all, std::stoul(each.entry_.request_.get()));
        }
    }
}

void start(world& all, replayed_engine& engine, const grant& given)
{
    if (engine.drained_at_ != time_point{})
    {
        all.result_.work_after_drain_[engine.state_.id_.get()] =
            std::chrono::duration_cast<milliseconds>(all.now_ - engine.drained_at_);
    }
    if (engine.draining_)
    {
        // The engine refuses, so the request did not run; its entry VM tells the others.
        (void)release(engine.queue_, given.id_, token_count{0}, all.now_);
        report(all, engine);
        place(all, std::stoul(given.entry_.request_.get()));
        return;
    }
    const traced_request& traced = request_of(all, given.entry_).request_;
    engine.engine_.running_.push_back({given.id_, given.priority_, static_cast<double>(traced.prompt_.get()),
                                       static_cast<double>(traced.output_.get())});
}

void cut_off_at_limit(world& all, replayed_engine& engine)
{
    std::erase_if(engine.engine_.running_, [&](const fake_sequence& each) {
        replayed_request& request = request_of(all, engine.queue_.grants_.at(each.id_).entry_);
        const bool over = request.deadline_ <= all.now_;
        if (over)
        {
            end(all, request);
            request.cut_off_ = true;
            (void)release(engine.queue_, each.id_, token_count{0}, all.now_);
        }
        return over;
    });
}

void advance(world& all, replayed_engine& engine)
{
    const fake_events events = step(engine.engine_);
    for (const grant_id& id : events.first_parts_)
    {
        request_of(all, engine.queue_.grants_.at(id).entry_).first_part_ = all.now_;
        mark_prefill_finished(engine.queue_, id);
    }
    for (const grant_id& id : events.finished_)
    {
        replayed_request& request = request_of(all, engine.queue_.grants_.at(id).entry_);
        end(all, request);
        request.answered_ = true;
        (void)release(engine.queue_, id, request.request_.output_, all.now_);
    }
    cut_off_at_limit(all, engine);
    for (const removed_entry& removed : expire(engine.queue_, engine.state_, all.now_))
    {
        end(all, request_of(all, removed.entry_));
    }
    for (const grant& given : grant_next(engine.queue_, engine.state_, all.now_))
    {
        start(all, engine, given);
    }
}

void begin_drains(world& all, const trace& recorded)
{
    for (const traced_drain& each : recorded.drains_)
    {
        const auto engine =
            std::ranges::find(all.engines_, each.engine_, [](const auto& one) { return one.state_.id_.get(); });
        if (engine != all.engines_.end() && engine->drained_at_ == time_point{} && start_time + each.at_ <= all.now_)
        {
            engine->drained_at_ = all.now_;
            engine->draining_ = all.mechanism_ != left_out::drains;
        }
    }
}

}  // namespace

replay_result replay(const trace& recorded, left_out mechanism)
{
    world all;
    all.mechanism_ = mechanism;
    all.engines_ = engines_of(recorded, mechanism);
    const milliseconds added = mechanism == left_out::limits ? std::chrono::hours{1} : milliseconds{0};
    std::ranges::transform(recorded.requests_, std::back_inserter(all.result_.requests_),
                           [&](const traced_request& each) {
                               return replayed_request{each, start_time + each.at_ + each.limit_ + added};
                           });
    std::size_t next = 0;
    time_point reported_at = start_time;
    const auto is_busy = [](const replayed_engine& each) {
        return queue_length(each.queue_) > 0 || !each.queue_.grants_.empty();
    };
    while (next < recorded.requests_.size() || std::ranges::any_of(all.engines_, is_busy))
    {
        begin_drains(all, recorded);
        for (; next < recorded.requests_.size() && start_time + recorded.requests_[next].at_ <= all.now_; ++next)
        {
            place(all, next);
        }
        std::ranges::for_each(all.engines_, [&](replayed_engine& each) { advance(all, each); });
        if (all.now_ - reported_at >= report_interval)
        {
            std::ranges::for_each(all.engines_, [&](replayed_engine& each) { report(all, each); });
            reported_at = all.now_;
        }
        all.now_ += step_length;
    }
    return all.result_;
}

}  // namespace cornelstall::test
