#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

constexpr event_kind answered_by_gateway{1021, "request_answered_by_vm"};
constexpr event_kind request_served{1022, "request_served"};
constexpr event_kind begun_answer_ended{1033, "begun_answer_ended"};

/// Prompts of routes with a longer latency target keep engines busy for seconds.
constexpr milliseconds long_prompt_target{2500};
/// A VM without a current configuration needs about this long to read it.
constexpr milliseconds configuration_retry_after{1000};
/// A process reads its configuration within this time after its start, even when all VMs start at once. Requests that
/// arrive before are delayed instead of refused, because a refused caller waits longer and may not retry.
constexpr milliseconds startup_wait{1500};
constexpr milliseconds startup_poll_interval{20};
/// A caller whose request only an evacuated data centre could serve returns after this time at the earliest: an
/// evacuation lasts for minutes, and its end is known to all VMs within 5 s.
constexpr milliseconds evacuation_retry_after{5000};
/// Share of that time over which the callers are spread, so that they do not all return at once.
constexpr double evacuation_retry_spread = 0.5;
/// Time limit of a request that states none, until its route is known.
constexpr milliseconds default_time_limit{10'000};

std::string text_of(milliseconds value)
{
    return std::to_string(value.count());
}

/// The time after which the caller of a refused request should return.
milliseconds return_time(exchange& current)
{
    auto& state = current.state_;
    return_facts facts;
    facts.priority_ = current.priority_;
    facts.long_prompt_ = current.service_->engine_ && current.route_->latency_target_ > long_prompt_target;
    const auto queue = state.wait_queues_.queues_.find(current.service_->id_);
    facts.waiting_ = queue == state.wait_queues_.queues_.end() ? 0 : queue->second.waiting_.size();
    facts.time_left_ = remaining_time(current);
    if (!has_untried_server(current))
    {
        const auto now = std::chrono::steady_clock::now();
        const auto pause = time_until_pause_ends(state.directory_, current.service_->id_, {}, now);
        const auto limited = time_until_within_limit(state.directory_, current.service_->id_, current.tried_, now);
        facts.pause_ = pause && limited ? std::min(pause, limited) : (pause ? pause : limited);
    }
    return time_to_return(facts, std::uniform_real_distribution<double>(0.0, 1.0)(state.random_));
}

/// The time after which the caller of a request that needs evacuated servers should return.
milliseconds return_time_after_evacuation(gateway_state& state)
{
    const double draw = std::uniform_real_distribution<double>(0.0, evacuation_retry_spread)(state.random_);
    const auto spread = draw * static_cast<double>(evacuation_retry_after.count());
    return evacuation_retry_after + milliseconds{static_cast<std::int64_t>(spread)};
}

/// Logs why a caller's connection is closed in the middle of its answer.
void log_begun_answer_ended(const exchange& current, send_result result)
{
    log_event(severity::info, begun_answer_ended, name_of(result),
              {{"request", current.parsed_request_.id_.get()},
               {"sends", std::to_string(current.sends_)},
               {"possible_runs", std::to_string(current.possible_runs_)},
               {"last_event", current.last_event_id_ ? std::to_string(*current.last_event_id_) : "none"},
               {"time_left_ms", text_of(remaining_time(current))},
               {"stopping", current.state_.stopping_ ? "1" : "0"}});
}

/// Ends a request that no server has answered completely.
task<> answer_failed_request(exchange& current, send_result result)
{
    if (current.head_sent_ || result == send_result::broken_off)
    {
        // The caller may have received part of the answer; only a closed connection tells it that the answer is
        // incomplete.
        log_begun_answer_ended(current, result);
        close_socket(*current.caller_);
        current.keep_alive_ = false;
        co_return;
    }
    if (current.error_answer_)
    {
        (void)co_await deliver(current, std::move(*current.error_answer_));
        co_return;
    }
    if (current.possible_runs_ == 0 && is_part_blocked(current))
    {
        const auto retry_after = refuse_blocked_parts(current.state_, current.parsed_request_.prompt_parts_);
        co_await send_gateway_answer(current, 503, "prompt_part_blocked", retry_after);
        co_return;
    }
    if (current.possible_runs_ == 0 && current.refused_for_stop_)
    {
        // Other VMs can take the request at once.
        co_await send_gateway_answer(current, 503, stopping_reason, milliseconds{0});
        co_return;
    }
    if (current.possible_runs_ == 0 && needs_evacuated_servers(current))
    {
        const auto retry_after = return_time_after_evacuation(current.state_);
        co_await send_gateway_answer(current, 503, evacuated_reason, retry_after);
        co_return;
    }
    if (current.possible_runs_ == 0)
    {
        const char* const reason = current.sends_ > 0 ? "servers_refused" : "no_server_free";
        co_await send_gateway_answer(current, 503, reason, return_time(current));
        co_return;
    }
    const bool timed_out = result == send_result::out_of_time;
    co_await send_gateway_answer(current, timed_out ? 504 : 502, timed_out ? "time_limit_passed" : "server_lost",
                                 std::nullopt);
}

/// Status and reason id of a refusal before a server is chosen.
struct refusal
{
    unsigned status_ = 0;
    const char* reason_ = "";
    std::optional<milliseconds> retry_after_;
};

/// True when the prompt needs more memory than the engines that can work on one prompt have together. Engines of
/// evacuated data centres count, because the prompt fits again when the evacuation ends.
bool exceeds_service_memory(const exchange& current)
{
    if (!current.service_->engine_)
    {
        return false;
    }
    const auto servers =
        count_servers(current.state_.directory_, current.service_->id_, std::chrono::steady_clock::now());
    const auto engines = servers.accepting_ + servers.evacuated_;
    return engines > 0 && current.parsed_request_.prompt_.value_or(token_count{0}) >
                              max_joint_prompt(*current.service_->engine_, engines);
}

/// Checks the configuration, the route and the API key, and picks the service of the request.
/// @return the refusal, or nothing when the request is admitted
std::optional<refusal> admit(exchange& current)
{
    auto& state = current.state_;
    if (!has_initial_data(state))
    {
        return refusal{503, "no_configuration", configuration_retry_after};
    }
    current.route_ = find_route(*current.table_, current.parsed_request_.host_, current.parsed_request_.path_);
    if (current.route_ == nullptr)
    {
        return refusal{404, "no_route", std::nullopt};
    }
    const auto key = check_key(*current.table_, *current.route_, current.parsed_request_.key_);
    if (key.status_ != key_status::not_needed && !can_accept_keys(state))
    {
        return refusal{503, "keys_not_confirmed", configuration_retry_after};
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
    const double random_number = std::uniform_real_distribution<double>(0.0, 1.0)(state.random_);
    const auto* const service = pick_service(*current.route_, random_number);
    const auto service_entry =
        service == nullptr ? current.table_->services_.end() : current.table_->services_.find(*service);
    if (service_entry == current.table_->services_.end())
    {
        return refusal{503, "no_service", configuration_retry_after};
    }
    current.service_ = &service_entry->second;
    if (exceeds_service_memory(current))
    {
        return refusal{503, "prompt_too_large", std::nullopt};
    }
    if (needs_evacuated_servers(current))
    {
        return refusal{503, evacuated_reason, return_time_after_evacuation(state)};
    }
    return std::nullopt;
}

/// Waits after the start of the process until the first configuration is known.
task<> wait_for_configuration(exchange& current)
{
    const auto& state = current.state_;
    const auto wait_until = std::min(state.started_at_ + startup_wait, current.deadline_);
    while (!has_initial_data(state) && std::chrono::steady_clock::now() < wait_until && !current.watch_->disconnected_)
    {
        co_await sleep_for(startup_poll_interval);
    }
}

milliseconds time_limit(const exchange& current)
{
    const auto limit = current.route_->timeout_;
    return std::min(limit, current.parsed_request_.time_left_.value_or(limit));
}

void log_request_served(const exchange& current, send_result result)
{
    const auto duration = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - current.arrived_);
    current.state_.metrics_.observe("gateway_request_ms", {{"end", name_of(result)}},
                                    static_cast<double>(duration.count()));
    log_event(severity::info, request_served, name_of(result),
              {{"request", current.parsed_request_.id_.get()},
               {"status", std::to_string(current.answer_status_)},
               {"sends", std::to_string(current.sends_)},
               {"took_ms", text_of(duration)},
               {"first_ms", current.time_to_first_event_ ? text_of(*current.time_to_first_event_) : "none"},
               {"prompt", std::to_string(current.parsed_request_.prompt_.value_or(token_count{0}).get())},
               {"parts", text_of(current.parsed_request_.prompt_parts_)},
               {"late", current.late_ ? "1" : "0"},
               {"version", std::to_string(current.table_->version_.get())}});
}

/// Lists an exchange among the open ones for its own lifetime.
class open_exchange
{
  public:
    explicit open_exchange(exchange& current) : current_(current)
    {
        current_.state_.open_exchanges_.insert(&current_);
    }
    open_exchange(const open_exchange&) = delete;
    open_exchange& operator=(const open_exchange&) = delete;
    open_exchange(open_exchange&&) = delete;
    open_exchange& operator=(open_exchange&&) = delete;
    ~open_exchange()
    {
        current_.state_.open_exchanges_.erase(&current_);
    }

  private:
    exchange& current_;
};

void stop_watching_for_disconnect(exchange& current)
{
    boost::system::error_code ignored;  // fails only on a closed socket, which has nothing to cancel
    current.caller_->socket_.cancel(ignored);
}

}  // namespace

