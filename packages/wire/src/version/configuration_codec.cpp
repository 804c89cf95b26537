#include "cornelstall/wire/version/configuration_codec.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace cornelstall
{

namespace
{

using nlohmann::json;

// An id is at most this long, so that status pages and messages stay readable.
constexpr std::size_t max_id_length = 128;
// A snapshot of more parts than this would not be read within a start of a VM.
constexpr std::uint64_t max_snapshot_parts = 4096;

std::string bounded(const json& value)
{
    auto text = value.dump();
    if (text.size() > max_configuration_record.get())
    {
        throw version_error(321, "the configuration record has " + std::to_string(text.size()) +
                                     " bytes, more than the " + std::to_string(max_configuration_record.get()) +
                                     " that the log stream takes; publish fewer directories at once");
    }
    return text;
}

json to_json(const declaration_change& change)
{
    return {{"service", change.service_.get()}, {"base", change.base_.get()}, {"text", change.text_}};
}

json to_json(const declaration& declared)
{
    return {
        {"service", declared.service_.get()}, {"accepted_at", declared.accepted_at_.get()}, {"text", declared.text_}};
}

template <class Range>
json to_json_list(const Range& range)
{
    auto list = json::array();
    std::ranges::transform(range, std::back_inserter(list), [](const auto& one) { return to_json(one); });
    return list;
}

/// Makes the record malformed; caught in decode_configuration.
void require(bool condition, const char* problem)
{
    if (!condition)
    {
        throw std::invalid_argument(problem);
    }
}

std::uint64_t number_at(const json& value, const char* field)
{
    const auto& found = value.at(field);
    require(found.is_number_unsigned(), field);
    return found.get<std::uint64_t>();
}

bool is_control(char letter)
{
    return static_cast<unsigned char>(letter) < 0x20U;
}

std::string id_at(const json& value, const char* field)
{
    auto text = value.at(field).get<std::string>();
    require(!text.empty() && text.size() <= max_id_length && std::ranges::none_of(text, is_control), field);
    return text;
}

/// A declaration's text, of which every character has at most two bytes when it is encoded again, as in TOML. Others
/// could make a snapshot record larger than the stream takes.
std::string text_at(const json& value)
{
    auto text = value.at("text").get<std::string>();
    require(text.size() <= max_declaration_size.get(), "the text is larger than a declaration may be");
    const auto is_forbidden = [](char letter) {
        return is_control(letter) && letter != '\n' && letter != '\r' && letter != '\t';
    };
    require(std::ranges::none_of(text, is_forbidden), "the text holds control characters");
    return text;
}

const json& list_at(const json& value, const char* field)
{
    const auto& found = value.at(field);
    require(found.is_array(), field);
    return found;
}

/// Two entries for one service would leave open which one holds.
void require_distinct(std::set<service_id>& seen, const service_id& service)
{
    require(seen.insert(service).second, "a service occurs twice");
}

change_record change_of(const json& value)
{
    change_record record{publication_id{id_at(value, "publication_id")}, {}};
    std::set<service_id> seen;
    std::ranges::transform(list_at(value, "changes"), std::back_inserter(record.changes_), [&](const json& one) {
        declaration_change change{service_id{id_at(one, "service")}, log_offset{number_at(one, "base")}, text_at(one)};
        require_distinct(seen, change.service_);
        return change;
    });
    require(!record.changes_.empty(), "the record changes nothing");
    return record;
}

snapshot_record snapshot_of(const json& value)
{
    const auto part = number_at(value, "part");
    const auto parts = number_at(value, "parts");
    require(parts >= 1 && parts <= max_snapshot_parts && part < parts, "part");
    snapshot_record record{id_at(value, "snapshot_id"),
                           configuration_version{number_at(value, "version")},
                           log_offset{number_at(value, "read_through")},
                           static_cast<std::uint32_t>(part),
                           static_cast<std::uint32_t>(parts),
                           {}};
    require(record.version_.get() <= record.read_through_.get(), "version is above read_through");
    std::set<service_id> seen;
    std::ranges::transform(
        list_at(value, "declarations"), std::back_inserter(record.declarations_), [&](const json& one) {
            declaration declared{service_id{id_at(one, "service")}, text_at(one),
                                 log_offset{number_at(one, "accepted_at")}};
            require(declared.accepted_at_.get() <= record.version_.get(), "accepted_at is above version");
            require_distinct(seen, declared.service_);
            return declared;
        });
    return record;
}

}  // namespace

std::string encode(const change_record& record)
{
    return bounded({{"kind", "change"},
                    {"publication_id", record.publication_.get()},
                    {"changes", to_json_list(record.changes_)}});
}

std::string encode(const snapshot_record& record)
{
    return bounded({{"kind", "snapshot"},
                    {"snapshot_id", record.snapshot_id_},
                    {"version", record.version_.get()},
                    {"read_through", record.read_through_.get()},
                    {"part", record.part_},
                    {"parts", record.parts_},
                    {"declarations", to_json_list(record.declarations_)}});
}

configuration_record decode_configuration(std::string_view text)
{
    if (text.size() > max_configuration_record.get())
    {
        return malformed_record{"larger than the limit"};
    }
    try
    {
        const auto value = json::parse(text);
        const auto kind = value.at("kind").get<std::string>();
        if (kind == "change")
        {
            return change_of(value);
        }
        if (kind == "snapshot")
        {
            return snapshot_of(value);
        }
        return malformed_record{"unknown kind '" + kind.substr(0, max_id_length) + "'"};
    }
    catch (const json::exception& problem)
    {
        return malformed_record{problem.what()};
    }
    catch (const std::invalid_argument& problem)
    {
        return malformed_record{"invalid value: " + std::string(problem.what())};
    }
}

}  // namespace cornelstall
