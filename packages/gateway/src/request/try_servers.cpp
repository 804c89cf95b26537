#include <algorithm>
#include <array>
#include <utility>

#include "connection/answer_reader.hpp"
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
constexpr event_kind server_silent{1034, "server_silent"};

/// Sends allowed beyond the attempts of the route, because sends that servers refuse do not count as attempts.
constexpr int additional_sends = 2;
/// The request is refused after this many plans for which an engine did not reserve the memory.
constexpr int max_refused_plans = 3;
/// A server process that has ended refuses a connection within one round trip.
constexpr milliseconds crash_check_timeout{60};
/// Time after which other servers are tried again while a server is silent.
constexpr milliseconds switch_retry_delay{250};

/// What prevents a planned send.
enum class send_obstacle
{
    memory,
    server_resumed,
    retry_budget
};

/// True when the bound on the number of sends allows another one.
bool has_send_left(const exchange& current)
{
    return current.sends_ < current.route_->max_attempts_ + additional_sends;
}

/// True when servers may crash on the request, as one has already.
bool may_crash_servers(const exchange& current)
{
    const auto& parts = current.parsed_request_.prompt_parts_;
    return current.part_trial_ || (current.server_crashed_ && may_crash_again(current.state_.suspect_parts_, parts));
}

/// True when another server may be tried after a send that ended with @a result.
bool may_send_again(const exchange& current, send_result result)
{
    return (result == send_result::did_not_run || (is_retry_safe(current) && !may_crash_servers(current))) &&
           current.possible_runs_ < current.route_->max_attempts_ && has_send_left(current);
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

/// Updates what this VM has observed about the lifetime @a used of a server.
void record_send_result(exchange& current, const listed_server& used, send_result result)
{
    auto* const server = find_server(current.state_.directory_, used.id_);
    if (server == nullptr || server->listed_.started_at_ms_ != used.started_at_ms_)
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
    return current.state_.settings_.name_ + "-" + std::to_string(current.send_.execution_id_.get()) + "-" +
           std::to_string(part);
}

/// Reserves the memory that @a plan needs, all or nothing, and sets the helpers of the request.
/// @return false when an engine did not confirm its reservation, which is recorded as full, accepts no work any more or
/// has reached its limit
task<bool> reserve_memory(exchange& current, const send_plan& plan, memory_reservations& reservations)
{
    for (std::size_t index = 1; index < plan.parts_.size(); ++index)
    {
        const auto& part = plan.parts_[index];
        std::string reservation;
        const auto now = std::chrono::steady_clock::now();
        if (!accepts_work(current.state_.directory_, part.server_.id_, part.server_.started_at_ms_, now) ||
            !take_from_limit(current.state_.directory_, part.server_.id_, now))
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
            current.send_.leases_.push_back(lease);
        }
        current.send_.helpers_.push_back({part.server_.address_, std::move(reservation)});
        current.send_.helper_servers_.push_back(part.server_);
    }
    co_return true;
}

/// Finds out whether the server of a send that was lost without an answer has ended, which is held against the parts of
/// the prompt.
task<> check_for_crash(exchange& current, listed_server server, time_point sent_at)
{
    const bool ended = co_await refuses_connections(current.state_.executor_, server.address_.get(),
                                                    std::chrono::steady_clock::now() + crash_check_timeout);
    current.server_crashed_ = current.server_crashed_ || ended;
    if (ended)
    {
        record_server_crash(current.state_, server, current.parsed_request_.prompt_parts_, sent_at);
    }
}

/// Charges the retry budget unless the request has reached no server yet.
bool take_retry_of(const exchange& current)
{
    if (current.connected_sends_ == 0 ||
        take_retry(current.state_.retry_budget_, current.service_->id_, std::chrono::steady_clock::now()))
    {
        return true;
    }
    current.state_.metrics_.count("gateway_retries_refused_total", {{"reason", "budget"}});
    return false;
}

/// Begins a send according to @a plan: reserves the memory that it needs and charges the retry budget.
/// @return what prevents the send, or nothing when it can be executed
task<std::optional<send_obstacle>> prepare_send(exchange& current, const send_plan& plan)
{
    current.send_ = send_state{};
    current.send_.execution_id_ = plan.parts_.front().work_.key_;
    current.send_.server_ = plan.server_.id_;
    auto reservations = std::make_unique<memory_reservations>();
    const bool reserved = co_await reserve_memory(current, plan, *reservations);
    if (!reserved)
    {
        current.state_.metrics_.count("gateway_sends_refused_total", {{"reason", "memory"}});
        ++current.refused_plans_;
        co_return send_obstacle::memory;
    }
    if (has_silent_server_resumed(current))
    {
        co_return send_obstacle::server_resumed;
    }
    if (!take_retry_of(current))
    {
        co_return send_obstacle::retry_budget;
    }
    current.send_.resources_ = std::make_shared<send_resources>(current, plan, std::move(reservations));
    co_return std::nullopt;
}

void log_send_ended(const exchange& current, const server_id& server, const char* end)
{
    current.state_.metrics_.count("gateway_sends_total", {{"end", end}});
    log_event(severity::info, send_ended, end,
              {{"request", current.parsed_request_.id_.get()}, {"server", server.get()}});
}