bool is_retry_safe(const exchange& current)
{
    return current.route_->kind_ == request_kind::idempotent ||
           (current.route_->kind_ == request_kind::streaming && current.route_->resumable_);
}

choice_request make_choice_request(const exchange& current)
{
    auto& state = current.state_;
    choice_request choice;
    choice.service_ = current.service_->id_;
    choice.data_centre_ = state.settings_.data_centre_;
    choice.tried_ = current.tried_;
    choice.tie_break_seed_ = state.random_();
    choice.partition_ = partition_fleet(known_vms(state.peers_));
    choice.vm_ = vm_id{state.settings_.name_};
    return choice;
}

bool has_untried_server(const exchange& current)
{
    return !candidate_servers(current.state_.directory_, make_choice_request(current), std::chrono::steady_clock::now())
                .empty();
}

bool needs_evacuated_servers(const exchange& current)
{
    if (count_evacuated(current.state_.directory_.evacuations_) == 0)
    {
        return false;
    }
    const auto servers =
        count_servers(current.state_.directory_, current.service_->id_, std::chrono::steady_clock::now());
    const auto others = servers.accepting_ + servers.paused_;
    const bool exceeds_others = current.service_->engine_ && current.parsed_request_.prompt_.value_or(token_count{0}) >
                                                                 max_joint_prompt(*current.service_->engine_, others);
    return servers.evacuated_ > 0 && (others == 0 || exceeds_others);
}

