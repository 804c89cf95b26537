#pragma once

#include "cornelstall/standins/process/running_standin.hpp"

namespace cornelstall::standins
{

/// @brief A plain service that echoes each call and counts what it has read.
struct plain_settings
{
    server_id id_{"plain"};     ///< named in each answer
    milliseconds duration_{0};  ///< of one call
};

/// @brief Starts a plain service on @a address (`ip:port`).
/// @throws process_error (id 490) when the address cannot be used
[[nodiscard]] running_standin start_plain(const plain_settings& settings, const socket_address& address);

}  // namespace cornelstall::standins
