#include <algorithm>
#include <array>
#include <utility>

#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind sent{1023, "server_chosen"};
constexpr event_kind send_ended{1024, "send_ended"};
constexpr event_kind joined{1029, "engines_joined"};
constexpr event_kind claimed_event{1030, "engines_claimed"};

/// Sends that servers refused do not count as runs; this many more are made.
constexpr int extra_sends = 2;
/// Sets of engines that may refuse memory before the request is refused.
constexpr int most_refused_plans = 3;
/// A request that would cost others more than it brings waits for this part of its goal for engines to become free;
/// then it is refused, since it could no longer be in time.
constexpr double placement_wait_share = 0.35;
constexpr milliseconds placement_retry{100};
constexpr milliseconds shortest_retry{10};
/// Prompts are read by several engines when a single one needs more than this part of the goal.
constexpr double joint_read_share = 0.5;

/// Where a request is sent, and what the engines concerned then have to do.
struct send_plan
{
    listed_server server_;
    placement_forecast forecast_;
    std::size_t considered_ = 0;
    std::vector<joint_prefill_part> parts_;  ///< the answering engine first
    milliseconds starts_in_{0};              ///< until the engines are idle
};

/// How long the caller waits for the first token. A token that comes so late that the answer does not end in time is
/// worth nothing.
milliseconds patience_of(const exchange& current, const engine_work& work)
{
    const auto limit = std::chrono::duration_cast<milliseconds>(current.deadline_ - current.arrived_);
    const auto& engine = current.service_->engine_;
    const auto answer = engine ? generation_time(*engine, work.prompt_, work.answer_left_) : milliseconds{0};
    return std::max(milliseconds{1}, std::min(abandon_timeout(work.target_, work.max_gap_), limit - answer));
}

engine_work work_of(exchange& current)
{
    engine_work work;
    work.key_ = make_execution_id(current.state_);
    work.prompt_ = current.facts_.prompt_.value_or(token_count{0});
    work.prefill_left_ = work.prompt_;
    work.answer_left_ = current.facts_.expected_output_tokens_.value_or(token_count{0});
    if (work.answer_left_ == token_count{0} && current.service_->engine_)
    {
        work.answer_left_ = current.service_->engine_->mean_output_tokens_;
    }
    if (current.facts_.max_output_tokens_)
    {
        work.answer_left_ = std::min(work.answer_left_, *current.facts_.max_output_tokens_);
    }
    work.priority_ = current.priority_;
    work.target_ = current.route_->latency_target_;
    work.max_gap_ = current.route_->max_event_gap_;
    work.abandon_after_ = patience_of(current, work);
    work.late_ = current.late_;
    work.arrived_ = current.arrived_;
    work.sent_at_ = std::chrono::steady_clock::now();
    work.value_ = request_value(work.prompt_, work.answer_left_);
    return work;
}

/// Puts the parts of a request into the load that VMs tell one another, for as long as it lives.
class load_entry
{
  public:
    load_entry(gateway_state& state, const std::vector<joint_prefill_part>& parts, execution_id key)
        : state_(state), key_(key)
    {
        const auto now = std::chrono::steady_clock::now();
        std::ranges::for_each(parts, [&](const joint_prefill_part& part) {
            add_work(state_.fleet_load_.engines_[part.server_.id_], part.work_, now);
            state_.local_work_.push_back({part.server_.id_, part.work_});
            servers_.push_back(part.server_.id_);
        });
        state_.schedule_load_report_();
    }
    load_entry(const load_entry&) = delete;
    load_entry& operator=(const load_entry&) = delete;
    load_entry(load_entry&&) = delete;
    load_entry& operator=(load_entry&&) = delete;
    ~load_entry()
    {
        std::ranges::for_each(
            servers_, [this](const server_id& server) { remove_work(state_.fleet_load_.engines_[server], key_); });
        std::erase_if(state_.local_work_, [this](const reported_work& entry) { return entry.work_.key_ == key_; });
        state_.schedule_load_report_();
    }

  private:
    gateway_state& state_;
    std::vector<server_id> servers_;
    execution_id key_;
};

/// Memory reserved for one send; released when the send is over.
class held_memory
{
  public:
    held_memory() = default;
    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;
    held_memory(held_memory&&) = delete;
    held_memory& operator=(held_memory&&) = delete;
    ~held_memory()
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

/// True when a single engine meets the goal so well that others need not help.
bool is_good_alone(const engine_work& work, const placement_forecast& forecast, time_point now)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(now - work.arrived_);
    const auto limit = joint_read_share * static_cast<double>(work.target_.count());
    return forecast.fits_ && static_cast<double>((waited + forecast.first_token_).count()) <= limit;
}

