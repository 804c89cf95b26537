#include "cornelstall/runtime/request/attempt.hpp"

#include <algorithm>

#include "cornelstall/runtime/connection/engine_stream.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr event_kind part_dropped{1010, "part_dropped"};
constexpr event_kind stream_resumed{1011, "stream_resumed"};

constexpr int max_resumes = 5;
constexpr milliseconds resume_pause{100};
constexpr milliseconds first_byte_margin{5000};

std::string_view name_of(part_check_result verdict) noexcept
{
    switch (verdict)
    {
        case part_check_result::wrong_request:
            return "wrong_request";
        case part_check_result::wrong_attempt:
            return "wrong_attempt";
        case part_check_result::duplicate:
            return "duplicate";
        case part_check_result::gap:
            return "gap";
        case part_check_result::after_end:
            return "after_end";
        case part_check_result::deliver:
            break;
    }
    return "deliver";
}

/// Values of one attempt that the steps below share.
struct attempt_context
{
    entry_state& state_;
    model_request& request_;
    caller_connection& connection_;
    grant given_;
    socket_address engine_;
};

/// Why a stream stopped yielding parts.
enum class stream_end
{
    finished,
    gap,
    caller_gone,
    limit_passed
};

void note_first_token(attempt_context& context)
{
    auto& request = context.request_;
    context.state_.access_.first_part_(context.state_.running_[request.id_].engine_, context.given_.id_);
    if (request.delivered_.empty())
    {
        context.state_.metrics_.observe("cornelstall_first_token_seconds",
                                        {{"rank", to_string(request.rank_)}, {"prompt", length_class(request.prompt_)}},
                                        std::chrono::duration<double>(clock::now() - request.arrived_).count());
    }
}

void drop_part(attempt_context& context, part_check_result verdict, const part_header& part)
{
    context.state_.metrics_.count("cornelstall_parts_dropped_total", {{"verdict", name_of(verdict)}});
    log_event(severity::debug, part_dropped, "a part was dropped",
              {{"request", context.request_.id_.get()},
               {"verdict", std::string(name_of(verdict))},
               {"part", std::to_string(part.part_.get())}});
}

/// Passes a part's text on to the caller. Returns false when the caller has gone.
task<bool> deliver(attempt_context& context, const engine_event& event)
{
    auto& request = context.request_;
    if (event.header_.part_ == part_number{0})
    {
        note_first_token(context);
    }
    request.delivered_ += event.text_;
    if (event.header_.last_)
    {
        request.usage_ = event.usage_;
        request.finish_reason_ = event.finish_reason_;
    }
    if (!request.call_.stream_ || event.text_.empty())
    {
        co_return !context.connection_.gone();
    }
    context.connection_.start_stream();
    co_return co_await context.connection_.write(encode_chunk(request.call_, request.id_, event.text_),
                                                 request.deadline_);
}

/// Reads one connection until the answer is whole or the connection is of no more use.
task<stream_end> forward_parts(attempt_context& context, engine_stream& stream)
{
    auto& request = context.request_;
    while (!request.progress_.ended_)
    {
        const auto left = remaining_until(request.deadline_, clock::now());
        if (left == milliseconds{0})
        {
            co_return stream_end::limit_passed;
        }
        std::vector<engine_event> events;
        try
        {
            events = co_await stream.next(std::min(left, stream_silence_limit));
        }
        catch (const connection_error&)
        {
            if (clock::now() >= request.deadline_)
            {
                co_return stream_end::limit_passed;
            }
            throw;
        }
        for (const auto& event : events)
        {
            if (event.end_mark_)
            {
                continue;
            }
            const auto verdict = accept_part(request.progress_, event.header_);
            if (verdict == part_check_result::gap)
            {
                drop_part(context, verdict, event.header_);
                co_return stream_end::gap;
            }
            if (verdict != part_check_result::deliver)
            {
                drop_part(context, verdict, event.header_);
                continue;
            }
            if (!co_await deliver(context, event))
            {
                co_return stream_end::caller_gone;
            }
        }
        if (context.connection_.gone())
        {
            co_return stream_end::caller_gone;
        }
    }
    co_return stream_end::finished;
}

