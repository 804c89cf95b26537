#include <algorithm>
#include <array>
#include <utility>

#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"
#include "request/plan_request.hpp"
#include "request/send_plan.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind server_chosen{1023, "server_chosen"};
constexpr event_kind send_ended{1024, "send_ended"};
constexpr event_kind engines_joined{1029, "engines_joined"};

/// Sends allowed beyond the attempts of the route, because sends that servers refuse do not count as attempts.
constexpr int additional_sends = 2;
/// The request is refused after this many plans for which an engine did not reserve the memory.
constexpr int max_refused_plans = 3;
/// A server process that has ended refuses a connection within one round trip.
constexpr milliseconds crash_check_timeout{60};

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
