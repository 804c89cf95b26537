#include <algorithm>
#include <array>
#include <utility>

#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"
#include "request/send_plan.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind server_chosen{1023, "server_chosen"};
constexpr event_kind send_ended{1024, "send_ended"};
constexpr event_kind engines_joined{1029, "engines_joined"};
constexpr event_kind request_waited{1031, "request_waited"};

/// Sends allowed beyond the attempts of the route, because sends that servers refuse do not count as attempts.
constexpr int additional_sends = 2;
/// The request is refused after this many plans for which an engine did not reserve the memory.
constexpr int max_refused_plans = 3;
/// A request waits for at most this share of its latency target while no engine can take it or its cost to other
/// requests exceeds its value. Then it is refused, because it would most likely miss the target.
constexpr double placement_wait_share = 0.35;
/// A server process that has ended refuses a connection within one round trip.
constexpr milliseconds crash_check_timeout{60};
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

/// The memory reservations of one send; released by the destructor.
class memory_reservations
{
  public:
    memory_reservations() = default;
    memory_reservations(const memory_reservations&) = delete;
    memory_reservations& operator=(const memory_reservations&) = delete;
    memory_reservations(memory_reservations&&) = delete;
    memory_reservations& operator=(memory_reservations&&) = delete;
    ~memory_reservations()
    {
        release();
    }

    void add(std::shared_ptr<memory_lease> lease)
    {
        leases_.push_back(std::move(lease));
    }

    void release()
    {
        std::ranges::for_each(leases_, [](const std::shared_ptr<memory_lease>& lease) { end_lease(*lease); });
        leases_.clear();
    }

  private:
    std::vector<std::shared_ptr<memory_lease>> leases_;
};

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

/// True when another server may be tried after a send that ended with @a result.
bool may_send_again(const exchange& current, send_result result)
{
    const auto& parts = current.parsed_request_.prompt_parts_;
    const bool may_crash =
        current.part_trial_ || (current.server_crashed_ && may_crash_again(current.state_.suspect_parts_, parts));
    return (result == send_result::did_not_run || (is_retry_safe(current) && !may_crash)) &&
           current.possible_runs_ < current.route_->max_attempts_ &&
           current.sends_ < current.route_->max_attempts_ + additional_sends;
}

void log_plan(const exchange& current, const send_plan& plan)
{
    log_event(severity::info, server_chosen, "a server was chosen for the request",
              {{"request", current.parsed_request_.id_.get()},
               {"server", plan.server_.id_.get()},
               {"send", std::to_string(current.sends_)},
               {"considered", std::to_string(plan.considered_)},
               {"first_token_ms", std::to_string(plan.forecast_.first_token_.count())},
               {"fits", plan.forecast_.fits_ ? "1" : "0"},
               {"list_age_ms", std::to_string(server_list_age(current.state_).count())}});
    std::ranges::for_each(plan.parts_, [&](const joint_prefill_part& part) {
        if (part.work_.is_helper_)
        {
            log_event(severity::info, engines_joined, "an engine prefills a part of the prompt",
                      {{"request", current.parsed_request_.id_.get()},
                       {"server", part.server_.id_.get()},
                       {"reads", std::to_string(part.work_.prefill_left_.get())},
                       {"reserved", std::to_string(part.reserved_.get())}});
        }
    });
}

/// Updates what this VM has observed about the server @a id.
void record_send_result(exchange& current, const server_id& id, send_result result)
{
    auto* const server = find_server(current.state_.directory_, id);
    if (server == nullptr)
    {
        return;
    }
    if (result == send_result::answered)
    {
        record_success(*server);
    }
    else if (result == send_result::may_have_run || result == send_result::server_failed)
    {
        record_failure(*server, std::chrono::steady_clock::now());
    }
}

std::string make_reservation_id(const exchange& current, std::size_t part)
{
    return current.state_.settings_.name_ + "-" + std::to_string(current.execution_id_.get()) + "-" +
           std::to_string(part);
}

