#include <algorithm>
#include <stdexcept>

#include "decisions/fake_engine.hpp"
#include "decisions/queue_samples.hpp"
#include "replay/replay.hpp"

namespace cornelstall::test
{

namespace
{

/// The floor share is measured after the warm-up, in which the queues fill, and before the last arrival, after which
/// they only empty.
constexpr milliseconds warm_up{20'000};

bool matches(const replayed_request& each, const std::string& subject)
{
    return subject == "all" || subject == each.request_.caller_ || subject == to_string(each.request_.rank_);
}

std::vector<replayed_request> select_requests(const replay_result& result, const std::string& subject)
{
    std::vector<replayed_request> requests;
    std::ranges::copy_if(result.requests_, std::back_inserter(requests),
                         [&](const replayed_request& each) { return matches(each, subject); });
    if (requests.empty())
    {
        throw std::runtime_error("the trace has no request with caller or rank " + subject);
    }
    return requests;
}

double share_of(const std::vector<replayed_request>& requests, bool replayed_request::*member)
{
    return static_cast<double>(std::ranges::count_if(requests, member)) / static_cast<double>(requests.size());
}

double first_token_p95(const std::vector<replayed_request>& requests)
{
    std::vector<double> times;
    std::ranges::transform(requests, std::back_inserter(times), [](const replayed_request& each) {
        const time_point arrived = start_time + each.request_.at_;
        return std::chrono::duration<double, std::milli>(each.first_part_ - arrived).count();
    });
    const auto percentile = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 95 / 100);
    std::ranges::nth_element(times, percentile);
    return *percentile;
}

/// Returns the share of the answered tokens that rank @a subject received, divided by its configured floor.
double relative_floor_share(const trace& recorded, const replay_result& result, const std::string& subject)
{
    const time_point from = start_time + warm_up;
    const time_point to = start_time + recorded.requests_.back().at_;
    double own = 0.0;
    double total = 0.0;
    for (const replayed_request& each : result.requests_)
    {
        if (each.answered_ && each.ended_ >= from && each.ended_ < to)
        {
            const auto tokens = static_cast<double>((each.request_.prompt_ + each.request_.output_).get());
            total += tokens;
            own += matches(each, subject) ? tokens : 0.0;
        }
    }
    const auto floor =
        std::ranges::find_if(recorded.floors_, [&](const auto& each) { return to_string(each.first) == subject; });
    return floor == recorded.floors_.end() || total <= 0.0 ? 0.0 : own / total / floor->second;
}

int count_late(const std::vector<replayed_request>& requests)
{
    return static_cast<int>(std::ranges::count_if(requests, [](const replayed_request& each) {
        return each.ended_ > start_time + each.request_.at_ + each.request_.time_limit_ + step_length;
    }));
}

trace exclude_caller(trace recorded, const std::string& caller)
{
    std::erase_if(recorded.requests_, [&](const traced_request& each) { return each.caller_ == caller; });
    return recorded;
}

double work_after_drain(const replay_result& result, const std::string& engine)
{
    const auto found = result.work_after_drain_.find(engine);
    return found == result.work_after_drain_.end() ? 0.0 : static_cast<double>(found->second.count());
}

double measure(const trace& recorded, const replay_result& result, const expected_outcome& outcome)
{
    if (outcome.measure_ == "answered")
    {
        return share_of(select_requests(result, outcome.subject_), &replayed_request::answered_);
    }
    if (outcome.measure_ == "cut_off")
    {
        return share_of(select_requests(result, outcome.subject_), &replayed_request::cut_off_);
    }
    if (outcome.measure_ == "first_token_p95")
    {
        return first_token_p95(select_requests(result, outcome.subject_));
    }
    if (outcome.measure_ == "late")
    {
        return count_late(select_requests(result, outcome.subject_));
    }
    if (outcome.measure_ == "floor_kept")
    {
        return relative_floor_share(recorded, result, outcome.subject_);
    }
    if (outcome.measure_ == "work_after_drain")
    {
        return work_after_drain(result, outcome.subject_);
    }
    if (outcome.measure_ == "slowdown")
    {
        const replay_result alone =
            replay(exclude_caller(recorded, outcome.excluded_caller_), disabled_mechanism::none);
        return first_token_p95(select_requests(result, outcome.subject_)) /
               first_token_p95(select_requests(alone, outcome.subject_));
    }
    throw std::runtime_error("unknown measure " + outcome.measure_ + " (see docs/traces.md)");
}

}  // namespace

std::vector<std::string> unmet_outcomes(const trace& recorded, disabled_mechanism mechanism)
{
    const replay_result result = replay(recorded, mechanism);
    std::vector<std::string> unmet;
    if (!std::ranges::all_of(result.requests_, [](const replayed_request& each) { return each.end_count_ == 1; }))
    {
        unmet.emplace_back("ends: a request did not end exactly once");
    }
    for (const expected_outcome& each : recorded.outcomes_)
    {
        const double value = measure(recorded, result, each);
        const bool at_least = each.measure_ == "answered" || each.measure_ == "floor_kept";
        if (at_least ? value < each.bound_ : value > each.bound_)
        {
            unmet.push_back(each.measure_ + ' ' + each.subject_ + ": " + std::to_string(value) + ", bound " +
                            std::to_string(each.bound_));
        }
    }
    return unmet;
}

}  // namespace cornelstall::test
