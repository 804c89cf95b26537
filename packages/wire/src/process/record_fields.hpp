#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace cornelstall::detail
{

/// @brief Longest id in a log record, in bytes.
inline constexpr std::size_t longest_record_id = 128;

/// @brief Checks a field.
/// @throws std::invalid_argument which makes the record malformed
inline void require_field(bool condition, const char* field)
{
    if (!condition)
    {
        throw std::invalid_argument(field);
    }
}

/// @brief A non-negative integer field.
/// @throws std::invalid_argument or nlohmann::json::exception
inline std::uint64_t number_field(const nlohmann::json& value, const char* field)
{
    const auto& found = value.at(field);
    require_field(found.is_number_unsigned(), field);
    return found.get<std::uint64_t>();
}

/// @brief A text field of 1 to @a longest bytes.
/// @throws std::invalid_argument or nlohmann::json::exception
inline std::string id_field(const nlohmann::json& value, const char* field, std::size_t longest = longest_record_id)
{
    auto text = value.at(field).get<std::string>();
    require_field(!text.empty() && text.size() <= longest, field);
    return text;
}

/// @brief Runs @a read on the parsed text.
/// @return nothing when the text is too long, is not JSON, or @a read finds a field missing or wrong
template <class Read>
auto read_record(std::string_view text, std::size_t longest, const Read& read)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    if (text.size() > longest)
    {
        return std::nullopt;
    }
    try
    {
        return read(nlohmann::json::parse(text));
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
    catch (const std::invalid_argument&)
    {
        return std::nullopt;
    }
}

}  // namespace cornelstall::detail
