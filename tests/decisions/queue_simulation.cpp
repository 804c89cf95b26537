#include "decisions/queue_simulation.hpp"

#include <algorithm>
#include <numeric>

namespace cornelstall::test
{

namespace
{

constexpr milliseconds report_interval{500};

/// An engine with its owner's queue and the delayed load report that entry VMs see.
struct simulated_engine
{
    engine_state state_;     ///< as known to the owner
    engine_state reported_;  ///< as known to the entry VMs
    engine_queue queue_;
    fake_engine engine_;
};

std::vector<simulated_request> arrivals_of(const simulation_settings& settings)
{
    std::mt19937_64 random(settings.seed_);
    std::vector<simulated_request> requests;
    for (const workload& kind : settings.workloads_)
    {
        std::exponential_distribution<double> gap(kind.per_second_ / 1000.0);
        for (double at = gap(random); at < 1000.0 * static_cast<double>(settings.duration_.count()); at += gap(random))
        {
            requests.push_back({kind, start_time + milliseconds{static_cast<std::int64_t>(at)}});
        }
    }
    std::ranges::stable_sort(requests, {}, &simulated_request::arrived_);
    return requests;
}

std::vector<simulated_engine> engines_of(const simulation_settings& settings)
{
    std::vector<simulated_engine> engines(static_cast<std::size_t>(settings.engines_));
    for (std::size_t number = 0; number < engines.size(); ++number)
    {
        simulated_engine& engine = engines[number];
        engine.state_ = sample_engine("e" + std::to_string(number), settings.slots_, settings.memory_);
        engine.state_.load_.prefill_rate_ = token_rate{20'000.0};
        engine.reported_ = engine.state_;
        engine.queue_.engine_ = engine.state_.id_;
        engine.queue_.limits_.max_bypass_ratio_ = settings.max_bypass_ratio_;
        engine.engine_ = {token_rate{20'000.0}, engine.state_.load_.decode_rate_, settings.engine_preempts_, {}, {}};
        std::ranges::for_each(settings.floors_,
                              [&](const auto& floor) { engine.queue_.ranks_[floor.first].floor_ = floor.second; });
    }
    return engines;
}

std::size_t number_of(const request_id& request)
{
    return std::stoul(request.get());
}

void report(simulated_engine& engine)
{
    engine_load& load = engine.state_.load_;
    load.running_ = static_cast<int>(engine.engine_.running_.size());
    const auto& running = engine.engine_.running_;
    load.prefill_waiting_ = token_count{static_cast<std::int64_t>(
        std::transform_reduce(running.begin(), running.end(), 0.0, std::plus{},
                              [](const fake_sequence& each) { return std::max(0.0, each.prefill_left_); }))};
    engine.state_.long_prefills_ = static_cast<int>(std::ranges::count_if(engine.queue_.grants_, [](const auto& each) {
        return each.second.prefilling_ && each.second.entry_.prompt_ > long_prompt_threshold;
    }));
    engine.reported_ = engine.state_;
}

simulated_engine& place(std::vector<simulated_engine>& engines, const simulation_settings& settings,
                        const queue_entry& entry)
{
    const std::size_t round_robin = number_of(entry.request_) % engines.size();
    if (!settings.uses_placement_)
    {
        return engines[round_robin];
    }
    std::vector<const engine_state*> reported;
    std::ranges::transform(engines, std::back_inserter(reported),
                           [](const simulated_engine& each) { return &each.reported_; });
    placement_request request = sample_request(entry.request_.get(), entry.prompt_.get());
    request.max_output_ = entry.max_output_;
    const auto chosen = choose_engine(reported, request);
    simulated_engine& engine =
        chosen ? *std::ranges::find_if(engines,
                                       [&](const simulated_engine& each) { return &each.reported_ == chosen->engine_; })
               : engines[round_robin];
    engine.reported_.tokens_sent_since_report_ += entry.uncached_;
    ++engine.reported_.requests_sent_since_report_;
    return engine;
}

void submit_arrival(std::vector<simulated_engine>& engines, const simulation_settings& settings,
                    simulated_request& request, std::size_t number)
{
    const workload& kind = request.workload_;
    queue_entry entry = sample_entry(std::to_string(number), kind.caller_, kind.rank_, kind.prompt_, kind.max_output_);
    entry.deadline_ = request.arrived_ + kind.limit_;
    entry = settings.transform_entry_(std::move(entry));
    simulated_engine& engine = place(engines, settings, entry);
    if (enqueue(engine.queue_, engine.state_, entry, request.arrived_))
    {
        request.ended_ = request.arrived_;
    }
}

/// Cancels granted requests at their time limit and releases their grants, as entry VMs do.
void cancel_at_limit(simulated_engine& engine, std::vector<simulated_request>& requests, time_point now)
{
    std::erase_if(engine.engine_.running_, [&](const fake_sequence& each) {
        simulated_request& request = requests[number_of(engine.queue_.grants_.at(each.id_).entry_.request_)];
        const bool expired = request.arrived_ + request.workload_.limit_ <= now;
        if (expired)
        {
            request.ended_ = now;
            request.cancelled_at_limit_ = true;
            (void)release(engine.queue_, each.id_, token_count{0}, now);
        }
        return expired;
    });
}

void advance(simulated_engine& engine, std::vector<simulated_request>& requests, time_point now)
{
    const fake_events events = step(engine.engine_);
    for (const grant_id& id : events.first_parts_)
    {
        requests[number_of(engine.queue_.grants_.at(id).entry_.request_)].first_part_ = now;
        mark_prefill_finished(engine.queue_, id);
    }
    for (const grant_id& id : events.finished_)
    {
        simulated_request& request = requests[number_of(engine.queue_.grants_.at(id).entry_.request_)];
        request.ended_ = now;
        request.answered_ = true;
        (void)release(engine.queue_, id, token_count{request.workload_.output_}, now);
    }
    cancel_at_limit(engine, requests, now);
    for (const removed_entry& removed : expire(engine.queue_, engine.state_, now))
    {
        requests[number_of(removed.entry_.request_)].ended_ = now;
    }
    for (const grant& given : grant_next(engine.queue_, engine.state_, now))
    {
        const simulated_request& request = requests[number_of(given.entry_.request_)];
        engine.engine_.running_.push_back({given.id_, given.priority_, static_cast<double>(request.workload_.prompt_),
                                           static_cast<double>(request.workload_.output_)});
    }
}

}  // namespace

std::vector<simulated_request> simulate(const simulation_settings& settings)
{
    std::vector<simulated_request> requests = arrivals_of(settings);
    std::vector<simulated_engine> engines = engines_of(settings);
    std::size_t next = 0;
    time_point reported_at = start_time;
    const auto is_busy = [](const simulated_engine& each) {
        return queue_length(each.queue_) > 0 || !each.queue_.grants_.empty();
    };
    for (time_point now = start_time; next < requests.size() || std::ranges::any_of(engines, is_busy);
         now += step_length)
    {
        for (; next < requests.size() && requests[next].arrived_ <= now; ++next)
        {
            submit_arrival(engines, settings, requests[next], next);
        }
        std::ranges::for_each(engines, [&](simulated_engine& each) { advance(each, requests, now); });
        if (now - reported_at >= report_interval)
        {
            std::ranges::for_each(engines, report);
            reported_at = now;
        }
    }
    return requests;
}

std::vector<simulated_request> of_rank(const std::vector<simulated_request>& requests, rank which)
{
    std::vector<simulated_request> selected;
    std::ranges::copy_if(requests, std::back_inserter(selected),
                         [&](const simulated_request& each) { return each.workload_.rank_ == which; });
    return selected;
}

milliseconds first_token_p95(const std::vector<simulated_request>& requests)
{
    std::vector<milliseconds> times;
    std::ranges::transform(requests, std::back_inserter(times), [](const simulated_request& each) {
        return each.first_part_ == time_point::max()
                   ? milliseconds::max()
                   : std::chrono::duration_cast<milliseconds>(each.first_part_ - each.arrived_);
    });
    const auto place = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 95 / 100);
    std::ranges::nth_element(times, place);
    return *place;
}

std::map<std::string, double> served_tokens(const std::vector<simulated_request>& requests,
                                            const simulation_settings& settings,
                                            const std::function<std::string(const workload&)>& key)
{
    // Excludes the warm-up, while the queue fills, and the time after the last arrival, while it empties.
    constexpr std::chrono::seconds warm_up{20};
    std::map<std::string, double> tokens;
    for (const simulated_request& request : requests)
    {
        const auto ended_at = request.ended_ - start_time;
        if (request.answered_ && ended_at >= warm_up && ended_at < settings.duration_)
        {
            tokens[key(request.workload_)] +=
                static_cast<double>(request.workload_.prompt_ + request.workload_.output_);
        }
    }
    return tokens;
}

int ended_late(const std::vector<simulated_request>& requests)
{
    return static_cast<int>(std::ranges::count_if(requests, [](const simulated_request& each) {
        return each.ended_ > each.arrived_ + each.workload_.limit_ + step_length;
    }));
}

double cancelled_at_limit_share(const std::vector<simulated_request>& requests)
{
    const auto cancelled = std::ranges::count_if(requests, &simulated_request::cancelled_at_limit_);
    const auto answered = std::ranges::count_if(requests, &simulated_request::answered_);
    return static_cast<double>(cancelled) / static_cast<double>(std::max<std::ptrdiff_t>(1, cancelled + answered));
}

}  // namespace cornelstall::test
