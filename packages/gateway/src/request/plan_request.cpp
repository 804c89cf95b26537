#include "request/plan_request.hpp"

#include <algorithm>

#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind request_waited{1031, "request_waited"};

/// A request waits for at most this share of its latency target while no engine can take it or its cost to other
/// requests exceeds its value. Then it is refused, because it would most likely miss the target.
constexpr double placement_wait_share = 0.35;
/// Shortest and longest time after which a waiting request looks for a place again when no event has woken it:
/// forecasts change as time passes.
constexpr milliseconds min_recheck_delay{10};
constexpr milliseconds max_recheck_delay{250};
/// Requests that may wait at this VM for the places of one service; each holds its message in memory.
constexpr std::size_t max_waiting = 500;
/// Prompts of at least this length compete for idle engines, shorter ones for slots.
constexpr token_count long_prompt{16'384};
/// A joint prefill is considered when a single engine needs more than this share of the latency target.
constexpr double single_engine_share = 0.5;
/// Engines that may prefill one prompt together.
constexpr std::size_t max_prefill_engines = 17;

/// Latest time for the first token, from the arrival of the request. A later one is useless: the caller has abandoned
/// the request, or the answer cannot end before the deadline.
milliseconds abandon_after(const exchange& current, const engine_work& work)
{
    const auto limit = std::chrono::duration_cast<milliseconds>(current.deadline_ - current.arrived_);
    const auto& engine = current.service_->engine_;
    const auto answer = engine ? generation_time(*engine, work.prompt_, work.answer_left_) : milliseconds{0};
    return std::max(milliseconds{1}, std::min(abandon_timeout(work.target_, work.max_gap_), limit - answer));
}

engine_work make_engine_work(exchange& current)
{
    engine_work work;
    work.key_ = make_execution_id(current.state_);
    work.prompt_ = current.parsed_request_.prompt_.value_or(token_count{0});
    work.prefill_left_ = work.prompt_;
    work.answer_left_ = current.parsed_request_.expected_output_tokens_.value_or(token_count{0});
    if (work.answer_left_ == token_count{0} && current.service_->engine_)
    {
        work.answer_left_ = current.service_->engine_->mean_output_tokens_;
    }
    if (current.parsed_request_.max_output_tokens_)
    {
        work.answer_left_ = std::min(work.answer_left_, *current.parsed_request_.max_output_tokens_);
    }
    work.priority_ = current.priority_;
    work.target_ = current.route_->latency_target_;
    work.max_gap_ = current.route_->max_event_gap_;
    work.abandon_after_ = abandon_after(current, work);
    work.late_ = current.late_;
    work.arrived_ = current.arrived_;
    work.sent_at_ = std::chrono::steady_clock::now();
    work.value_ = request_value(work.prompt_, work.answer_left_);
    if (current.organisation_)
    {
        work.organisation_ = hash_of(*current.organisation_);
    }
    return work;
}

/// True when a single engine has room for the request and is fast enough, so that no joint prefill is considered.
bool single_engine_suffices(const engine_work& work, const placement_forecast& forecast, time_point now)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - work.arrived_);
    const auto limit = single_engine_share * static_cast<double>(work.target_.count());
    return forecast.fits_ && static_cast<double>((elapsed + forecast.first_token_).count()) <= limit;
}

/// Plans a send to one engine or a joint prefill.
/// @param min_benefit benefit that the plan must exceed
/// @return nothing when no server can take the request, or when its cost to other requests exceeds its value
std::optional<send_plan> plan_send(exchange& current, const engine_work& work, execution_id hold_id, double min_benefit,
                                   time_point now)
{
    auto& state = current.state_;
    auto choice_input = make_choice_request(current);
    choice_input.work_ = work;
    choice_input.hold_id_ = hold_id;
    const bool too_large = prompt_exceeds_engine_memory(current);
    const auto choice = choose_server(state.directory_, state.fleet_load_, *current.service_, choice_input, now);
    if (choice.server_ == nullptr)
    {
        return std::nullopt;
    }
    if (current.service_->engine_ && (too_large || !single_engine_suffices(work, choice.forecast_, now)))
    {
        const auto single_engine_benefit =
            !too_large && choice.forecast_.fits_ ? std::optional(choice.forecast_.benefit_) : std::nullopt;
        auto joint = choose_joint_prefill(state.directory_, state.fleet_load_, *current.service_, choice_input,
                                          single_engine_benefit, now);
        if (joint && (current.connected_sends_ > 0 || joint->forecast_.benefit_ >= min_benefit))
        {
            const auto server = joint->parts_.front().server_;
            return send_plan{server, joint->forecast_, choice.considered_, std::move(joint->parts_), joint->starts_in_};
        }
    }
    // A request that has reached a server is continued even when its cost to other requests exceeds its value.
    if (too_large || (current.connected_sends_ == 0 && choice.forecast_.benefit_ < min_benefit))
    {
        return std::nullopt;
    }
    const auto& server = choice.server_->listed_;
    return send_plan{server, choice.forecast_, choice.considered_, {{server, work, token_count{0}}}, milliseconds{0}};
}

