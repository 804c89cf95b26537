#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <nlohmann/json.hpp>

#include "cornelstall/wire/request/completion.hpp"

namespace cornelstall
{

namespace
{

using nlohmann::json;

constexpr auto lenient = json::error_handler_t::replace;

std::string hexadecimal(prefix_key key)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(key.get()));
    return {text.data(), 16};
}

json chunk_of(const completion_call& call, const request_id& request)
{
    const bool chat = call.kind_ == completion_kind::chat;
    return json{{"id", request.get()},
                {"object", chat ? "chat.completion.chunk" : "text_completion"},
                {"created", std::time(nullptr)},
                {"model", call.model_.get()}};
}

std::string event_of(const json& value)
{
    return "data: " + value.dump(-1, ' ', false, lenient) + "\n\n";
}

json usage_of(const completion_usage& usage)
{
    return json{{"prompt_tokens", usage.prompt_.get()},
                {"completion_tokens", usage.output_.get()},
                {"total_tokens", (usage.prompt_ + usage.output_).get()},
                {"prompt_tokens_details", {{"cached_tokens", usage.cached_.get()}}}};
}

}  // namespace

std::string_view path_of(completion_kind kind) noexcept
{
    return kind == completion_kind::chat ? "/v1/chat/completions" : "/v1/completions";
}

std::string encode_engine_request(const completion_call& call, const engine_request& request)
{
    json body = json::parse(call.parameters_);
    body["model"] = call.model_.get();
    body["max_tokens"] = call.max_output_.get();
    body["stream"] = true;
    body["request_id"] = request.request_.get();
    body["attempt"] = request.attempt_.get();
    body["holder"] = request.holder_.get();
    body["priority"] = request.priority_;
    body["first_part"] = request.first_part_.get();
    if (!request.resume_text_.empty())
    {
        body["resume_text"] = request.resume_text_;
    }
    if (!call.adapter_.empty())
    {
        body["adapter"] = call.adapter_.get();
    }
    if (!request.reservation_.empty())
    {
        body["reservation_id"] = request.reservation_.get();
    }
    json keys = json::array();
    std::ranges::transform(request.prefix_keys_, std::back_inserter(keys), hexadecimal);
    body["prefix_keys"] = std::move(keys);
    json imports = json::array();
    std::ranges::transform(request.imports_, std::back_inserter(imports), [](const auto& import) {
        return json{{"address", import.first.get()}, {"export_id", import.second.get()}};
    });
    body["imports"] = std::move(imports);

    // The prompt is by far the largest part: it is appended to the text of the rest, which saves one copy in the JSON
    // tree.
    std::string text = body.dump(-1, ' ', false, lenient);
    text.pop_back();
    if (call.kind_ == completion_kind::chat)
    {
        return text.append(",\"messages\":").append(call.prompt_).append("}");
    }
    return text.append(",\"prompt\":").append(json(call.prompt_).dump(-1, ' ', false, lenient)).append("}");
}

std::string encode_chunk(const completion_call& call, const request_id& request, std::string_view text)
{
    json chunk = chunk_of(call, request);
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (call.kind_ == completion_kind::chat)
    {
        choice["delta"] = json{{"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    chunk["choices"] = json::array({std::move(choice)});
    return event_of(chunk);
}

std::string encode_end(const completion_call& call, const request_id& request, std::string_view finish_reason,
                       const completion_usage& usage)
{
    json chunk = chunk_of(call, request);
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (call.kind_ == completion_kind::chat)
    {
        choice["delta"] = json::object();
    }
    else
    {
        choice["text"] = "";
    }
    chunk["choices"] = json::array({std::move(choice)});
    chunk["usage"] = usage_of(usage);
    return event_of(chunk) + "data: [DONE]\n\n";
}

std::string encode_answer(const completion_call& call, const request_id& request, std::string_view text,
                          std::string_view finish_reason, const completion_usage& usage)
{
    json answer = chunk_of(call, request);
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (call.kind_ == completion_kind::chat)
    {
        answer["object"] = "chat.completion";
        choice["message"] = json{{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    answer["choices"] = json::array({std::move(choice)});
    answer["usage"] = usage_of(usage);
    return answer.dump(-1, ' ', false, lenient);
}

std::string encode_error(const request_error& problem, const request_id& request)
{
    json body{{"code", problem.id()},
              {"message", problem.what()},
              {"reason", to_string(problem.reason())},
              {"outcome", to_string(problem.execution_outcome())},
              {"request_id", request.get()}};
    if (const auto retry_after = problem.retry_after())
    {
        body["retry_after_ms"] = retry_after->count();
    }
    return json{{"error", std::move(body)}}.dump(-1, ' ', false, lenient);
}

int status_of(refusal_reason reason) noexcept
{
    switch (reason)
    {
        case refusal_reason::unknown_key:
            return 401;
        case refusal_reason::model_not_allowed:
        case refusal_reason::rank_not_allowed:
            return 403;
        case refusal_reason::unknown_model:
            return 404;
        case refusal_reason::slow_sender:
            return 408;
        case refusal_reason::duplicate_in_progress:
            return 409;
        case refusal_reason::body_too_large:
        case refusal_reason::prompt_too_long:
            return 413;
        case refusal_reason::malformed_request:
        case refusal_reason::output_too_long:
        case refusal_reason::idempotency_key_missing:
            return 400;
        case refusal_reason::time_limit_unreachable:
        case refusal_reason::queue_full:
        case refusal_reason::caller_queue_full:
            return 429;
        case refusal_reason::expired_in_queue:
        case refusal_reason::time_limit_passed:
            return 504;
        case refusal_reason::stream_failed:
            return 502;
        case refusal_reason::no_configuration:
        case refusal_reason::no_engine_ready:
        case refusal_reason::memory_unavailable:
        case refusal_reason::retry_budget_empty:
        case refusal_reason::log_unavailable:
        case refusal_reason::no_server_ready:
        case refusal_reason::stopping:
            return 503;
    }
    return 500;
}

}  // namespace cornelstall