/// Engines that are kept free for a long prompt until all that it needs are idle.
struct claimed_engines
{
    execution_id key_;
    std::vector<server_id> servers_;
    std::optional<load_entry> entry_;  ///< tells the other VMs

    void release()
    {
        entry_.reset();
        servers_.clear();
    }
};

/// Claims the engines of @a plan instead of those claimed before.
void claim_engines(exchange& current, claimed_engines& claimed, const send_plan& plan)
{
    std::vector<server_id> servers;
    std::ranges::transform(plan.parts_, std::back_inserter(servers),
                           [](const joint_prefill_part& part) { return part.server_.id_; });
    std::ranges::sort(servers);
    if (servers == claimed.servers_)
    {
        return;
    }
    engine_work claim;
    claim.key_ = claimed.key_;
    claim.holds_engine_ = true;
    claim.is_helper_ = true;
    claim.value_ = 0.0;
    claim.arrived_ = current.arrived_;
    auto parts = plan.parts_;
    std::ranges::for_each(parts, [&claim](joint_prefill_part& part) { part.work_ = claim; });
    claimed.release();
    claimed.entry_.emplace(current.state_, parts, claimed.key_);
    claimed.servers_ = std::move(servers);
    log_event(severity::info, claimed_event, "engines are kept free for a long prompt",
              {{"request", current.facts_.id_.get()},
               {"engines", std::to_string(parts.size())},
               {"starts_in_ms", std::to_string(plan.starts_in_.count())}});
}

std::optional<send_plan> plan_send(exchange& current, const engine_work& work, execution_id claim, time_point now)
{
    auto& state = current.state_;
    auto wanted = choice_for(current);
    wanted.work_ = work;
    wanted.hold_id_ = claim;
    const bool too_large = exceeds_one_engine(current);
    const auto choice = choose_server(state.directory_, state.fleet_load_, *current.service_, wanted, now);
    if (choice.server_ == nullptr)
    {
        return std::nullopt;
    }
    if (current.service_->engine_ && (too_large || !is_good_alone(work, choice.forecast_, now)))
    {
        const auto alone =
            !too_large && choice.forecast_.fits_ ? std::optional(choice.forecast_.benefit_) : std::nullopt;
        auto joint = choose_joint_prefill(state.directory_, state.fleet_load_, *current.service_, wanted, alone, now);
        if (joint)
        {
            const auto server = joint->parts_.front().server_;
            return send_plan{server, joint->forecast_, choice.considered_, std::move(joint->parts_), joint->starts_in_};
        }
    }
    // A request that a server has had is not refused any more for what it costs others.
    if (too_large || (current.arrivals_ == 0 && choice.forecast_.benefit_ < 0.0))
    {
        return std::nullopt;
    }
    const auto& server = choice.server_->listed_;
    return send_plan{server, choice.forecast_, choice.considered_, {{server, work, token_count{0}}}, milliseconds{0}};
}

/// True when another server may be tried after a send that ended with @a end.
bool may_send_again(const exchange& current, send_end end)
{
    return (end == send_end::did_not_run || may_repeat(current)) &&
           current.possible_runs_ < current.route_->max_attempts_ &&
           current.sends_ < current.route_->max_attempts_ + extra_sends;
}

void log_plan(const exchange& current, const send_plan& plan)
{
    log_event(severity::info, sent, "a server was chosen",
              {{"request", current.facts_.id_.get()},
               {"server", plan.server_.id_.get()},
               {"send", std::to_string(current.sends_)},
               {"considered", std::to_string(plan.considered_)},
               {"first_token_ms", std::to_string(plan.forecast_.first_token_.count())},
               {"fits", plan.forecast_.fits_ ? "1" : "0"}});
    std::ranges::for_each(plan.parts_, [&](const joint_prefill_part& part) {
        if (part.work_.is_helper_)
        {
            log_event(severity::info, joined, "an engine reads a part of the prompt",
                      {{"request", current.facts_.id_.get()},
                       {"server", part.server_.id_.get()},
                       {"reads", std::to_string(part.work_.prefill_left_.get())},
                       {"reserved", std::to_string(part.reserved_.get())}});
        }
    });
}

void learn_from(exchange& current, const server_id& id, send_end end)
{
    auto* const server = find_server(current.state_.directory_, id);
    if (server == nullptr)
    {
        return;
    }
    if (end == send_end::answered)
    {
        record_success(*server);
    }
    else if (end == send_end::may_have_run || end == send_end::server_failed)
    {
        record_failure(*server, std::chrono::steady_clock::now());
    }
}

std::string reservation_name(const exchange& current, std::size_t part)
{
    return current.state_.settings_.name_ + "-" + std::to_string(current.running_.get()) + "-" + std::to_string(part);
}

