#include "cornelstall/wire/connection/engine_messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

namespace cornelstall
{

namespace
{

using nlohmann::json;

constexpr int event_too_long = 241;
constexpr int event_malformed = 242;
constexpr int load_malformed = 243;
constexpr int cache_malformed = 244;
constexpr int holdings_malformed = 246;

/// Runs @a decode and turns JSON errors into a connection error.
template <class Decode>
auto decoded(int id, const char* what, std::string_view text, Decode decode)
{
    try
    {
        return decode(json::parse(text));
    }
    catch (const json::exception& problem)
    {
        throw connection_error(
            id, std::string("engine sent a malformed ") + what + "; check its version: " + problem.what());
    }
}

void append_data_line(std::string& data, std::string_view line)
{
    constexpr std::string_view prefix = "data:";
    if (!line.starts_with(prefix))
    {
        return;
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with(' '))
    {
        line.remove_prefix(1);
    }
    if (!data.empty())
    {
        data += '\n';
    }
    data += line;
}

/// The joined `data:` lines of one event block.
std::string data_of(std::string_view block)
{
    std::string data;
    while (!block.empty())
    {
        const auto end = std::min(block.find('\n'), block.size());
        auto line = block.substr(0, end);
        append_data_line(data, line);
        block.remove_prefix(std::min(end + 1, block.size()));
    }
    return data;
}

completion_usage usage_of(const json& value)
{
    return {token_count{value.value("prompt_tokens", std::int64_t{0})},
            token_count{value.value("cached_tokens", std::int64_t{0})},
            token_count{value.value("completion_tokens", std::int64_t{0})}};
}

engine_role role_of(const std::string& name)
{
    if (name == "prefill")
    {
        return engine_role::prefill;
    }
    return name == "decode" ? engine_role::decode : engine_role::mixed;
}

loaded_model model_of(const json& value)
{
    loaded_model model{
        model_id{value.at("name").get<std::string>()}, model_version{value.value("version", std::string{})}, {}};
    std::ranges::for_each(value.value("adapters", json::array()),
                          [&model](const json& adapter) { model.adapters_.emplace(adapter.get<std::string>()); });
    return model;
}

prefix_key key_of(const json& value)
{
    const auto& text = value.get_ref<const std::string&>();
    std::uint64_t key = 0;
    std::from_chars(text.data(), text.data() + text.size(), key, 16);
    return prefix_key{key};
}

cache_event cache_event_of(const json& value)
{
    return {value.value("kind", std::string("stored")) == "stored", key_of(value.at("key")),
            token_count{value.value("tokens", std::int64_t{0})}};
}

void append_holdings(std::vector<holding>& holdings, const json& list, holding_kind kind, const char* id,
                     const char* tokens)
{
    std::ranges::transform(list, std::back_inserter(holdings), [&](const json& value) {
        holding entry;
        entry.key_ = {kind, value.at(id).get<std::string>()};
        entry.request_ = request_id{value.at("request_id").get<std::string>()};
        entry.attempt_ = attempt_number{value.value("attempt", std::uint32_t{0})};
        entry.holder_ = vm_id{value.value("holder", std::string{})};
        entry.tokens_ = token_count{value.value(tokens, std::int64_t{0})};
        entry.age_ = milliseconds{value.value("age_ms", std::int64_t{0})};
        return entry;
    });
}

}  // namespace

std::vector<std::string> split_events(event_splitter& splitter, std::string_view bytes)
{
    // Line ends may be CR LF; JSON texts contain no raw CR.
    std::ranges::copy_if(bytes, std::back_inserter(splitter.pending_),
                         [](char character) { return character != '\r'; });
    std::vector<std::string> events;
    std::size_t start = 0;
    for (auto end = splitter.pending_.find("\n\n"); end != std::string::npos;
         end = splitter.pending_.find("\n\n", start))
    {
        auto data = data_of(std::string_view(splitter.pending_).substr(start, end - start));
        if (!data.empty())
        {
            events.push_back(std::move(data));
        }
        start = end + 2;
    }
    splitter.pending_.erase(0, start);
    if (splitter.pending_.size() > max_event_bytes)
    {
        throw connection_error(event_too_long, "engine sent an event of more than 1 MiB; the stream is dropped");
    }
    return events;
}

engine_event decode_engine_event(std::string_view data)
{
    if (data == "[DONE]")
    {
        engine_event end;
        end.end_mark_ = true;
        return end;
    }
    return decoded(event_malformed, "event", data, [](const json& value) {
        engine_event event;
        event.header_ = {request_id{value.at("request_id").get<std::string>()},
                         attempt_number{value.at("attempt").get<std::uint32_t>()},
                         part_number{value.at("part").get<std::uint64_t>()}, value.contains("finish_reason")};
        event.text_ = value.value("text", std::string{});
        event.finish_reason_ = value.value("finish_reason", std::string{});
        event.usage_ = usage_of(value.value("usage", json::object()));
        return event;
    });
}

std::string decode_error_code(std::string_view body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object())
    {
        return {};
    }
    const auto code = parsed["error"].find("code");
    return code != parsed["error"].end() && code->is_string() ? code->get<std::string>() : std::string{};
}