/// Time to the first token if the engines were idle and all of them prefilled the prompt.
milliseconds fastest_first_token(const exchange& current, const engine_work& work, std::size_t engines)
{
    if (!current.service_->engine_)
    {
        return milliseconds{0};
    }
    const auto parts = static_cast<double>(std::clamp<std::size_t>(engines, 1, max_prefill_engines));
    return milliseconds{
        static_cast<std::int64_t>(single_engine_prefill_ms(*current.service_->engine_, work.prompt_) / parts)};
}

milliseconds waited(const exchange& current, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - current.arrived_);
}

/// How the engines are used from the point of view of the request's organisation.
organisation_usage current_usage(const exchange& current, const std::vector<known_server*>& candidates,
                                 const engine_work& work)
{
    return current.service_->engine_
               ? usage_of(current.state_.fleet_load_, candidates, *current.service_->engine_, work.organisation_)
               : organisation_usage{};
}

waiting_order order_of(const exchange& current, const engine_work& work, const organisation_usage& usage)
{
    waiting_order order;
    order.priority_ = current.priority_;
    order.due_at_ = current.arrived_ + current.route_->latency_target_;
    order.value_ = work.value_;
    order.long_prompt_ = work.prompt_ >= long_prompt;
    order.share_of_fair_ = usage.share_of_fair_;
    return order;
}

/// The plan for a request and what was decided about it.
struct planned_step
{
    std::optional<send_plan> plan_;
    admission_decision decision_;
    admission_facts facts_;
    organisation_usage usage_;
    waiting_order order_;
};

/// True when the limit of a server lets this VM send before the request has to be refused.
bool can_wait_for_limit(const exchange& current, const admission_facts& facts, time_point now)
{
    const auto wait = time_until_within_limit(current.state_.directory_, current.service_->id_, current.tried_, now);
    const auto longest = facts.reached_server_ ? facts.time_left_ : facts.max_wait_ - facts.waited_;
    return wait && *wait < longest;
}

/// True when a request that a server has had can be continued after a server's pause.
bool can_wait_for_pause(const exchange& current, const admission_facts& facts, time_point now)
{
    const auto pause = time_until_pause_ends(current.state_.directory_, current.service_->id_, current.tried_, now);
    return facts.reached_server_ && pause && *pause < facts.time_left_;
}

/// True when the answer to a request that is sent according to @a plan ends before the process does.
bool is_answered_before_stop(const exchange& current, const engine_work& work, const std::optional<send_plan>& plan,
                             time_point now)
{
    const auto& state = current.state_;
    stop_facts facts;
    facts.time_left_ = remaining_time(current);
    if (state.stopping_)
    {
        facts.stop_in_ = std::chrono::duration_cast<milliseconds>(state.end_requests_at_ - now);
    }
    // Later requests come on connections that callers keep open. Another VM can take them at once, and a forecast may
    // be wrong.
    const bool came_early = current.arrived_ < state.listens_until_;
    if (came_early && is_retry_safe(current) && plan && current.service_->engine_)
    {
        facts.expected_ = plan->starts_in_ + plan->forecast_.first_token_ +
                          generation_time(*current.service_->engine_, work.prompt_, work.answer_left_);
    }
    return ends_before_stop(facts);
}

