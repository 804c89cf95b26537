#include "cornelstall/declarations/tree.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace cornelstall
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view service_suffix = ".cornelstall.toml";
constexpr std::string_view fleet_file = "fleet.toml";

bool is_declaration(const fs::path& file)
{
    const auto name = file.filename().string();
    return name == fleet_file || name.ends_with(service_suffix);
}

declaration_fault whole_file_fault(declaration_fault_id id, const fs::path& file, const std::string& problem,
                                   const std::string& remedy)
{
    return {static_cast<int>(id), file.string(), 0, "", problem, remedy};
}

declaration_fault unreadable(const fs::path& file, const std::error_code& cause)
{
    return whole_file_fault(declaration_fault_id::unreadable, file, "cannot be read: " + cause.message(),
                            "check the path and its permissions");
}

/// Adds the declaration files at or below `root`, or a fault.
void find_files(const fs::path& root, std::set<fs::path>& files, std::vector<declaration_fault>& faults)
{
    std::error_code problem;
    const auto status = fs::status(root, problem);
    if (problem || !fs::is_directory(status))
    {
        if (!problem && is_declaration(root))
        {
            files.insert(root.lexically_normal());
            return;
        }
        faults.push_back(problem ? unreadable(root, problem)
                                 : whole_file_fault(declaration_fault_id::unreadable, root,
                                                    "neither a directory nor a declaration file",
                                                    "name a directory, fleet.toml or a *.cornelstall.toml file"));
        return;
    }
    bool any = false;
    auto entry = fs::recursive_directory_iterator(root, problem);
    while (!problem && entry != fs::recursive_directory_iterator())
    {
        if (is_declaration(entry->path()))
        {
            files.insert(entry->path().lexically_normal());
            any = true;
        }
        entry.increment(problem);
    }
    if (problem)
    {
        faults.push_back(unreadable(root, problem));
    }
    else if (!any)
    {
        faults.push_back(whole_file_fault(declaration_fault_id::nothing_declared, root, "holds no declaration",
                                          "name the directory that holds *.cornelstall.toml files"));
    }
}

/// The text of `file`, cut one byte above the size limit so that the parser refuses larger files.
std::optional<std::string> read_file(const fs::path& file)
{
    std::error_code problem;
    std::ifstream in(file, std::ios::binary);
    if (!fs::is_regular_file(file, problem) || !in)
    {
        return std::nullopt;
    }
    std::string text(max_declaration_size.get() + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
    {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

void add_file(const fs::path& file, declaration_tree& tree)
{
    auto text = read_file(file);
    if (!text)
    {
        tree.faults_.push_back(unreadable(file, std::make_error_code(std::errc::io_error)));
        return;
    }
    const bool is_fleet = file.filename() == fleet_file;
    auto parsed = is_fleet ? parse_fleet(file.string(), *text) : parse_service(file.string(), *text);
    std::ranges::move(parsed.faults_, std::back_inserter(tree.faults_));
    if (!parsed.policy_)
    {
        return;
    }
    const auto service = is_fleet ? fleet_service : std::get<service_policy>(*parsed.policy_).name_;
    const auto line = parsed.lines_.contains("service") ? parsed.lines_.at("service") : 0;
    const auto [place, inserted] = tree.files_.emplace(
        service, declaration_file{file.string(), std::move(*text), std::move(*parsed.policy_), parsed.lines_});
    if (!inserted)
    {
        tree.faults_.push_back({static_cast<int>(declaration_fault_id::duplicate), file.string(), line, "service",
                                "service '" + service.get() + "' is already declared in " + place->second.file_,
                                "remove or rename one of them"});
    }
}

}  // namespace

declaration_tree read_tree(const std::vector<std::filesystem::path>& roots)
{
    declaration_tree tree;
    std::set<fs::path> files;
    std::ranges::for_each(roots, [&](const fs::path& root) { find_files(root, files, tree.faults_); });
    std::ranges::for_each(files, [&](const fs::path& file) { add_file(file, tree); });

    std::vector<service_policy> services;
    const fleet_policy* fleet = nullptr;
    for (const auto& [name, file] : tree.files_)
    {
        if (const auto* const service = std::get_if<service_policy>(&file.policy_); service != nullptr)
        {
            services.push_back(*service);
        }
        else
        {
            fleet = &std::get<fleet_policy>(file.policy_);
        }
    }
    std::ranges::move(locate(tree, validate(services, fleet)), std::back_inserter(tree.faults_));
    std::ranges::stable_sort(tree.faults_, {}, [](const declaration_fault& fault) {
        return std::pair(std::string_view(fault.file_), fault.line_);
    });
    return tree;
}

std::vector<declaration_fault> locate(const declaration_tree& tree, const std::vector<policy_fault>& faults)
{
    std::vector<declaration_fault> located;
    std::ranges::transform(faults, std::back_inserter(located), [&](const policy_fault& fault) {
        const auto file = tree.files_.find(fault.service_);
        if (file == tree.files_.end())
        {
            return declaration_fault{static_cast<int>(fault.id_),
                                     "service " + fault.service_.get() + " (published)",
                                     0,
                                     fault.field_,
                                     fault.problem_,
                                     fault.remedy_};
        }
        const auto line = file->second.lines_.find(fault.field_);
        return declaration_fault{static_cast<int>(fault.id_),
                                 file->second.file_,
                                 line == file->second.lines_.end() ? 0 : line->second,
                                 fault.field_,
                                 fault.problem_,
                                 fault.remedy_};
    });
    return located;
}

}  // namespace cornelstall
