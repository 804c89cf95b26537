#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "cornelstall/decisions/version/validation.hpp"
#include "cornelstall/declarations/parse.hpp"

namespace cornelstall
{

/// @brief A declaration read from a file.
struct declaration_file
{
    std::string file_;
    std::string text_;
    parsed_policy policy_;
    std::map<std::string, int> lines_;
};

/// @brief All declarations below some directories.
struct declaration_tree
{
    std::map<service_id, declaration_file> files_;  ///< those without faults of their own
    std::vector<declaration_fault> faults_;         ///< in order of file and line
};

/// @brief Reads `fleet.toml` and all `*.cornelstall.toml` below @a roots; other files are ignored. Links to
/// directories are not followed. Checks the declarations against each other as well; models and ranks only when a
/// `fleet.toml` is there.
/// @param roots directories, or single files
/// @return declarations and all faults; never throws for a fault of a file
/// @note Reads at most `max_declaration_size` of each file.
[[nodiscard]] declaration_tree read_tree(const std::vector<std::filesystem::path>& roots);

/// @brief Names file and line of faults found by `validate` where @a tree has them.
[[nodiscard]] std::vector<declaration_fault> locate(const declaration_tree& tree,
                                                    const std::vector<policy_fault>& faults);

}  // namespace cornelstall
