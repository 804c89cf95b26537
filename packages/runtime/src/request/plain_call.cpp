#include "cornelstall/runtime/request/plain_call.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

#include <openssl/sha.h>

namespace cornelstall
{

namespace
{

using shared_context = std::shared_ptr<plain_call_context>;

constexpr int status_unavailable = 503;
/// A retry that has less time than this cannot get an answer.
constexpr milliseconds least_useful_time{5};

/// How one attempt ended.
struct attempt
{
    std::optional<http_answer> answer_;  ///< when the server ran the call
    retry_reason reason_ = retry_reason::connect_failed;
    outcome outcome_ = outcome::did_not_run;
    bool bytes_sent_ = false;
    bool timed_out_ = false;
};

std::string hex_digits(const std::array<unsigned char, SHA256_DIGEST_LENGTH>& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    std::ranges::for_each(digest, [&](unsigned char byte) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0FU];
    });
    return text;
}

claimed_call identify(const http_call& call)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(call.body_.data()), call.body_.size(), digest.data());
    return {call.method_, call.path_, body_hash{hex_digits(digest)}};
}

bool is_draining(const http_answer& answer)
{
    const auto header = answer.headers_.find("x-draining");
    return answer.status_ == status_unavailable && header != answer.headers_.end() && header->second == "true";
}

attempt failed_attempt(const connection_error& problem)
{
    attempt ended;
    ended.bytes_sent_ = problem.id() != http_connect_failed;
    ended.outcome_ = ended.bytes_sent_ ? outcome::unknown : outcome::did_not_run;
    ended.timed_out_ = problem.id() == http_timed_out;
    if (ended.bytes_sent_)
    {
        ended.reason_ = ended.timed_out_ ? retry_reason::stream_silent : retry_reason::stream_cut;
    }
    return ended;
}

task<attempt> try_server(shared_context context, plain_server server, http_call call, milliseconds limit)
{
    call.base_url_ = "http://" + server.address_.get();
    call.timeout_ = limit;
    attempt ended;
    try
    {
        auto answer = co_await context->send_(std::move(call));
        ended.bytes_sent_ = true;
        if (is_draining(answer))
        {
            ended.reason_ = retry_reason::engine_draining;
            context->note_draining_(server.id_);
        }
        else
        {
            ended.outcome_ = outcome::ran;
            ended.answer_ = std::move(answer);
        }
    }
    catch (const connection_error& problem)
    {
        ended = failed_attempt(problem);
    }
    co_return ended;
}

/// The next server that was not tried, or the first one again when all were.
std::optional<plain_server> next_server(const plain_call_context& context, const plain_request& request,
                                        const std::set<server_id>& tried)
{
    const auto servers = context.servers_(request.service_);
    const auto fresh =
        std::ranges::find_if(servers, [&](const plain_server& server) { return !tried.contains(server.id_); });
    if (fresh != servers.end())
    {
        return *fresh;
    }
    return servers.empty() ? std::nullopt : std::optional{servers.front()};
}

