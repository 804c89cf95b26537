#pragma once

#include <functional>
#include <memory>

#include "connection/caller_exchange.hpp"
#include "cornelstall/runtime/connection/caller_connection.hpp"

namespace cornelstall
{

/// @brief What a listener does with its callers' requests.
struct caller_handlers
{
    /// Serves a request and replies.
    std::function<task<>(std::shared_ptr<caller_connection> connection)> serve_;
    /// Replies that the request cannot be read.
    std::function<void(caller_connection& connection, const request_error& problem)> refuse_;
    /// Counts a connection that was closed or not accepted because of the bound on connections.
    std::function<void()> connection_refused_;
};

/// @brief Accepts connections until @a acceptor is closed; each is served by its own task.
[[nodiscard]] task<> accept_callers(std::shared_ptr<caller_traffic> traffic,
                                    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                                    std::shared_ptr<const caller_handlers> handlers);

/// @brief Closes idle connections. The others end after the request that they carry.
void end_callers(caller_traffic& traffic);

/// @brief Waits until all connections have ended.
[[nodiscard]] task<> wait_for_callers(std::shared_ptr<caller_traffic> traffic);

}  // namespace cornelstall