planned_step plan_step(exchange& current, const engine_hold& hold, const queue_place& place, time_point now)
{
    planned_step step;
    const auto work = make_engine_work(current);
    const auto candidates = candidate_servers(current.state_.directory_, make_choice_request(current), now);
    step.usage_ = current_usage(current, candidates, work);
    step.order_ = order_of(current, work, step.usage_);
    step.facts_.part_blocked_ = is_part_blocked(current);
    step.facts_.evacuated_ = needs_evacuated_servers(current);
    step.plan_ = step.facts_.part_blocked_ || step.facts_.evacuated_
                     ? std::nullopt
                     : plan_send(current, work, hold.key_, min_benefit_share(step.usage_) * work.value_, now);
    auto& facts = step.facts_;
    facts.waited_ = waited(current, now);
    facts.time_left_ = remaining_time(current);
    facts.max_wait_ = milliseconds{
        static_cast<std::int64_t>(static_cast<double>(current.route_->latency_target_.count()) * placement_wait_share)};
    facts.abandon_after_ = work.abandon_after_;
    facts.fastest_first_token_ = fastest_first_token(current, work, candidates.size());
    facts.caller_left_ = current.watch_->disconnected_;
    facts.reached_server_ = current.connected_sends_ > 0;
    facts.queue_full_ = place.others_waiting() >= max_waiting;
    facts.has_candidate_ =
        !candidates.empty() || can_wait_for_limit(current, facts, now) || can_wait_for_pause(current, facts, now);
    facts.has_place_ = step.plan_.has_value();
    facts.more_urgent_waits_ = place.is_behind(step.order_, now);
    facts.starts_in_ = step.plan_ ? step.plan_->starts_in_ : milliseconds{0};
    facts.ends_before_stop_ = is_answered_before_stop(current, work, step.plan_, now);
    step.decision_ = decide_admission(facts);
    return step;
}

void log_wait(const exchange& current, const planned_step& step, const queue_place& place)
{
    log_event(severity::info, request_waited, step.decision_.reason_,
              {{"request", current.parsed_request_.id_.get()},
               {"reason", step.decision_.reason_},
               {"action", step.decision_.action_ == admission_action::send ? "send" : "refuse"},
               {"waited_ms", std::to_string(step.facts_.waited_.count())},
               {"time_left_ms", std::to_string(step.facts_.time_left_.count())},
               {"fastest_ms", std::to_string(step.facts_.fastest_first_token_.count())},
               {"others_waiting", std::to_string(place.others_waiting())},
               {"slots_used", std::to_string(step.usage_.slots_used_share_)},
               {"organisation_share", std::to_string(step.usage_.share_of_fair_)},
               {"list_age_ms", std::to_string(server_list_age(current.state_).count())}});
}

/// Time after which the request looks for a place again unless an event wakes it before.
milliseconds recheck_delay(const planned_step& step)
{
    const auto& facts = step.facts_;
    auto delay = facts.has_place_ && facts.starts_in_.count() > 0 ? facts.starts_in_ : max_recheck_delay;
    if (!facts.reached_server_ && facts.waited_ < facts.max_wait_)
    {
        delay = std::min(delay, facts.max_wait_ - facts.waited_);
    }
    return std::clamp(std::min(delay, facts.time_left_), min_recheck_delay, max_recheck_delay);
}

}  // namespace

task<std::optional<send_plan>> wait_for_plan(exchange& current, engine_hold& hold)
{
    queue_place place(current.state_.wait_queues_, current.service_->id_);
    bool has_waited = false;
    while (true)
    {
        auto step = plan_step(current, hold, place, std::chrono::steady_clock::now());
        if (step.decision_.action_ != admission_action::wait)
        {
            if (has_waited || step.decision_.action_ == admission_action::refuse)
            {
                log_wait(current, step, place);
            }
            current.refused_for_stop_ = step.decision_.reason_ == stopping_reason;
            co_return step.decision_.action_ == admission_action::send ? std::move(step.plan_) : std::nullopt;
        }
        if (step.facts_.starts_in_.count() > 0)
        {
            hold_engines(current, hold, *step.plan_);
        }
        else
        {
            hold.release();
        }
        has_waited = true;
        co_await place.wait(current.state_.executor_, step.order_, recheck_delay(step));
    }
}

std::optional<send_plan> plan_without_wait(exchange& current, engine_hold& hold)
{
    const queue_place place(current.state_.wait_queues_, current.service_->id_);
    auto step = plan_step(current, hold, place, std::chrono::steady_clock::now());
    if (step.decision_.action_ == admission_action::send)
    {
        return std::move(step.plan_);
    }
    if (step.decision_.action_ == admission_action::wait && step.facts_.starts_in_.count() > 0)
    {
        hold_engines(current, hold, *step.plan_);
    }
    else
    {
        hold.release();
    }
    return std::nullopt;
}

}  // namespace cornelstall
