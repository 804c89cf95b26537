#include "cornelstall/wire/process/lease_codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "process/record_fields.hpp"

namespace cornelstall
{

namespace
{

using nlohmann::json;

constexpr std::array<std::pair<lease_action, std::string_view>, 3> action_names{{
    {lease_action::acquire, "acquire"},
    {lease_action::renew, "renew"},
    {lease_action::release, "release"},
}};

std::string_view name_of(lease_action action)
{
    const auto* const found =
        std::ranges::find(action_names, action, &std::pair<lease_action, std::string_view>::first);
    return found == action_names.end() ? std::string_view{"invalid"} : found->second;
}

lease_action action_field(const json& value)
{
    const auto name = value.at("kind").get<std::string>();
    const auto* const found = std::ranges::find(action_names, name, &std::pair<lease_action, std::string_view>::second);
    detail::require_field(found != action_names.end(), "kind");
    return found->first;
}

lease_record record_of(const json& value)
{
    return {data_centre_id{detail::id_field(value, "data_centre")}, action_field(value),
            vm_id{detail::id_field(value, "holder")}, lease_attempt{detail::number_field(value, "attempt")},
            log_offset{detail::number_field(value, "replaces")}};
}

}  // namespace

std::string encode(const lease_record& record)
{
    return json{{"kind", name_of(record.action_)},
                {"data_centre", record.data_centre_.get()},
                {"holder", record.holder_.get()},
                {"attempt", record.attempt_.get()},
                {"replaces", record.replaces_.get()}}
        .dump();
}

std::optional<lease_record> decode_lease_record(std::string_view text)
{
    return detail::read_record(text, max_lease_record.get(), [](const json& value) { return record_of(value); });
}

}  // namespace cornelstall
