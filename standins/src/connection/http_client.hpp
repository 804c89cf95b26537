#pragma once

#include "connection/exchange.hpp"

#include "cornelstall/value.hpp"

namespace cornelstall::standins
{

/// @brief What came back on an HTTP request of a stand-in.
struct http_reply
{
    unsigned status_ = 0;  ///< 0: no whole answer in time
    std::string body_;
};

/// @brief Fetches @a target from @a server on a new connection.
/// @param limit for the whole exchange
awaitable<http_reply> http_get(const socket_address& server, std::string target, milliseconds limit);

}  // namespace cornelstall::standins