bool prompt_exceeds_engine_memory(const exchange& current)
{
    return current.service_->engine_ &&
           current.parsed_request_.prompt_.value_or(token_count{0}) > current.service_->engine_->kv_capacity_;
}

bool is_part_blocked(const exchange& current)
{
    return !current.part_trial_ &&
           !blocked_parts(current.state_.suspect_parts_, current.parsed_request_.prompt_parts_).empty();
}

bool can_switch_server(const exchange& current)
{
    return is_retry_safe(current) && !current.part_trial_ &&
           current.possible_runs_ + 1 < current.route_->max_attempts_ && !prompt_exceeds_engine_memory(current) &&
           has_untried_server(current) &&
           can_retry(current.state_.retry_budget_, current.service_->id_, std::chrono::steady_clock::now());
}

void set_deadline(exchange& current, milliseconds limit)
{
    const auto elapsed = std::chrono::steady_clock::now() - current.arrived_;
    current.deadline_ = current.arrived_ + limit;
    current.boot_deadline_ = boot_time() - elapsed + limit;
}

milliseconds remaining_time(const exchange& current)
{
    const auto left = remaining_until(current.deadline_, std::chrono::steady_clock::now());
    const auto boot_left = std::chrono::duration_cast<milliseconds>(current.boot_deadline_ - boot_time());
    return std::clamp(boot_left, milliseconds{0}, left);
}

void watch_for_disconnect(exchange& current)
{
    if (!current.watch_)
    {
        current.watch_ = std::make_shared<caller_watch>();
    }
    current.caller_->socket_.async_wait(
        tcp::socket::wait_read, [watch = current.watch_, weak_caller = std::weak_ptr(current.caller_)](
                                    const boost::system::error_code& cancelled) {
            const auto caller = weak_caller.lock();
            // A readable socket that is not closed has bytes of a pipelined request.
            if (cancelled || !caller || !caller->socket_.is_open() || !peer_has_closed(*caller))
            {
                return;
            }
            watch->disconnected_ = true;
            if (const auto backend_connection = watch->backend_connection_.lock())
            {
                close_socket(*backend_connection);
            }
        });
}