std::string resume_body(const model_request& request)
{
    return "{\"attempt\":" + std::to_string(request.progress_.attempt_.get()) +
           ",\"first_part\":" + std::to_string(request.progress_.next_.get()) + "}";
}

/// Opens the first connection of the attempt or, later, one that resumes it.
task<std::optional<engine_refusal>> open_stream(attempt_context& context, engine_stream& stream, bool resume)
{
    auto& request = context.request_;
    const auto left = remaining_until(request.deadline_, clock::now());
    if (resume)
    {
        co_return co_await stream.open("/v1/requests/" + request.id_.get() + "/resume", resume_body(request),
                                       std::min(left, stream_silence_limit));
    }
    engine_request sent;
    sent.request_ = request.id_;
    sent.attempt_ = request.progress_.attempt_;
    sent.holder_ = context.state_.self_;
    sent.priority_ = context.given_.priority_;
    sent.first_part_ = request.progress_.next_;
    sent.resume_text_ = request.delivered_;
    sent.prefix_keys_ = request.prefix_keys_;
    co_return co_await stream.open(std::string(path_of(request.call_.kind_)),
                                   encode_engine_request(request.call_, sent), std::min(left, first_byte_margin));
}

std::optional<attempt_result> result_of(stream_end end)
{
    switch (end)
    {
        case stream_end::finished:
            return attempt_result{attempt_end::finished, {}, {}};
        case stream_end::caller_gone:
            return attempt_result{attempt_end::caller_gone, {}, {}};
        case stream_end::limit_passed:
            return attempt_result{attempt_end::limit_passed, {}, {}};
        case stream_end::gap:
            break;
    }
    return std::nullopt;
}

attempt_result refused(const engine_refusal& refusal)
{
    const auto reason = retry_reason_of(refusal.status_, refusal.code_);
    return {attempt_end::refused, reason.value_or(retry_reason::engine_overloaded),
            "engine refused with status " + std::to_string(refusal.status_) + " " + refusal.code_};
}

}  // namespace

task<attempt_result> run_attempt(entry_state& state, model_request& request, caller_connection& connection, grant given,
                                 socket_address engine)
{
    attempt_context context{state, request, connection, std::move(given), std::move(engine)};
    attempt_result lost{attempt_end::lost, retry_reason::stream_cut, {}};
    bool begun = false;
    for (int resumes = 0; resumes <= max_resumes; ++resumes)
    {
        try
        {
            engine_stream stream(context.engine_);
            if (const auto refusal = co_await open_stream(context, stream, begun))
            {
                if (!begun)
                {
                    co_return refused(*refusal);
                }
                lost.message_ = "engine no longer holds the request: " + refusal->code_;
                co_return lost;
            }
            begun = true;
            request.bytes_sent_ = true;
            if (const auto result = result_of(co_await forward_parts(context, stream)))
            {
                co_return *result;
            }
            lost.reason_ = retry_reason::stream_cut;
            lost.message_ = "a part of the answer was missing";
        }
        catch (const connection_error& problem)
        {
            if (!begun && problem.id() == http_connect_failed)
            {
                co_return attempt_result{attempt_end::refused, retry_reason::connect_failed, problem.what()};
            }
            request.bytes_sent_ = true;
            begun = true;
            lost.reason_ = problem.id() == stream_silent || problem.id() == http_timed_out ? retry_reason::stream_silent
                                                                                           : retry_reason::stream_cut;
            lost.message_ = problem.what();
        }
        if (clock::now() >= request.deadline_)
        {
            co_return attempt_result{attempt_end::limit_passed, {}, {}};
        }
        if (connection.gone())
        {
            co_return attempt_result{attempt_end::caller_gone, {}, {}};
        }
        state.metrics_.count("cornelstall_retries_total", {{"reason", to_string(lost.reason_)}});
        log_event(severity::info, stream_resumed, lost.message_, {{"request", request.id_.get()}});
        co_await sleep_for(resume_pause);
    }
    co_return lost;
}

}  // namespace cornelstall
