#pragma once

#include <functional>
#include <string>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief The response to a health check or a request for metrics.
struct status_response
{
    unsigned status_ = 200;
    std::string body_;
};

/// @brief Serves HTTP on @a acceptor until it is closed. Responds to each request with the result of @a handler for
/// the request target, whatever the method.
[[nodiscard]] task<> serve_status(executor where, boost::asio::ip::tcp::acceptor& acceptor,
                                  std::function<status_response(const std::string&)> handler);

}  // namespace cornelstall
