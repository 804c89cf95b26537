#include <algorithm>
#include <memory>

#include "cornelstall/runtime/connection/engine_stream.hpp"
#include "cornelstall/runtime/request/attempt.hpp"
#include "cornelstall/runtime/request/model_request.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr event_kind request_finished{1002, "request_finished"};
constexpr event_kind request_failed{1003, "request_failed"};
constexpr event_kind caller_left{1004, "caller_left"};
constexpr event_kind cancel_failed{1005, "cancel_not_acknowledged"};

/// Bodies above this size are decoded on the library's pool, so that the Asio thread stays responsive.
constexpr std::size_t decode_inline_bytes = 65'536;
constexpr milliseconds heartbeat_interval{1000};
/// A cancel is repeated this long; the engine's owner settles what is still held afterwards.
constexpr milliseconds cancel_limit{30'000};
/// Time that another attempt needs at the least to be of use.
constexpr milliseconds least_useful_time{100};
constexpr milliseconds replacement_pause{50};

placement_request placement_of(const model_request& request)
{
    placement_request result;
    result.id_ = request.id_;
    result.model_ = request.call_.model_;
    result.adapter_ = request.call_.adapter_;
    result.rank_ = request.rank_;
    result.prompt_ = request.prompt_;
    result.max_output_ = request.call_.max_output_;
    result.prefix_keys_ = request.prefix_keys_;
    result.excluded_ = request.excluded_;
    return result;
}

/// True when engines with the model are ready but none is large enough: trying again would not help.
bool exceeds_all_memories(const std::vector<const engine_state*>& engines, const model_request& request)
{
    const auto is_candidate = [&request](const engine_state* engine) {
        return engine->condition_ == engine_condition::ready &&
               has_model(*engine, request.call_.model_, request.call_.adapter_);
    };
    const auto needed = request.prompt_ + request.call_.max_output_;
    return std::ranges::any_of(engines, is_candidate) && std::ranges::none_of(engines, [&](const engine_state* engine) {
               return is_candidate(engine) && engine->load_.kv_total_ >= needed;
           });
}

/// Chooses an engine; when all were tried the exclusions are lifted once, since an engine may have recovered.
placement place(entry_state& state, model_request& request)
{
    const auto engines = known_engines(state);
    auto chosen = choose_engine(engines, placement_of(request));
    if (!chosen && !request.excluded_.empty())
    {
        request.excluded_.clear();
        chosen = choose_engine(engines, placement_of(request));
    }
    if (!chosen && exceeds_all_memories(engines, request))
    {
        throw request_error(109, refusal_reason::memory_unavailable, outcome::did_not_run,
                            "the prompt needs more memory than any one engine has; shorten it");
    }
    if (!chosen)
    {
        throw request_error(
            107, refusal_reason::no_engine_ready, request.bytes_sent_ ? outcome::unknown : outcome::did_not_run,
            "no engine with model '" + request.call_.model_.get() + "' is ready; retry later", milliseconds{2000});
    }
    return *chosen;
}

queue_entry entry_of(const entry_state& state, const model_request& request, const placement& placed)
{
    queue_entry entry;
    entry.request_ = request.id_;
    entry.attempt_ = request.progress_.attempt_;
    entry.holder_ = state.self_;
    entry.caller_ = caller_id{request.caller_.service_->name_.get() + "/" + request.caller_.caller_->name_.get()};
    entry.weight_ = request.caller_.caller_->weight_;
    entry.rank_ = request.rank_;
    entry.model_ = request.call_.model_;
    entry.prompt_ = request.prompt_ + estimate_tokens(request.delivered_);
    entry.uncached_ = std::max(token_count{0}, entry.prompt_ - placed.cached_);
    entry.max_output_ = request.call_.max_output_;
    entry.deadline_ = request.deadline_;
    entry.arrived_ = clock::now();
    return entry;
}

void throw_refusal(const model_request& request, const queue_refusal& refusal)
{
    throw request_error(108, refusal.reason_, request.bytes_sent_ ? outcome::unknown : outcome::did_not_run,
                        refusal.message_, refusal.retry_after_);
}

void log_unacknowledged(const request_id& request, const engine_id& engine)
{
    log_event(severity::warning, cancel_failed, "the engine's owner settles what it still holds",
              {{"request", request.get()}, {"engine", engine.get()}});
}

/// Cancels what the engine may still hold, then gives the capacity back.
task<> cancel_and_release(entry_state& state, socket_address address, engine_id engine, request_id request,
                          attempt_number attempt, grant_id given)
{
    const bool acknowledged = co_await cancel_at_engine(std::move(address), request, attempt, cancel_limit);
    if (!acknowledged)
    {
        log_unacknowledged(request, engine);
    }
    state.access_.release_(engine, given, token_count{0});
}

/// One reservation and one attempt. Returns the result, or nothing when the owner sent the request elsewhere.
task<std::optional<attempt_result>> try_once(entry_state& state, model_request& request, caller_connection& connection)
{
    const auto placed = place(state, request);
    const auto engine = placed.engine_->id_;
    const auto address = placed.engine_->address_;
    auto entry = entry_of(state, request, placed);
    const auto sent = entry.uncached_;
    auto& running = state.running_[request.id_];
    running.attempt_ = request.progress_.attempt_;
    running.engine_ = engine;
    running.entry_ = entry;
    state.asked_[request.call_.model_] += sent;
    const auto answer = co_await state.access_.reserve_(engine, std::move(entry));
    if (const auto* const refusal = std::get_if<queue_refusal>(&answer))
    {
        state.running_.erase(request.id_);
        request.excluded_.insert(engine);
        const bool elsewhere = refusal->reason_ == refusal_reason::no_engine_ready;
        if (!elsewhere || clock::now() >= request.deadline_)
        {
            throw_refusal(request, *refusal);
        }
        co_return std::nullopt;
    }
    const auto& given = std::get<grant>(answer);
    if (auto* const used = find_engine(state, engine); used != nullptr)
    {
        used->tokens_sent_since_report_ += sent;
        ++used->requests_sent_since_report_;
    }
    state.running_[request.id_].grant_ = given.id_;
    const auto result = co_await run_attempt(state, request, connection, given, address);
    state.running_.erase(request.id_);
    if (result.end_ == attempt_end::finished || result.end_ == attempt_end::refused)
    {
        state.access_.release_(engine, given.id_, request.usage_.output_);
    }
    else
    {
        spawn(state.executor_, "cancel_and_release",
              cancel_and_release(state, address, engine, request.id_, request.progress_.attempt_, given.id_));
    }
    if (result.end_ != attempt_end::finished)
    {
        request.excluded_.insert(engine);
    }
    co_return result;
}

void retry_or_throw(entry_state& state, model_request& request, const attempt_result& result)
{
    const bool began = result.end_ == attempt_end::lost;
    // A model request can run again: its text is continued, and the lost attempt is cancelled at its engine.
    const retry_context question{result.reason_, began ? outcome::unknown : outcome::did_not_run,  true,
                                 began,          remaining_until(request.deadline_, clock::now()), least_useful_time};
    if (!try_consume_retry(state.retries_, question, clock::now()))
    {
        const auto what = request.bytes_sent_ ? outcome::unknown : outcome::did_not_run;
        if (question.remaining_ <= least_useful_time)
        {
            throw request_error(120, refusal_reason::time_limit_passed, what,
                                "the time limit passed: " + result.message_);
        }
        throw request_error(121, began ? refusal_reason::stream_failed : refusal_reason::retry_budget_empty, what,
                            "the request failed and retries are used up: " + result.message_, milliseconds{1000});
    }
    state.metrics_.count("cornelstall_retries_total", {{"reason", to_string(result.reason_)}});
    request.progress_.attempt_ = request.progress_.attempt_.next();
}

/// Attempts until the answer is whole. Throws when it cannot be; returns false when the caller has gone.
task<bool> obtain_answer(entry_state& state, model_request& request, caller_connection& connection)
{
    record_request(state.retries_, clock::now());
    for (;;)
    {
        const auto result = co_await try_once(state, request, connection);
        if (!result)
        {
            // The refusing engine is excluded; when it was the last one, it may recover meanwhile.
            co_await sleep_for(replacement_pause);
            continue;
        }
        switch (result->end_)
        {
            case attempt_end::finished:
                co_return true;
            case attempt_end::caller_gone:
                co_return false;
            case attempt_end::limit_passed:
                throw request_error(
                    120, refusal_reason::time_limit_passed, outcome::unknown,
                    "the time limit passed before the answer was whole; ask for less or raise the limit");
            case attempt_end::refused:
            case attempt_end::lost:
                retry_or_throw(state, request, *result);
        }
    }
}

/// Keeps a streaming caller's connection alive, and notices when it has gone, before and between parts.
task<> send_heartbeats(entry_state& state, request_id request, std::shared_ptr<caller_connection> connection,
                       std::shared_ptr<bool> ended, time_point deadline)
{
    co_await sleep_for(heartbeat_interval);
    while (!*ended && clock::now() < deadline)
    {
        connection->start_stream();
        if (!co_await connection->write(": keep-alive\n\n", deadline))
        {
            const auto found = state.running_.find(request);
            if (found != state.running_.end() && found->second.grant_.empty())
            {
                state.access_.withdraw_(found->second.engine_, request, found->second.attempt_);
            }
            co_return;
        }
        co_await sleep_for(heartbeat_interval);
    }
}

void finish_answer(entry_state& state, const model_request& request, caller_connection& connection)
{
    state.metrics_.count("cornelstall_requests_total", {{"rank", to_string(request.rank_)}, {"outcome", "ran"}});
    state.metrics_.observe("cornelstall_request_seconds",
                           {{"rank", to_string(request.rank_)}, {"prompt", length_class(request.prompt_)}},
                           std::chrono::duration<double>(clock::now() - request.arrived_).count());
    log_event(severity::debug, request_finished, "answered whole",
              {{"request", request.id_.get()}, {"attempt", std::to_string(request.progress_.attempt_.get())}});
    if (!request.call_.stream_)
    {
        connection.reply(
            200, encode_answer(request.call_, request.id_, request.delivered_, request.finish_reason_, request.usage_),
            "application/json");
    }
}

task<> fail_answer(entry_state& state, const model_request& request, caller_connection& connection,
                   const request_error& problem)
{
    state.metrics_.count("cornelstall_requests_total",
                         {{"rank", to_string(request.rank_)}, {"outcome", to_string(problem.execution_outcome())}});
    if (!connection.streaming())
    {
        refuse(state, connection, request.id_, problem);
        co_return;
    }
    // The stream has begun: the caller gets one error event and no end mark, so that it cannot take the answer for
    // whole.
    state.metrics_.count("cornelstall_refusals_total", {{"reason", to_string(problem.reason())}});
    log_event(severity::info, request_failed, problem.what(), {{"request", request.id_.get()}});
    explain(state, request.id_, problem.what());
    const auto deadline = clock::now() + answer_margin;
    (void)co_await connection.write("data: " + encode_error(problem, request.id_) + "\n\n", deadline);
}

/// Decodes a body, large ones on the library's pool.
task<completion_call> decode_body(completion_kind kind, std::string body)
{
    if (body.size() <= decode_inline_bytes)
    {
        co_return decode_completion(kind, body);
    }
    const auto text = std::make_shared<std::string>(std::move(body));
    auto decoding = pplx::create_task([kind, text] { return decode_completion(kind, *text); });
    co_return co_await await_task(std::move(decoding));
}

task<model_request> read_request(entry_state& state, caller_connection& connection, completion_kind kind,
                                 time_point arrived)
{
    const auto version = state.version_;
    const auto caller = authenticate(version, connection.header("Authorization"));
    if (state.closed_)
    {
        throw request_error(122, refusal_reason::stopping, outcome::did_not_run, "this VM is stopping; retry",
                            milliseconds{1000});
    }
    if (state.open_requests_ > state.settings_.max_requests_)
    {
        throw request_error(123, refusal_reason::queue_full, outcome::did_not_run,
                            "this VM serves as many requests as it can; retry later", milliseconds{1000});
    }
    const auto& limits = caller.service_->limits_;
    auto body = co_await connection.read_body(limits.max_body_, limits.body_timeout_);
    auto call = co_await decode_body(kind, std::move(body));
    co_return make_model_request(state, version, caller, std::move(call), connection.header("X-Rank"), arrived);
}

task<> answer_request(entry_state& state, model_request& request, const std::shared_ptr<caller_connection>& connection)
{
    const auto ended = std::make_shared<bool>(false);
    if (request.call_.stream_)
    {
        spawn(state.executor_, "send_heartbeats",
              send_heartbeats(state, request.id_, connection, ended, request.deadline_));
    }
    std::optional<request_error> problem;
    bool whole = false;
    try
    {
        whole = co_await obtain_answer(state, request, *connection);
    }
    catch (const request_error& failure)
    {
        problem = failure;
    }
    *ended = true;
    if (problem && !connection->gone())
    {
        co_await fail_answer(state, request, *connection, *problem);
    }
    else if (whole)
    {
        finish_answer(state, request, *connection);
        if (request.call_.stream_)
        {
            connection->start_stream();
            (void)co_await connection->write(
                encode_end(request.call_, request.id_, request.finish_reason_, request.usage_), request.deadline_);
        }
    }
    else
    {
        state.metrics_.count("cornelstall_callers_gone_total");
        log_event(severity::info, caller_left, "the caller closed its connection", {{"request", request.id_.get()}});
    }
    if (connection->streaming())
    {
        connection->end_stream();
    }
}

}  // namespace

task<> serve_completion(entry_state& state, std::shared_ptr<caller_connection> connection, completion_kind kind)
{
    const auto arrived = clock::now();
    try
    {
        auto request = co_await read_request(state, *connection, kind, arrived);
        co_await answer_request(state, request, connection);
    }
    catch (const request_error& problem)
    {
        refuse(state, *connection, next_request_id(state), problem);
    }
}

}  // namespace cornelstall
