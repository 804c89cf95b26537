#pragma once

#include <string>

#include "cornelstall/standins/process/running_standin.hpp"

namespace cornelstall::standins
{

/// @brief One of the users' backend servers: it answers plain calls, streams generations and reserves memory.
struct server_settings
{
    server_id id_{"server"};
    int slots_ = 8;
    milliseconds duration_{15};    ///< of a plain call, and of the pause before each event
    int events_ = 10;              ///< of a generation
    token_count memory_{400'000};  ///< of all reservations together
    std::string journal_;          ///< file to which a line is added for each request; none when empty
};

/// @brief Starts a server on @a address (`ip:port`).
///
/// A plain call is answered with the text of its body in upper case, a generation with one event for each of its
/// numbers, so that callers can tell whose answer they got.
/// @throws process_error (id 490) when the address cannot be used
[[nodiscard]] running_standin start_server(const server_settings& settings, const socket_address& address);

/// @brief The body that a server answers to a plain call with @a body.
[[nodiscard]] std::string plain_answer_to(std::string body);

/// @brief Event @a number of the answer to a generation with @a body.
[[nodiscard]] std::string event_of(const std::string& body, int number);

}  // namespace cornelstall::standins