/// Reserves the memory that @a plan needs, all or nothing, and sets the helpers of the request.
/// @return false when an engine did not confirm its reservation, which is recorded as full, or has reached its limit
task<bool> reserve_memory(exchange& current, const send_plan& plan, memory_reservations& reservations)
{
    current.helpers_.clear();
    current.leases_.clear();
    for (std::size_t index = 1; index < plan.parts_.size(); ++index)
    {
        const auto& part = plan.parts_[index];
        std::string reservation;
        if (!take_from_limit(current.state_.directory_, part.server_.id_, std::chrono::steady_clock::now()))
        {
            reservations.release();
            co_return false;
        }
        if (part.reserved_.get() > 0)
        {
            reservation = make_reservation_id(current, index);
            const auto lease =
                std::make_shared<memory_lease>(current.state_, part.server_, reservation, part.reserved_);
            const auto result = co_await begin_lease(lease);
            if (result != memory_order_result::done)
            {
                reservations.release();
                if (auto* const known = find_server(current.state_.directory_, part.server_.id_))
                {
                    record_full(*known, std::chrono::steady_clock::now());
                }
                co_return false;
            }
            reservations.add(lease);
            current.leases_.push_back(lease);
        }
        current.helpers_.push_back({part.server_.address_, std::move(reservation)});
    }
    co_return true;
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
    if (is_retry_safe(current) && plan && current.service_->engine_)
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
    step.plan_ = step.facts_.part_blocked_
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
    facts.has_candidate_ = !candidates.empty() || can_wait_for_limit(current, facts, now);
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

/// Waits until engines can take the request, in the order of the wait queue.
/// @return the plan, or nothing when the request is to be refused
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

/// Finds out whether the server of a send that was lost without an answer has ended, which is held against the parts of
/// the prompt.
task<> check_for_crash(exchange& current, listed_server server, time_point sent_at)
{
    const bool ended = co_await refuses_connections(current.state_.executor_, server.address_.get(),
                                                    std::chrono::steady_clock::now() + crash_check_timeout);
    current.server_crashed_ = ended;
    if (ended)
    {
        record_server_crash(current.state_, server, current.parsed_request_.prompt_parts_, sent_at);
    }
}

/// Sends the request once according to @a plan.
task<send_result> execute_plan(exchange& current, const send_plan& plan, engine_hold& hold)
{
    ++current.sends_;
    current.tried_.push_back(plan.server_.id_);
    log_plan(current, plan);
    const load_registration registration(current.state_, plan.parts_, current.execution_id_);
    hold.release();
    current.lost_unanswered_ = false;
    current.server_crashed_ = false;
    const auto sent_at = std::chrono::steady_clock::now();
    const auto result = co_await send_to_server(current, plan.server_, plan.forecast_);
    const bool may_have_crashed = result == send_result::may_have_run && current.lost_unanswered_;
    if (may_have_crashed && !current.parsed_request_.prompt_parts_.empty())
    {
        co_await check_for_crash(current, plan.server_, sent_at);
    }
    current.state_.metrics_.count("gateway_sends_total", {{"end", name_of(result)}});
    log_event(severity::info, send_ended, name_of(result),
              {{"request", current.parsed_request_.id_.get()}, {"server", plan.server_.id_.get()}});
    record_send_result(current, plan.server_.id_, result);
    co_return result;
}

}  // namespace

const char* name_of(send_result result)
{
    constexpr std::array<const char*, 6> names{"answered",      "did_not_run", "may_have_run",
                                               "server_failed", "broken_off",  "out_of_time"};
    return names.at(static_cast<std::size_t>(result));
}

task<send_result> try_servers(exchange& current)
{
    auto result = send_result::did_not_run;
    int refused_plans = 0;
    engine_hold hold;
    hold.key_ = make_execution_id(current.state_);
    while (true)
    {
        const auto plan = co_await wait_for_plan(current, hold);
        const auto now = std::chrono::steady_clock::now();
        if (remaining_time(current).count() <= 0)
        {
            co_return send_result::out_of_time;
        }
        if (!plan)
        {
            co_return result;
        }
        current.execution_id_ = plan->parts_.front().work_.key_;
        memory_reservations reservations;
        const bool reserved = co_await reserve_memory(current, *plan, reservations);
        if (!reserved)
        {
            current.state_.metrics_.count("gateway_sends_refused_total", {{"reason", "memory"}});
            if (++refused_plans >= max_refused_plans)
            {
                co_return result;
            }
            continue;
        }
        const bool retry_reserved = std::exchange(current.retry_reserved_, false);
        if (current.connected_sends_ > 0 && !retry_reserved &&
            !take_retry(current.state_.retry_budget_, current.service_->id_, now))
        {
            current.state_.metrics_.count("gateway_retries_refused_total", {{"reason", "budget"}});
            co_return result;
        }
        result = co_await execute_plan(current, *plan, hold);
        const bool must_stop =
            result == send_result::answered || result == send_result::broken_off || result == send_result::out_of_time;
        if (must_stop || !may_send_again(current, result))
        {
            co_return result;
        }
    }
}

}  // namespace cornelstall