std::optional<retry_reason> retry_reason_of(int status, std::string_view code)
{
    struct refusal
    {
        int status_;
        std::string_view code_;
        retry_reason reason_;
    };
    static constexpr std::array refusals{
        refusal{429, "overloaded", retry_reason::engine_overloaded},
        refusal{503, "draining", retry_reason::engine_draining},
        refusal{404, "model_not_loaded", retry_reason::model_not_loaded},
        refusal{507, "out_of_memory", retry_reason::memory_refused},
    };
    const auto* const found = std::ranges::find_if(
        refusals, [&](const refusal& entry) { return entry.status_ == status && entry.code_ == code; });
    return found == refusals.end() ? std::nullopt : std::optional(found->reason_);
}

engine_load decode_engine_load(std::string_view body)
{
    return decoded(load_malformed, "load report", body, [](const json& value) {
        engine_load load;
        load.sequence_ = value.at("sequence").get<std::uint64_t>();
        load.running_ = value.at("running").get<int>();
        load.waiting_ = value.at("waiting").get<int>();
        load.slots_ = value.at("slots").get<int>();
        load.kv_used_ = token_count{value.at("kv_tokens_used").get<std::int64_t>()};
        load.kv_total_ = token_count{value.at("kv_tokens_total").get<std::int64_t>()};
        load.prefill_waiting_ = token_count{value.value("prefill_tokens_waiting", std::int64_t{0})};
        load.prefill_rate_ = token_rate{value.at("prefill_tokens_per_second").get<double>()};
        load.decode_rate_ = token_rate{value.at("decode_tokens_per_second").get<double>()};
        std::ranges::transform(value.at("models"), std::back_inserter(load.models_), model_of);
        load.role_ = role_of(value.value("role", std::string("mixed")));
        load.draining_ = value.value("draining", false);
        return load;
    });
}

cache_events decode_cache_events(std::string_view body)
{
    return decoded(cache_malformed, "list of cache events", body, [](const json& value) {
        cache_events result;
        std::ranges::transform(value.at("events"), std::back_inserter(result.events_), cache_event_of);
        result.oldest_ = value.at("oldest").get<std::uint64_t>();
        result.next_ = value.at("next").get<std::uint64_t>();
        return result;
    });
}

cache_list decode_cache_list(std::string_view body)
{
    return decoded(cache_malformed, "cache list", body, [](const json& value) {
        cache_list result;
        result.sequence_ = value.at("sequence").get<std::uint64_t>();
        std::ranges::transform(value.at("keys"), std::back_inserter(result.entries_), cache_event_of);
        return result;
    });
}

std::vector<holding> decode_holdings(std::string_view body)
{
    return decoded(holdings_malformed, "list of holdings", body, [](const json& value) {
        std::vector<holding> holdings;
        append_holdings(holdings, value.at("requests"), holding_kind::request, "request_id", "kv_tokens");
        append_holdings(holdings, value.at("reservations"), holding_kind::reservation, "reservation_id", "tokens");
        append_holdings(holdings, value.at("exports"), holding_kind::kv_export, "export_id", "tokens");
        return holdings;
    });
}

}  // namespace cornelstall
