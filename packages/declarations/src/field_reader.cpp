#include "field_reader.hpp"

#include <cctype>
#include <cmath>
#include <sstream>

namespace cornelstall::detail
{

namespace
{

constexpr std::size_t max_name_length = 64;

bool is_name_character(char letter)
{
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '.' || letter == '_' || letter == '-';
}

std::string shown(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

}  // namespace

std::string path_of(const table_view& table, std::string_view field)
{
    return table.path_.empty() ? std::string(field) : table.path_ + "." + std::string(field);
}

int line_of(const toml::node& node)
{
    return static_cast<int>(node.source().begin.line);
}

void report(const table_view& table, std::string_view field, declaration_fault_id id, const std::string& problem,
            const std::string& remedy)
{
    const auto* const node = table.table_->get(field);
    table.reading_->result_.faults_.push_back({static_cast<int>(id), table.reading_->file_,
                                               node != nullptr ? line_of(*node) : line_of(*table.table_),
                                               path_of(table, field), problem, remedy});
}

void check_known(const table_view& table, std::initializer_list<std::string_view> known)
{
    for (const auto& [key, node] : *table.table_)
    {
        if (std::ranges::find(known, key.str()) == known.end())
        {
            std::string names;
            std::ranges::for_each(
                known, [&](std::string_view name) { names += (names.empty() ? "" : ", ") + std::string(name); });
            report(table, key.str(), declaration_fault_id::unknown_field, "unknown field", "use one of " + names);
        }
    }
}

const toml::node* find_field(const table_view& table, std::string_view field, bool required)
{
    const auto* const node = table.table_->get(field);
    if (node != nullptr)
    {
        table.reading_->result_.lines_[path_of(table, field)] = line_of(*node);
    }
    else if (required)
    {
        report(table, field, declaration_fault_id::missing_field, "required field is missing", "add it");
    }
    return node;
}

std::optional<std::string> read_text(const table_view& table, std::string_view field, bool required)
{
    const auto* const node = find_field(table, field, required);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    if (const auto* const text = node->as_string(); text != nullptr)
    {
        return text->get();
    }
    report(table, field, declaration_fault_id::wrong_type, "not a text", "put the value in quotes");
    return std::nullopt;
}

std::int64_t read_integer(const table_view& table, std::string_view field, std::int64_t fallback, integer_range allowed)
{
    const auto* const node = find_field(table, field, false);
    if (node == nullptr)
    {
        return fallback;
    }
    const auto* const number = node->as_integer();
    if (number == nullptr)
    {
        report(table, field, declaration_fault_id::wrong_type, "not a whole number",
               "write a whole number without quotes");
        return fallback;
    }
    if (number->get() < allowed.lowest_ || number->get() > allowed.highest_)
    {
        report(table, field, declaration_fault_id::bad_value, std::to_string(number->get()) + " is out of range",
               "use " + std::to_string(allowed.lowest_) + " to " + std::to_string(allowed.highest_));
        return fallback;
    }
    return number->get();
}

double read_number(const table_view& table, std::string_view field, double fallback, number_range allowed)
{
    const auto* const node = find_field(table, field, false);
    if (node == nullptr)
    {
        return fallback;
    }
    if (!node->is_number())
    {
        report(table, field, declaration_fault_id::wrong_type, "not a number", "write a number without quotes");
        return fallback;
    }
    const double number = node->value<double>().value_or(std::nan(""));
    // NaN compares false with both limits, and TOML allows it.
    if (std::isnan(number) || number < allowed.lowest_ || number > allowed.highest_)
    {
        report(table, field, declaration_fault_id::bad_value, shown(number) + " is out of range",
               "use " + shown(allowed.lowest_) + " to " + shown(allowed.highest_));
        return fallback;
    }
    return number;
}

bool read_flag(const table_view& table, std::string_view field, bool fallback)
{
    const auto* const node = find_field(table, field, false);
    if (node == nullptr)
    {
        return fallback;
    }
    if (const auto* const flag = node->as_boolean(); flag != nullptr)
    {
        return flag->get();
    }
    report(table, field, declaration_fault_id::wrong_type, "not a truth value", "write true or false without quotes");
    return fallback;
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::isalnum(static_cast<unsigned char>(text.front())) != 0 && std::ranges::all_of(text, is_name_character);
}

std::string read_name(const table_view& table, std::string_view field)
{
    auto text = read_text(table, field, true);
    if (!text)
    {
        return {};
    }
    if (!is_name(*text))
    {
        report(table, field, declaration_fault_id::bad_value, "not a valid name",
               "use 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit");
    }
    return *text;
}

std::vector<std::string> read_names(const table_view& table, std::string_view field)
{
    const auto* const node = find_field(table, field, false);
    if (node == nullptr)
    {
        return {};
    }
    const auto* const list = node->as_array();
    if (list == nullptr)
    {
        report(table, field, declaration_fault_id::wrong_type, "not a list", "write [\"name\", …]");
        return {};
    }
    std::vector<std::string> names;
    std::set<std::string> seen;
    for (const auto& entry : *list)
    {
        const auto* const text = entry.as_string();
        if (text == nullptr || !is_name(text->get()))
        {
            report(table, field, declaration_fault_id::bad_value, "an entry is not a valid name",
                   "use texts of letters, digits, '.', '_' and '-' only");
            return {};
        }
        table.reading_->result_.lines_[path_of(table, field) + "[" + std::to_string(names.size()) + "]"] =
            line_of(entry);
        check_distinct(table, field, seen, text->get());
        names.push_back(text->get());
    }
    return names;
}

std::vector<table_view> read_tables(const table_view& table, std::string_view field)
{
    const auto* const node = find_field(table, field, false);
    if (node == nullptr)
    {
        return {};
    }
    const auto* const list = node->as_array();
    if (list == nullptr || !std::ranges::all_of(*list, &toml::node::is_table))
    {
        report(table, field, declaration_fault_id::wrong_type, "not a list of tables",
               "write [[" + path_of(table, field) + "]]");
        return {};
    }
    std::vector<table_view> tables;
    for (const auto& entry : *list)
    {
        auto path = path_of(table, field) + "[" + std::to_string(tables.size()) + "]";
        table.reading_->result_.lines_[path] = line_of(entry);
        tables.push_back({table.reading_, entry.as_table(), std::move(path)});
    }
    return tables;
}

std::optional<table_view> read_table(const table_view& table, std::string_view field)
{
    const auto* const node = find_field(table, field, false);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    if (const auto* const found = node->as_table(); found != nullptr)
    {
        return table_view{table.reading_, found, path_of(table, field)};
    }
    report(table, field, declaration_fault_id::wrong_type, "not a table", "write [" + path_of(table, field) + "]");
    return std::nullopt;
}

void check_distinct(const table_view& table, std::string_view field, std::set<std::string>& seen,
                    const std::string& value)
{
    if (!value.empty() && !seen.insert(value).second)
    {
        report(table, field, declaration_fault_id::duplicate, "'" + value + "' occurs twice",
               "remove or rename one of them");
    }
}

}  // namespace cornelstall::detail
