#pragma once

#include <cstddef>

#include "cornelstall/standins/process/running_standin.hpp"

namespace cornelstall::standins
{

/// @brief The users' metadata store: topics of one partition, of which those named `keyed.…` keep the newest record of
/// each key.
struct store_settings
{
    std::size_t kept_records_ = 100'000;  ///< older records of a topic expire; the newest of each key stays readable
};

/// @brief Starts the store on @a address (`ip:port`).
/// @throws process_error (id 490) when the address cannot be used
[[nodiscard]] running_standin start_store(const store_settings& settings, const socket_address& address);

}  // namespace cornelstall::standins