http_response make_gateway_answer(gateway_state& state, const caller_request& request, unsigned status,
                                  const std::string& reason, std::optional<milliseconds> retry_after)
{
    http_response answer(static_cast<http::status>(status), 11);
    answer.set(http::field::content_type, "application/json");
    if (retry_after)
    {
        answer.set(http::field::retry_after, std::to_string(static_cast<double>(retry_after->count()) / 1000.0));
    }
    state.protocol_.write_gateway_fields_(request, answer);
    answer.body() = R"({"error":")" + reason + R"("})";
    return answer;
}

task<> send_gateway_answer(exchange& current, unsigned status, std::string reason,
                           std::optional<milliseconds> retry_after)
{
    auto answer = make_gateway_answer(current.state_, current.parsed_request_, status, reason, retry_after);
    current.state_.metrics_.count("gateway_refusals_total", {{"reason", reason}});
    log_event(severity::info, answered_by_gateway, reason,
              {{"request", current.parsed_request_.id_.get()},
               {"status", std::to_string(status)},
               {"sends", std::to_string(current.sends_)},
               {"possible_runs", std::to_string(current.possible_runs_)},
               {"version", current.table_ ? std::to_string(current.table_->version_.get()) : "none"}});
    (void)co_await deliver(current, std::move(answer));
}

void end_open_requests(gateway_state& state)
{
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(state.open_exchanges_, [now](exchange* current) {
        if (current->head_sent_)
        {
            return;
        }
        current->deadline_ = std::min(current->deadline_, now);
        if (const auto connection = current->watch_ ? current->watch_->backend_connection_.lock() : nullptr)
        {
            close_socket(*connection);
        }
    });
    notify_capacity_changed(state.wait_queues_);
}

task<send_result> deliver(exchange& current, http_response answer)
{
    answer.version(11);
    current.keep_alive_ = current.keep_alive_ && !current.state_.stopping_;
    answer.keep_alive(current.keep_alive_);
    // The answer to HEAD has no body; its Content-Length field must stay as the server stated it.
    if (current.request_.method() != http::verb::head)
    {
        answer.prepare_payload();
    }
    current.answer_status_ = answer.result_int();
    release_silent_sends(current);
    set_close_deadline(*current.caller_, current.deadline_ + std::chrono::seconds{1});
    boost::system::error_code ec;
    current.head_sent_ = true;
    co_await http::async_write(current.caller_->socket_, answer, redirect_error(use_awaitable, ec));
    clear_close_deadline(*current.caller_);
    current.keep_alive_ = current.keep_alive_ && !ec;
    co_return ec ? send_result::broken_off : send_result::answered;
}

task<bool> serve_request(gateway_state& state, std::shared_ptr<caller_socket> caller, http_request request,
                         std::shared_ptr<const request_body> body, time_point arrived)
{
    const scoped_count open_request(state.open_requests_);
    exchange current(state, caller, std::move(request), std::move(body));
    const open_exchange listed(current);
    current.parsed_request_ = state.protocol_.read_request_(current.request_);
    current.arrived_ = arrived;
    current.keep_alive_ = current.request_.keep_alive() && !state.stopping_;
    set_deadline(current, current.parsed_request_.time_left_.value_or(default_time_limit));
    watch_for_disconnect(current);
    co_await wait_for_configuration(current);
    current.table_ = state.table_;
    const auto refused = admit(current);
    if (refused)
    {
        co_await send_gateway_answer(current, refused->status_, refused->reason_, refused->retry_after_);
        stop_watching_for_disconnect(current);
        co_return current.keep_alive_;
    }
    set_deadline(current, time_limit(current));
    record_request(state.retry_budget_, current.service_->id_, std::chrono::steady_clock::now());
    current.part_trial_ = take_part_trial(state, current.parsed_request_.prompt_parts_);
    const auto result = co_await try_servers(current);
    if (current.watch_->disconnected_)
    {
        close_socket(*caller);
        current.keep_alive_ = false;
    }
    else if (result != send_result::answered)
    {
        co_await answer_failed_request(current, result);
    }
    stop_watching_for_disconnect(current);
    log_request_served(current, current.watch_->disconnected_ ? send_result::broken_off : result);
    // A caller that was told to keep the connection may have its next request on the way, so a stop does not close it.
    co_return current.keep_alive_;
}

}  // namespace cornelstall
