#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "cornelstall/wire/request/completion.hpp"

namespace cornelstall
{

namespace
{

using nlohmann::json;

[[noreturn]] void refuse(int id, const std::string& message)
{
    throw request_error(id, refusal_reason::malformed_request, outcome::did_not_run, message);
}

json parse_body(std::string_view body)
{
    bool too_deep = false;
    // The parser reports the depth of each value; values that are too deep are discarded as they are read.
    const auto check_depth = [&too_deep](int depth, json::parse_event_t /*event*/, const json& /*value*/) {
        too_deep = too_deep || depth > max_json_depth;
        return depth <= max_json_depth;
    };
    auto parsed = json::parse(body, check_depth, false);
    if (too_deep)
    {
        refuse(111, "the body is nested deeper than " + std::to_string(max_json_depth) + " levels; flatten it");
    }
    if (!parsed.is_object())
    {
        refuse(110, "the body is not a JSON object; send one with Content-Type application/json");
    }
    return parsed;
}

/// Moves the member @a name out of @a body; null when it is absent.
json take(json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end())
    {
        return nullptr;
    }
    json value = std::move(*found);
    body.erase(found);
    return value;
}

std::string take_text(json& body, const char* name)
{
    json value = take(body, name);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
    {
        refuse(112, std::string("field '") + name + "' is missing or not a text; set it to a non-empty string");
    }
    return std::move(value.get_ref<std::string&>());
}

std::string take_messages(json& body)
{
    const json messages = take(body, "messages");
    if (!messages.is_array() || messages.empty())
    {
        refuse(112, "field 'messages' is missing or empty; send at least one message");
    }
    const bool valid = std::ranges::all_of(messages, [](const json& message) {
        return message.is_object() && message.contains("role") && message["role"].is_string() &&
               message.contains("content") && message["content"].is_string();
    });
    if (!valid)
    {
        refuse(112, "a message lacks 'role' or 'content' as text; send both");
    }
    return messages.dump();
}

token_count take_max_output(json& body, token_count fallback)
{
    json value = take(body, "max_tokens");
    if (value.is_null())
    {
        value = take(body, "max_completion_tokens");
    }
    if (value.is_null())
    {
        return fallback;
    }
    if (!value.is_number_integer() || value.get<std::int64_t>() < 1)
    {
        refuse(113, "field 'max_tokens' is not a positive whole number; set it to the longest answer wanted");
    }
    return token_count{value.get<std::int64_t>()};
}

void refuse_unsupported(const json& body)
{
    const auto count = body.find("n");
    if (count != body.end() && (!count->is_number_integer() || *count != 1))
    {
        refuse(114, "field 'n' must be 1; send one request for each answer");
    }
}

/// Fields that the entry process sets itself; a caller must not forge them.
constexpr std::array own_fields{"request_id",  "attempt",     "holder",  "priority",       "first_part",
                                "prefix_keys", "resume_text", "imports", "reservation_id", "stream_options"};

}  // namespace

completion_call decode_completion(completion_kind kind, std::string_view body)
{
    json parsed = parse_body(body);
    completion_call call;
    call.kind_ = kind;
    call.model_ = model_id{take_text(parsed, "model")};
    call.prompt_ = kind == completion_kind::text ? take_text(parsed, "prompt") : take_messages(parsed);
    call.max_output_ = take_max_output(parsed, call.max_output_);
    if (const json adapter = take(parsed, "adapter"); adapter.is_string())
    {
        call.adapter_ = adapter_id{adapter.get<std::string>()};
    }
    const json stream = take(parsed, "stream");
    if (!stream.is_null() && !stream.is_boolean())
    {
        refuse(112, "field 'stream' is not true or false");
    }
    call.stream_ = stream.is_boolean() && stream.get<bool>();
    refuse_unsupported(parsed);
    std::ranges::for_each(own_fields, [&parsed](const char* name) { parsed.erase(name); });
    call.parameters_ = parsed.dump();
    return call;
}

}  // namespace cornelstall
