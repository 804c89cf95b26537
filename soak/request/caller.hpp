#pragma once

#include "process/deployment.hpp"

namespace cornelstall::soak
{

/// @brief Sends requests of all kinds, many on each connection, and notes what comes back, until the soak ends.
[[nodiscard]] task<> call_until_end(deployment& all);

/// @brief Sends one request of each kind to each VM and notes the answers.
[[nodiscard]] task<> call_each_vm(deployment& all);

}  // namespace cornelstall::soak
