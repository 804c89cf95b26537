#include "cornelstall/wire/process/claims_codec.hpp"

#include <algorithm>

#include "process/record_fields.hpp"

namespace cornelstall
{

namespace
{

using detail::id_field;
using detail::number_field;
using detail::require_field;
using nlohmann::json;

constexpr std::uint64_t highest_status = 999;
constexpr std::size_t longest_method = 16;
constexpr std::size_t longest_content_type = 256;

/// Writes each byte as the character with its number, in UTF-8.
std::string to_characters(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    std::ranges::for_each(bytes, [&](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < 0x80U)
        {
            text += letter;
            return;
        }
        text += static_cast<char>(0xC0U | (byte >> 6U));
        text += static_cast<char>(0x80U | (byte & 0x3FU));
    });
    return text;
}

/// Reads what to_characters wrote.
std::string to_bytes(std::string_view text, const char* field)
{
    std::string bytes;
    bytes.reserve(text.size());
    unsigned int lead = 0;
    std::ranges::for_each(text, [&](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        if (lead != 0)
        {
            bytes += static_cast<char>(((lead & 0x03U) << 6U) | (byte & 0x3FU));
            lead = 0;
        }
        else if (byte < 0x80U)
        {
            bytes += letter;
        }
        else
        {
            require_field(byte == 0xC2U || byte == 0xC3U, field);
            lead = byte;
        }
    });
    return bytes;
}

std::string bytes_field(const json& value, const char* field, std::size_t longest)
{
    auto bytes = to_bytes(value.at(field).get<std::string>(), field);
    require_field(bytes.size() <= longest, field);
    return bytes;
}

void add_call(json& value, const claim_key& key, const claimed_call& call)
{
    value["caller"] = to_characters(key.caller_.get());
    value["key"] = to_characters(key.key_.get());
    value["method"] = to_characters(call.method_);
    value["path"] = to_characters(call.path_);
    value["body_hash"] = to_characters(call.body_.get());
}

claim_key key_of(const json& value)
{
    return {caller_id{bytes_field(value, "caller", detail::longest_record_id)},
            idempotency_key{bytes_field(value, "key", max_idempotency_key_length)}};
}

claimed_call call_of(const json& value)
{
    return {bytes_field(value, "method", longest_method), bytes_field(value, "path", max_claimed_path_length),
            body_hash{bytes_field(value, "body_hash", detail::longest_record_id)}};
}

json to_json(const claim_record& record)
{
    json value{{"kind", "claim"}, {"claim", record.id_.get()}, {"claimant", record.claimant_.get()}};
    add_call(value, record.key_, record.call_);
    return value;
}

json to_json(const outcome_record& record)
{
    json value{{"kind", "outcome"},
               {"claim", record.claim_.get()},
               {"outcome", to_string(record.answer_.outcome_)},
               {"status", record.answer_.status_},
               {"content_type", to_characters(record.answer_.content_type_)},
               {"body", to_characters(record.answer_.body_)},
               {"truncated", record.answer_.truncated_}};
    add_call(value, record.key_, record.call_);
    return value;
}

json to_json(const abandoned_record& record)
{
    return {{"kind", "abandoned"}, {"claim", record.claim_.get()}};
}

outcome outcome_field(const json& value)
{
    try
    {
        return parse_outcome(value.at("outcome").get<std::string>());
    }
    catch (const connection_error&)
    {
        throw std::invalid_argument("outcome");
    }
}

claims_record outcome_of(const json& value)
{
    const auto status = number_field(value, "status");
    require_field(status <= highest_status, "status");
    recorded_answer answer{outcome_field(value), static_cast<int>(status),
                           bytes_field(value, "content_type", longest_content_type),
                           bytes_field(value, "body", max_recorded_body_size.get()), value.at("truncated").get<bool>()};
    return outcome_record{claim_id{id_field(value, "claim")}, key_of(value), call_of(value), std::move(answer)};
}

claims_record record_of(const json& value)
{
    const auto kind = value.at("kind").get<std::string>();
    if (kind == "claim")
    {
        return claim_record{claim_id{id_field(value, "claim")}, vm_id{id_field(value, "claimant")}, key_of(value),
                            call_of(value)};
    }
    if (kind == "outcome")
    {
        return outcome_of(value);
    }
    require_field(kind == "abandoned", "kind");
    return abandoned_record{claim_id{id_field(value, "claim")}};
}

}  // namespace

std::string encode(const claims_record& record)
{
    return std::visit([](const auto& kind) { return to_json(kind).dump(); }, record);
}

std::optional<claims_record> decode_claims_record(std::string_view text)
{
    return detail::read_record(text, max_claims_record.get(), [](const json& value) { return record_of(value); });
}

}  // namespace cornelstall
