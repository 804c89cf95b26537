#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelstall/decisions/version/ordering.hpp"

namespace cornelstall
{

/// @brief Stable numbers of the faults in one declaration. Numbers 308 to 311 are those of `policy_fault_id`.
enum class declaration_fault_id
{
    unreadable = 301,
    too_large = 302,
    syntax = 303,
    unknown_field = 304,
    missing_field = 305,
    wrong_type = 306,
    bad_value = 307,
    duplicate = 308,
    nothing_declared = 312,
    wrong_service = 313
};

/// @brief One fault in a declaration file.
struct declaration_fault
{
    int id_ = 0;
    std::string file_;
    int line_ = 0;       ///< from 1; 0 when the fault concerns the whole file
    std::string field_;  ///< path such as `callers[2].weight`; empty when the fault concerns no field
    std::string problem_;
    std::string remedy_;
};

/// @brief `file:line: field: problem; remedy`.
[[nodiscard]] std::string to_string(const declaration_fault& fault);

/// @brief The error that reports @a fault, with the same id.
[[nodiscard]] version_error to_error(const declaration_fault& fault);

/// @brief What parsing one declaration gave.
struct declaration_parse
{
    std::optional<parsed_policy> policy_;  ///< absent when there are faults
    std::map<std::string, int> lines_;     ///< line of each field, by path
    std::vector<declaration_fault> faults_;
};

/// @brief Reads the declaration of one service; finds all faults in one pass, but for syntax, where the first one ends
/// the reading.
/// @param file the name for messages
/// @note O(n) in the length of the text; nesting is bounded.
[[nodiscard]] declaration_parse parse_service(const std::string& file, std::string_view text);

/// @brief Reads `fleet.toml`, like `parse_service`.
[[nodiscard]] declaration_parse parse_fleet(const std::string& file, std::string_view text);

/// @brief The `parse_function` for published declarations: reads the declaration of @a service.
/// @throws version_error (ids 301 to 313) with the first fault; id 313 when the text declares another service
[[nodiscard]] parsed_policy parse_declaration(const service_id& service, const std::string& text);

}  // namespace cornelstall