[[noreturn]] void refuse_attempt(const plain_request& request, const attempt& ended)
{
    if (ended.timed_out_)
    {
        throw request_error(plain_time_passed, refusal_reason::time_limit_passed, ended.outcome_,
                            "service " + request.service_ + " did not answer in time; raise its timeout if it is slow");
    }
    if (!ended.bytes_sent_ || ended.reason_ == retry_reason::engine_draining)
    {
        throw request_error(plain_no_server, refusal_reason::no_server_ready, ended.outcome_,
                            "no server of service " + request.service_ + " takes the call; try again",
                            milliseconds{1'000});
    }
    throw request_error(plain_failed, refusal_reason::stream_failed, ended.outcome_,
                        "the connection to service " + request.service_ + " broke before its answer");
}

[[noreturn]] void refuse_without_server(const plain_request& request)
{
    throw request_error(plain_no_server, refusal_reason::no_server_ready, outcome::did_not_run,
                        "service " + request.service_ + " has no server that takes calls; try again",
                        milliseconds{1'000});
}

milliseconds attempt_limit(const plain_call_context& context, const plain_request& request)
{
    return std::min(request.policy_.timeout_, remaining_until(request.deadline_, context.clock_.now_()));
}

bool is_retried(plain_call_context& context, const plain_request& request, const attempt& ended)
{
    const time_point now = context.clock_.now_();
    const retry_context question{ended.reason_,
                                 ended.outcome_,
                                 request.policy_.idempotent_,
                                 ended.bytes_sent_,
                                 remaining_until(request.deadline_, now),
                                 least_useful_time};
    if (!try_consume_retry(*context.budget_, question, now))
    {
        return false;
    }
    context.metrics_->count("retries_total", {{"reason", to_string(ended.reason_)}});
    return true;
}

/// Tries servers until one answers, no retry is allowed, or @a may_go_on says no before an attempt.
/// @return nothing when no attempt was made
task<std::optional<attempt>> try_servers(shared_context context, plain_request request, std::function<bool()> may_go_on)
{
    std::set<server_id> tried;
    std::optional<attempt> last;
    // Nothing may be awaited between the check and the call, so that no pause of this task comes between them.
    while (may_go_on())
    {
        const auto server = next_server(*context, request, tried);
        if (!server)
        {
            break;
        }
        tried.insert(server->id_);
        auto ended = co_await try_server(context, *server, request.call_, attempt_limit(*context, request));
        // What an earlier attempt may have done stays possible when this one certainly did not run.
        if (last && last->outcome_ == outcome::unknown && ended.outcome_ == outcome::did_not_run)
        {
            ended.outcome_ = outcome::unknown;
        }
        const bool done = ended.answer_ || !is_retried(*context, request, ended);
        last = std::move(ended);
        if (done)
        {
            break;
        }
    }
    co_return last;
}

task<http_answer> call_idempotent(shared_context context, plain_request request)
{
    const auto in_time = [context, deadline = request.deadline_] {
        return context->clock_.now_() < deadline;
    };
    auto ended = co_await try_servers(context, request, in_time);
    if (!ended)
    {
        refuse_without_server(request);
    }
    if (!ended->answer_)
    {
        refuse_attempt(request, *ended);
    }
    co_return std::move(*ended->answer_);
}

void check_key(const plain_request& request)
{
    if (request.key_.empty())
    {
        throw request_error(plain_key_missing, refusal_reason::idempotency_key_missing, outcome::did_not_run,
                            "this call may not run twice; send an Idempotency-Key header");
    }
    if (request.key_.get().size() > max_idempotency_key_length || request.call_.path_.size() > max_claimed_path_length)
    {
        throw request_error(plain_key_misused, refusal_reason::malformed_request, outcome::did_not_run,
                            "the Idempotency-Key or the path is too long; at most 256 and 2048 bytes");
    }
}

/// Puts a recorded answer in the form of a fresh one, or throws what the first call threw.
http_answer replay(const recorded_answer& recorded)
{
    if (recorded.outcome_ != outcome::ran)
    {
        throw request_error(plain_recorded, refusal_reason::stream_failed, recorded.outcome_,
                            "the call with this Idempotency-Key was sent and its answer was not received");
    }
    http_answer answer{recorded.status_, recorded.body_, {{"x-replayed", "true"}}};
    if (!recorded.content_type_.empty())
    {
        answer.headers_.emplace("content-type", recorded.content_type_);
    }
    if (recorded.truncated_)
    {
        answer.headers_.emplace("x-replay-truncated", "true");
    }
    return answer;
}

[[noreturn]] void refuse_log_unavailable()
{
    throw request_error(plain_log_unavailable, refusal_reason::log_unavailable, outcome::did_not_run,
                        "the log cannot confirm that this call runs once; try again with the same key",
                        milliseconds{1'000});
}

http_answer answer_without_call(const key_decision& decision)
{
    switch (decision.kind_)
    {
        case key_decision_kind::replay:
            return replay(decision.answer_.value_or(recorded_answer{}));
        case key_decision_kind::different_request:
            throw request_error(plain_key_misused, refusal_reason::malformed_request, outcome::did_not_run,
                                "the Idempotency-Key was used for another method, path or body; send a new key");
        case key_decision_kind::index_incomplete:
        case key_decision_kind::may_claim:
            refuse_log_unavailable();
        case key_decision_kind::wait:
        case key_decision_kind::unknown:
            break;
    }
    throw request_error(
        plain_duplicate, refusal_reason::duplicate_in_progress, outcome::unknown,
        "a call with this Idempotency-Key was claimed and its outcome is not known; it is not repeated");
}

recorded_answer to_record(const attempt& ended)
{
    if (!ended.answer_)
    {
        return {outcome::unknown, 0, {}, {}, false};
    }
    const auto type = ended.answer_->headers_.find("content-type");
    return {outcome::ran, ended.answer_->status_, type == ended.answer_->headers_.end() ? "" : type->second,
            ended.answer_->body_, false};
}

/// Waits for an append that nobody needs to wait for.
task<> run_in_background(task<bool> appended)
{
    (void)co_await std::move(appended);
}

task<http_answer> send_claimed(shared_context context, plain_request request, held_claim held)
{
    const auto may_go_on = [context, held] {
        return may_send_now(*context->claims_, held);
    };
    auto ended = co_await try_servers(context, request, may_go_on);
    if (!ended || ended->outcome_ == outcome::did_not_run)
    {
        // The caller may repeat the key at once; nothing ran under this claim and nothing will.
        spawn(context->where_, "abandon_claim", run_in_background(abandon(context->claims_, held.id_)));
        if (!ended)
        {
            refuse_without_server(request);
        }
        refuse_attempt(request, *ended);
    }
    spawn(context->where_, "record_outcome",
          run_in_background(record_outcome(context->claims_, held, to_record(*ended))));
    if (!ended->answer_)
    {
        refuse_attempt(request, *ended);
    }
    co_return std::move(*ended->answer_);
}

task<http_answer> call_once(shared_context context, plain_request request)
{
    check_key(request);
    const claim_key key{request.caller_, request.key_};
    const auto identity = identify(request.call_);
    while (context->clock_.now_() < request.deadline_)
    {
        const auto decision = co_await wait_for_outcome(context->claims_, key, identity, request.deadline_);
        if (decision.kind_ != key_decision_kind::may_claim)
        {
            co_return answer_without_call(decision);
        }
        const auto held = co_await claim(context->claims_, key, identity, request.deadline_);
        if (held.status_ == claim_status::won)
        {
            co_return co_await send_claimed(context, request, held);
        }
        if (held.status_ != claim_status::taken)
        {
            refuse_log_unavailable();
        }
    }
    // Another claim for this key won at the last moment, and its call may run.
    co_return answer_without_call({key_decision_kind::unknown, std::nullopt});
}

}  // namespace

task<http_answer> call_plain_service(std::shared_ptr<plain_call_context> context, plain_request request)
{
    record_request(*context->budget_, context->clock_.now_());
    if (request.policy_.idempotent_)
    {
        return call_idempotent(std::move(context), std::move(request));
    }
    return call_once(std::move(context), std::move(request));
}

}  // namespace cornelstall
