#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

constexpr event_kind refused{1021, "request_answered_by_vm"};
constexpr event_kind served{1022, "request_served"};

/// A refused caller that comes back sooner meets the same state.
constexpr milliseconds retry_soon{300};
/// Engines that have no room for a long prompt are busy with long reads for about this long.
constexpr milliseconds retry_for_engines{2500};
/// A VM without a configuration needs about this long to read it.
constexpr milliseconds retry_later{1000};
/// A process that has just started reads its configuration within this time, even when all VMs start together; callers
/// that come meanwhile wait, since a refused one must wait longer and may not come again.
constexpr milliseconds start_patience{1500};
constexpr milliseconds start_check{20};
/// Of a request that states none and whose route is not known yet.
constexpr milliseconds unknown_time_limit{10'000};

std::string text_of(milliseconds value)
{
    return std::to_string(value.count());
}

/// The answer to a request that no server answered.
task<> finish_unanswered(exchange& current, send_end end)
{
    if (current.head_sent_ || end == send_end::broken_off)
    {
        // Part of an answer is out; only the missing end tells the caller that it is not whole.
        close_socket(*current.caller_);
        current.keep_caller_ = false;
        co_return;
    }
    if (current.failure_)
    {
        (void)co_await deliver(current, std::move(*current.failure_));
        co_return;
    }
    if (current.possible_runs_ == 0)
    {
        const bool long_prompt = current.service_->engine_ && current.route_->latency_target_ > retry_for_engines;
        const char* const reason = current.sends_ > 0 ? "servers_refused" : "no_server_free";
        co_await answer_ourselves(current, 503, reason, long_prompt ? retry_for_engines : retry_soon);
        co_return;
    }
    const bool late = end == send_end::out_of_time;
    co_await answer_ourselves(current, late ? 504 : 502, late ? "time_limit_passed" : "server_lost", std::nullopt);
}

/// What a request is refused for before a server is looked for.
struct refusal
{
    unsigned status_ = 0;
    const char* reason_ = "";
    std::optional<milliseconds> retry_after_;
};

std::optional<refusal> admit(exchange& current)
{
    auto& state = current.state_;
    if (!has_initial_data(state))
    {
        return refusal{503, "no_configuration", retry_later};
    }
    current.route_ = find_route(*current.table_, current.facts_.host_, current.facts_.path_);
    if (current.route_ == nullptr)
    {
        return refusal{404, "no_route", std::nullopt};
    }
    const auto key = check_key(*current.table_, *current.route_, current.facts_.key_);
    if (key.status_ != key_status::not_needed && !can_accept_keys(state))
    {
        return refusal{503, "keys_not_confirmed", retry_later};
    }
    if (key.status_ == key_status::unknown)
    {
        return refusal{401, "unknown_key", std::nullopt};
    }
    current.priority_ = current.route_->priority_;
    if (key.organisation_ != nullptr)
    {
        current.organisation_ = key.organisation_->id_;
        current.priority_ = key.organisation_->priority_.value_or(current.priority_);
    }
    const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(state.random_);
    const auto* const service = pick_service(*current.route_, draw);
    const auto described =
        service == nullptr ? current.table_->services_.end() : current.table_->services_.find(*service);
    if (described == current.table_->services_.end())
    {
        return refusal{503, "no_service", retry_later};
    }
    current.service_ = &described->second;
    return std::nullopt;
}

task<> await_start(exchange& current)
{
    const auto& state = current.state_;
    const auto give_up = std::min(state.started_at_ + start_patience, current.deadline_);
    while (!has_initial_data(state) && std::chrono::steady_clock::now() < give_up && !current.watch_->left_)
    {
        co_await sleep_for(start_check);
    }
}

void set_deadline(exchange& current)
{
    auto limit = current.route_->timeout_;
    if (current.facts_.time_left_)
    {
        limit = std::min(limit, *current.facts_.time_left_);
    }
    current.deadline_ = current.arrived_ + limit;
}

void log_served(const exchange& current, send_end end)
{
    const auto took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - current.arrived_);
    current.state_.metrics_.observe("gateway_request_ms", {{"end", name_of(end)}}, static_cast<double>(took.count()));
    log_event(severity::info, served, name_of(end),
              {{"request", current.facts_.id_.get()},
               {"status", std::to_string(current.answer_status_)},
               {"sends", std::to_string(current.sends_)},
               {"took_ms", text_of(took)},
               {"first_ms", current.first_event_after_ ? text_of(*current.first_event_after_) : "none"},
               {"prompt", std::to_string(current.facts_.prompt_.value_or(token_count{0}).get())},
               {"late", current.late_ ? "1" : "0"},
               {"version", std::to_string(current.table_->version_.get())}});
}

void stop_watching(exchange& current)
{
    boost::system::error_code ignored;  // a socket that is closed has nothing to cancel
    current.caller_->socket_.cancel(ignored);
}

}  // namespace

bool may_repeat(const exchange& current)
{
    return current.route_->kind_ == request_kind::idempotent ||
           (current.route_->kind_ == request_kind::streaming && current.route_->resumable_);
}

choice_request choice_for(const exchange& current)
{
    auto& state = current.state_;
    choice_request wanted;
    wanted.service_ = current.service_->id_;
    wanted.data_centre_ = state.settings_.data_centre_;
    wanted.tried_ = current.tried_;
    wanted.tie_break_seed_ = state.random_();
    wanted.partition_ = partition_fleet(known_vms(state.peers_));
    wanted.vm_ = vm_id{state.settings_.name_};
    return wanted;
}

