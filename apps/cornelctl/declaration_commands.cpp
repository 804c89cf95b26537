#include <algorithm>
#include <iostream>
#include <iterator>

#include <nlohmann/json.hpp>

#include "commands.hpp"

namespace cornelstall::ctl
{

namespace
{

using nlohmann::json;

json to_json(const declaration_fault& fault)
{
    return {{"id", fault.id_},       {"file", fault.file_},       {"line", fault.line_},
            {"field", fault.field_}, {"problem", fault.problem_}, {"remedy", fault.remedy_}};
}

}  // namespace

void print_faults(const ctl_settings& settings, const std::vector<declaration_fault>& faults)
{
    if (settings.json_)
    {
        json list = json::array();
        std::ranges::transform(faults, std::back_inserter(list), to_json);
        std::cout << json{{"status", "invalid"}, {"faults", std::move(list)}}.dump() << '\n';
        return;
    }
    std::ranges::for_each(
        faults, [](const declaration_fault& fault) { std::cerr << to_string(fault) << " [" << fault.id_ << "]\n"; });
}

declaration_tree read_declarations(const ctl_settings& settings)
{
    auto tree = read_tree({settings.arguments_.begin(), settings.arguments_.end()});
    if (!tree.faults_.empty())
    {
        print_faults(settings, tree.faults_);
    }
    return tree;
}

exit_code check(const ctl_settings& settings)
{
    const auto tree = read_declarations(settings);
    if (!tree.faults_.empty())
    {
        return exit_code::invalid;
    }
    const bool has_fleet = tree.files_.contains(fleet_service);
    if (settings.json_)
    {
        std::cout << json{{"status", "valid"}, {"declarations", tree.files_.size()}, {"fleet", has_fleet}}.dump()
                  << '\n';
        return exit_code::ok;
    }
    std::cout << tree.files_.size() << " declarations are valid\n";
    if (!has_fleet)
    {
        std::cout << "models and ranks were not checked, since no fleet.toml is there; publish checks them\n";
    }
    return exit_code::ok;
}

exit_code print_key_hash(const ctl_settings& settings)
{
    std::string key;
    if (!std::getline(std::cin, key) || key.empty())
    {
        std::cerr << "no key on standard input; write it on one line\n";
        return exit_code::invalid;
    }
    const auto hash = hash_key(key);
    std::cout << (settings.json_ ? json{{"key_sha256", hash.get()}}.dump() : hash.get()) << '\n';
    return exit_code::ok;
}

}  // namespace cornelstall::ctl
