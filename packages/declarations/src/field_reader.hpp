#pragma once

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornelstall/declarations/detail/toml_library.hpp"
#include "cornelstall/declarations/parse.hpp"

namespace cornelstall::detail
{

/// @brief A declaration that is being read.
struct reading
{
    std::string file_;
    declaration_parse result_;
};

/// @brief A table of the file and its path; reading from it reports faults to the reading.
struct table_view
{
    reading* reading_ = nullptr;
    const toml::table* table_ = nullptr;
    std::string path_;  ///< empty for the root
};

/// @brief Whole numbers that a field may have.
struct integer_range
{
    std::int64_t lowest_ = 0;
    std::int64_t highest_ = 0;
};

/// @brief Numbers that a field may have.
struct number_range
{
    double lowest_ = 0.0;
    double highest_ = 0.0;
};

[[nodiscard]] std::string path_of(const table_view& table, std::string_view field);
[[nodiscard]] int line_of(const toml::node& node);

/// @brief Records a fault of @a field.
void report(const table_view& table, std::string_view field, declaration_fault_id id, const std::string& problem,
            const std::string& remedy);

/// @brief Reports each field that is not one of @a known.
void check_known(const table_view& table, std::initializer_list<std::string_view> known);

/// @brief Finds @a field and records its line; reports a required field that is missing.
[[nodiscard]] const toml::node* find_field(const table_view& table, std::string_view field, bool required);

[[nodiscard]] std::optional<std::string> read_text(const table_view& table, std::string_view field, bool required);
[[nodiscard]] std::int64_t read_integer(const table_view& table, std::string_view field, std::int64_t fallback,
                                        integer_range allowed);
[[nodiscard]] double read_number(const table_view& table, std::string_view field, double fallback,
                                 number_range allowed);
[[nodiscard]] bool read_flag(const table_view& table, std::string_view field, bool fallback);

/// @brief A required text of letters, digits, `.`, `_` and `-`, at most 64, that starts with a letter or digit.
[[nodiscard]] std::string read_name(const table_view& table, std::string_view field);

/// @brief True for a text that `read_name` accepts.
[[nodiscard]] bool is_name(std::string_view text);

/// @brief A list of different names; empty when the field is absent.
[[nodiscard]] std::vector<std::string> read_names(const table_view& table, std::string_view field);

/// @brief The tables of `[[field]]`; empty when the field is absent.
[[nodiscard]] std::vector<table_view> read_tables(const table_view& table, std::string_view field);

/// @brief The table `[field]`, if present.
[[nodiscard]] std::optional<table_view> read_table(const table_view& table, std::string_view field);

/// @brief Reports @a value of @a field when @a seen has it already.
void check_distinct(const table_view& table, std::string_view field, std::set<std::string>& seen,
                    const std::string& value);

}  // namespace cornelstall::detail
