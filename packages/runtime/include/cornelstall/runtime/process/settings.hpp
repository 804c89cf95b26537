#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/runtime/connection/caller_bounds.hpp"
#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Files for TLS in PEM format; all empty when listeners speak plain text.
struct tls_files
{
    std::string certificate_;
    std::string private_key_;
    std::string authority_;  ///< certificates that peers must be signed by

    /// @brief True when a certificate is set.
    [[nodiscard]] bool enabled() const noexcept
    {
        return !certificate_.empty();
    }
};

/// @brief Settings of one entry process, checked at start. Docs: docs/configuration.md.
struct settings
{
    std::string name_;  ///< VM name; with a random suffix it becomes the VM id
    data_centre_id data_centre_;
    socket_address listen_;          ///< callers and operators, HTTP
    socket_address peer_listen_;     ///< other entry processes, gRPC
    socket_address peer_advertise_;  ///< address told to peers; default: the listen address
    std::vector<socket_address> seeds_;
    std::string log_url_;
    std::string vm_list_url_;
    std::string weight_store_url_;
    std::string peer_key_;
    std::string operator_key_;
    milliseconds drain_grace_{5000};      ///< accepting goes on this long after SIGTERM
    milliseconds stop_limit_{3'600'000};  ///< a stop that takes longer is logged as an error
    int worker_threads_ = 4;              ///< cpprestsdk's pool: parsing and socket work
    int max_requests_ = 4096;             ///< requests served at once
    caller_bounds caller_bounds_;         ///< `connections_` is a flag
    severity log_level_ = severity::info;
    tls_files tls_;
};

/// @brief What the command line asks for.
struct settings_result
{
    settings settings_;
    std::optional<std::string> answer_;  ///< text to print instead of running (`--help`, `--version`)
};

/// @brief Looks up an environment variable; nothing when it is not set.
using environment = std::function<std::optional<std::string>(const std::string& name)>;

/// @brief The environment of this process.
[[nodiscard]] environment process_environment();

/// @brief Reads flags, then for each flag that is absent the variable `CORNELSTALL_<FLAG>`, and checks them.
/// @throws process_error ids 400 (usage), 401 (missing or invalid value); messages name flag, variable and remedy
[[nodiscard]] settings_result read_settings(int argc, const char* const* argv, const environment& lookup,
                                            const std::string& version);

}  // namespace cornelstall
