#pragma once

#include <functional>
#include <string>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief The answer to a question about the process itself.
struct status_response
{
    unsigned status_ = 200;
    std::string body_;
};

/// @brief Answers GET requests on @a acceptor with what @a answer returns for their path.
[[nodiscard]] task<> serve_status(executor where, boost::asio::ip::tcp::acceptor& acceptor,
                                  std::function<status_response(const std::string&)> answer);

}  // namespace cornelstall