/// Sends the request once according to @a plan, which prepare_send() has prepared.
task<send_result> execute_plan(exchange& current, const send_plan& plan, engine_hold& hold)
{
    ++current.sends_;
    current.tried_.push_back(plan.server_.id_);
    log_plan(current, plan);
    hold.release();
    const auto resources = current.send_.resources_;
    const auto sent_at = std::chrono::steady_clock::now();
    const auto result = co_await send_to_server(current, plan.server_, plan.forecast_);
    current.send_.resources_.reset();
    if (resources->superseded_)
    {
        log_send_ended(current, plan.server_.id_, "superseded");
        co_return result;
    }
    const bool may_have_crashed = result == send_result::may_have_run && current.send_.lost_unanswered_;
    if (may_have_crashed && !current.parsed_request_.prompt_parts_.empty())
    {
        co_await check_for_crash(current, plan.server_, sent_at);
    }
    log_send_ended(current, plan.server_.id_, name_of(result));
    record_send_result(current, plan.server_, result);
    co_return result;
}

void record_silent_server(const exchange& current, const server_id& silent)
{
    if (auto* const server = find_server(current.state_.directory_, silent))
    {
        record_failure(*server, std::chrono::steady_clock::now());
    }
    log_event(severity::info, server_silent, "another server is tried while this one is silent",
              {{"request", current.parsed_request_.id_.get()},
               {"server", silent.get()},
               {"last_event", current.last_event_id_ ? std::to_string(*current.last_event_id_) : "none"},
               {"time_left_ms", std::to_string(remaining_time(current).count())}});
}

/// Sends the request to another server, if one can take it now, while the server of the present send is silent.
/// @param hold keeps engines free until a joint prefill can begin
/// @return the result when the other server's send has ended the request, or nothing when the silent one is waited for
task<std::optional<send_result>> try_other_server(exchange& current, engine_hold& hold)
{
    if (!can_switch_server(current) || !has_send_left(current) || may_crash_servers(current) ||
        current.refused_plans_ >= max_refused_plans)
    {
        co_return std::nullopt;
    }
    const auto plan = plan_without_wait(current, hold);
    if (!plan)
    {
        co_return std::nullopt;
    }
    const auto silent = current.send_;
    current.silent_sends_.push_back(silent.resources_);
    const auto obstacle = co_await prepare_send(current, *plan);
    if (obstacle)
    {
        current.silent_sends_.pop_back();
        current.send_ = silent;
        co_return std::nullopt;
    }
    record_silent_server(current, silent.server_);
    // The silent server may have run the request, too.
    ++current.possible_runs_;
    const auto result = co_await execute_plan(current, *plan, hold);
    const bool ended = current.silent_sends_.empty() || current.watch_->disconnected_ ||
                       result == send_result::broken_off || result == send_result::out_of_time;
    if (ended)
    {
        current.silent_sends_.clear();
        co_return current.watch_->disconnected_ ? send_result::broken_off : result;
    }
    --current.possible_runs_;
    current.silent_sends_.pop_back();
    current.send_ = silent;
    current.watch_->backend_connection_ = silent.resources_->reader_->connection_;
    co_return std::nullopt;
}

}  // namespace

const char* name_of(send_result result)
{
    constexpr std::array<const char*, 6> names{"answered",      "did_not_run", "may_have_run",
                                               "server_failed", "broken_off",  "out_of_time"};
    return names.at(static_cast<std::size_t>(result));
}

time_point switch_time(const exchange& current, milliseconds max_silence)
{
    return is_retry_safe(current) ? std::chrono::steady_clock::now() + max_silence : time_point::max();
}

task<std::optional<send_result>> read_or_switch(exchange& current, std::shared_ptr<answer_reader> reader,
                                                task<bool> (*read)(std::shared_ptr<answer_reader>, time_point),
                                                time_point& silent_at)
{
    engine_hold hold;
    hold.key_ = make_execution_id(current.state_);
    std::ranges::for_each(current.silent_sends_,
                          [&reader](const std::shared_ptr<send_resources>& send) { send->reader_->wakes_ = reader; });
    while (!has_silent_server_resumed(current))
    {
        const bool completed = co_await read(reader, silent_at);
        if (completed)
        {
            co_return std::nullopt;
        }
        if (std::chrono::steady_clock::now() >= silent_at)
        {
            const auto taken_over = co_await try_other_server(current, hold);
            if (taken_over)
            {
                co_return taken_over;
            }
            silent_at = std::chrono::steady_clock::now() + switch_retry_delay;
        }
    }
    current.send_.resources_->superseded_ = true;
    co_return record_incomplete_send(current);
}

bool has_silent_server_resumed(const exchange& current)
{
    return std::ranges::any_of(current.silent_sends_, [&current](const std::shared_ptr<send_resources>& send) {
        const auto& reader = *send->reader_;
        return has_read(reader) && (!reader.reads_head_ || is_usable_head(current, reader));
    });
}

void release_silent_sends(exchange& current)
{
    std::ranges::for_each(current.silent_sends_, [](const std::shared_ptr<send_resources>& send) {
        send->superseded_ = true;
        send->registration_.reset();
        send->reservations_->release();
        close_socket(*send->reader_->connection_);
    });
    current.silent_sends_.clear();
}

task<send_result> try_servers(exchange& current)
{
    auto result = send_result::did_not_run;
    engine_hold hold;
    hold.key_ = make_execution_id(current.state_);
    while (true)
    {
        const auto plan = co_await wait_for_plan(current, hold);
        if (remaining_time(current).count() <= 0)
        {
            co_return send_result::out_of_time;
        }
        if (!plan)
        {
            co_return result;
        }
        const auto obstacle = co_await prepare_send(current, *plan);
        if (obstacle == send_obstacle::memory && current.refused_plans_ < max_refused_plans)
        {
            continue;
        }
        if (obstacle)
        {
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
