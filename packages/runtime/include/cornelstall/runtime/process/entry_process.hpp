#pragma once

#include "cornelstall/runtime/process/settings.hpp"

namespace cornelstall
{

/// @brief Runs one entry process until SIGTERM or SIGINT and its planned stop are over.
/// @return the exit code: 0 after a planned stop
/// @throws process_error when it cannot start
[[nodiscard]] int run_entry_process(const settings& values);

}  // namespace cornelstall
