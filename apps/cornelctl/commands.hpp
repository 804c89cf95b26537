#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "cornelstall/declarations.hpp"
#include "cornelstall/runtime.hpp"

namespace cornelstall::ctl
{

/// @brief Exit codes, which scripts rely on.
enum class exit_code
{
    ok = 0,
    refused = 1,     ///< refused by the system, or lost a race
    invalid = 2,     ///< usage or invalid files
    unreachable = 3  ///< the platform or the entry processes did not answer, or the result is not known
};

/// @brief What flags and environment variables say.
struct ctl_settings
{
    std::string log_url_;
    std::vector<std::string> entry_urls_;
    std::string operator_key_;
    std::vector<std::string> arguments_;  ///< directories or ids after the command
    std::vector<std::string> withdrawn_;  ///< services to withdraw
    milliseconds time_limit_{20'000};     ///< for a publication, and again for waiting until it is in force
    bool wait_ = false;
    bool json_ = false;
};

/// @brief Checks the declarations below the directories.
[[nodiscard]] exit_code check(const ctl_settings& settings);

/// @brief Hashes the bearer key that is the first line of standard input.
[[nodiscard]] exit_code print_key_hash(const ctl_settings& settings);

/// @brief Checks and publishes the declarations below the directories.
[[nodiscard]] task<exit_code> publish_declarations(ctl_settings settings);

/// @brief Prints what each entry process says about itself.
[[nodiscard]] task<exit_code> print_status(ctl_settings settings);

/// @brief Prints what an entry process knows about one request.
[[nodiscard]] task<exit_code> explain(ctl_settings settings);

/// @brief Waits until all listed members have at least @a version, with progress lines on standard error.
/// @return true when all have; false after the time limit
[[nodiscard]] task<bool> wait_until_in_force(ctl_settings settings, configuration_version version);

/// @brief Reads the tree and prints its faults.
[[nodiscard]] declaration_tree read_declarations(const ctl_settings& settings);

/// @brief Prints faults to standard error, or as one JSON object to standard output.
void print_faults(const ctl_settings& settings, const std::vector<declaration_fault>& faults);

}  // namespace cornelstall::ctl