bool has_other_server(const exchange& current)
{
    return !candidate_servers(current.state_.directory_, choice_for(current), std::chrono::steady_clock::now()).empty();
}

bool exceeds_one_engine(const exchange& current)
{
    return current.service_->engine_ &&
           current.facts_.prompt_.value_or(token_count{0}) > current.service_->engine_->kv_capacity_;
}

bool can_give_up_send(const exchange& current)
{
    return may_repeat(current) && current.possible_runs_ + 1 < current.route_->max_attempts_ &&
           !exceeds_one_engine(current) && has_other_server(current) &&
           can_retry(current.state_.retry_budget_, current.service_->id_, std::chrono::steady_clock::now());
}

void limit_send(exchange& current, backend_socket& server, time_point give_up)
{
    if (!can_give_up_send(current) || give_up >= current.deadline_)
    {
        set_close_deadline(server, current.deadline_);
        return;
    }
    set_conditional_deadline(server, give_up, current.deadline_, [&current] {
        // The repeat is taken now, since other requests may use up the budget before the next send.
        current.repeat_taken_ =
            can_give_up_send(current) &&
            take_retry(current.state_.retry_budget_, current.service_->id_, std::chrono::steady_clock::now());
        return current.repeat_taken_;
    });
}

milliseconds time_left(const exchange& current)
{
    return remaining_until(current.deadline_, std::chrono::steady_clock::now());
}

void watch_caller(exchange& current)
{
    if (!current.watch_)
    {
        current.watch_ = std::make_shared<caller_watch>();
    }
    current.caller_->socket_.async_wait(
        tcp::socket::wait_read,
        [watch = current.watch_, weak = std::weak_ptr(current.caller_)](const boost::system::error_code& cancelled) {
            const auto caller = weak.lock();
            // Bytes of a pipelined request say that the caller is still there.
            if (cancelled || !caller || !caller->socket_.is_open() || !peer_has_closed(*caller))
            {
                return;
            }
            watch->left_ = true;
            if (const auto active = watch->active_.lock())
            {
                close_socket(*active);
            }
        });
}

task<> answer_ourselves(exchange& current, unsigned status, std::string reason, std::optional<milliseconds> retry_after)
{
    http_response answer(static_cast<http::status>(status), 11);
    answer.set(http::field::content_type, "application/json");
    if (retry_after)
    {
        std::string seconds = std::to_string(static_cast<double>(retry_after->count()) / 1000.0);
        answer.set(http::field::retry_after, seconds);
    }
    current.state_.protocol_.write_gateway_fields_(current.facts_, answer);
    answer.body() = R"({"error":")" + reason + R"("})";
    current.state_.metrics_.count("gateway_refusals_total", {{"reason", reason}});
    log_event(severity::info, refused, reason,
              {{"request", current.facts_.id_.get()},
               {"status", std::to_string(status)},
               {"sends", std::to_string(current.sends_)},
               {"possible_runs", std::to_string(current.possible_runs_)},
               {"version", current.table_ ? std::to_string(current.table_->version_.get()) : "none"}});
    (void)co_await deliver(current, std::move(answer));
}

task<send_end> deliver(exchange& current, http_response answer)
{
    answer.version(11);
    answer.keep_alive(current.keep_caller_);
    // A body's length is already stated where the answer to HEAD has none.
    if (current.request_.method() != http::verb::head)
    {
        answer.prepare_payload();
    }
    current.answer_status_ = answer.result_int();
    set_close_deadline(*current.caller_, current.deadline_ + std::chrono::seconds{1});
    boost::system::error_code failed;
    current.head_sent_ = true;
    co_await http::async_write(current.caller_->socket_, answer, redirect_error(use_awaitable, failed));
    clear_close_deadline(*current.caller_);
    current.keep_caller_ = current.keep_caller_ && !failed;
    co_return failed ? send_end::broken_off : send_end::answered;
}

task<bool> serve_request(gateway_state& state, std::shared_ptr<caller_socket> caller, http_request request,
                         time_point arrived)
{
    const scoped_count open(state.open_requests_);
    exchange current(state, caller, std::move(request));
    current.facts_ = state.protocol_.read_request_(current.request_);
    current.arrived_ = arrived;
    current.keep_caller_ = current.request_.keep_alive() && !state.stopping_;
    current.deadline_ = arrived + current.facts_.time_left_.value_or(unknown_time_limit);
    watch_caller(current);
    co_await await_start(current);
    current.table_ = state.table_;
    const auto refused_for = admit(current);
    if (refused_for)
    {
        co_await answer_ourselves(current, refused_for->status_, refused_for->reason_, refused_for->retry_after_);
        stop_watching(current);
        co_return current.keep_caller_;
    }
    set_deadline(current);
    record_request(state.retry_budget_, current.service_->id_, std::chrono::steady_clock::now());
    const auto end = co_await try_servers(current);
    if (current.watch_->left_)
    {
        close_socket(*caller);
        current.keep_caller_ = false;
    }
    else if (end != send_end::answered)
    {
        co_await finish_unanswered(current, end);
    }
    stop_watching(current);
    log_served(current, current.watch_->left_ ? send_end::broken_off : end);
    co_return current.keep_caller_ && !state.stopping_;
}

}  // namespace cornelstall