/// Reserves the memory that @a plan needs, all or nothing, and notes the helpers for the message to the server.
/// @return false when an engine did not grant it; it is then avoided for a moment
task<bool> reserve_memory(exchange& current, const send_plan& plan, held_memory& held)
{
    current.helpers_.clear();
    for (std::size_t index = 1; index < plan.parts_.size(); ++index)
    {
        const auto& part = plan.parts_[index];
        std::string reservation;
        if (part.reserved_.get() > 0)
        {
            reservation = reservation_name(current, index);
            const auto lease =
                std::make_shared<memory_lease>(current.state_, part.server_, reservation, part.reserved_);
            const auto end = co_await begin_lease(lease);
            if (end != memory_order_result::done)
            {
                held.release();
                if (auto* const known = find_server(current.state_.directory_, part.server_.id_))
                {
                    record_full(*known, std::chrono::steady_clock::now());
                }
                co_return false;
            }
            held.add(lease);
        }
        current.helpers_.push_back({part.server_.address_, std::move(reservation)});
    }
    co_return true;
}

/// Waits for engines that can take the request.
/// @return the plan, or nothing when the request is better refused; one that a server has had waits until its time
/// limit, and a long prompt while claimed engines become idle
task<std::optional<send_plan>> await_plan(exchange& current, claimed_engines& claimed)
{
    const auto patience =
        std::chrono::duration_cast<time_point::duration>(current.route_->latency_target_ * placement_wait_share);
    const auto give_up = current.arrivals_ > 0 ? current.deadline_ : current.arrived_ + patience;
    while (true)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto work = work_of(current);
        auto plan = plan_send(current, work, claimed.key_, now);
        const bool waits = plan && plan->starts_in_.count() > 0;
        const bool over = now >= current.deadline_ || current.watch_->left_ || !has_other_server(current);
        if ((plan && !waits) || over || (!plan && now >= give_up))
        {
            co_return waits ? std::nullopt : std::move(plan);
        }
        if (waits)
        {
            claim_engines(current, claimed, *plan);
        }
        else
        {
            claimed.release();
        }
        co_await sleep_for(waits ? std::clamp(plan->starts_in_, shortest_retry, placement_retry) : placement_retry);
    }
}

/// Makes one send as @a plan says.
task<send_end> send_as_planned(exchange& current, const send_plan& plan, claimed_engines& claimed)
{
    ++current.sends_;
    current.tried_.push_back(plan.server_.id_);
    log_plan(current, plan);
    const load_entry running(current.state_, plan.parts_, current.running_);
    claimed.release();
    const auto end = co_await send_to_server(current, plan.server_, plan.forecast_);
    current.state_.metrics_.count("gateway_sends_total", {{"end", name_of(end)}});
    log_event(severity::info, send_ended, name_of(end),
              {{"request", current.facts_.id_.get()}, {"server", plan.server_.id_.get()}});
    learn_from(current, plan.server_.id_, end);
    co_return end;
}

}  // namespace

const char* name_of(send_end end)
{
    constexpr std::array<const char*, 6> names{"answered",      "did_not_run", "may_have_run",
                                               "server_failed", "broken_off",  "out_of_time"};
    return names.at(static_cast<std::size_t>(end));
}

task<send_end> try_servers(exchange& current)
{
    auto end = send_end::did_not_run;
    int refused_plans = 0;
    claimed_engines claimed;
    claimed.key_ = make_execution_id(current.state_);
    while (true)
    {
        const auto plan = co_await await_plan(current, claimed);
        const auto now = std::chrono::steady_clock::now();
        if (now >= current.deadline_)
        {
            co_return send_end::out_of_time;
        }
        if (!plan)
        {
            co_return end;
        }
        current.running_ = plan->parts_.front().work_.key_;
        held_memory held;
        const bool reserved = co_await reserve_memory(current, *plan, held);
        if (!reserved)
        {
            current.state_.metrics_.count("gateway_sends_refused_total", {{"reason", "memory"}});
            if (++refused_plans >= most_refused_plans)
            {
                co_return end;
            }
            continue;
        }
        const bool taken = std::exchange(current.repeat_taken_, false);
        if (current.arrivals_ > 0 && !taken && !take_retry(current.state_.retry_budget_, current.service_->id_, now))
        {
            current.state_.metrics_.count("gateway_retries_refused_total", {{"reason", "budget"}});
            co_return end;
        }
        end = co_await send_as_planned(current, *plan, claimed);
        const bool over = end == send_end::answered || end == send_end::broken_off || end == send_end::out_of_time;
        if (over || !may_send_again(current, end))
        {
            co_return end;
        }
    }
}

}  // namespace cornelstall
