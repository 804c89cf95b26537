#pragma once

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"

namespace cornelstall
{

/// @brief An answer of a service that this VM calls; status 0 means that there was none.
struct client_response
{
    unsigned status_ = 0;
    std::string body_;
};

/// @brief Calls to one address, one at a time, on a connection that is kept. A call without an answer closes the
/// connection, since nothing further can be expected on it.
struct http_client
{
    executor executor_;
    std::string address_;
    std::shared_ptr<deadline_socket> connection_;
};

/// @brief Makes one call with a message whose target, fields and body are set.
/// @param limit until the whole answer has arrived, connecting included
[[nodiscard]] task<client_response> call(std::shared_ptr<http_client> client,
                                         boost::beast::http::request<boost::beast::http::string_body> request,
                                         milliseconds limit);

/// @brief Makes one call.
/// @param limit until the whole answer has arrived, connecting included
[[nodiscard]] task<client_response> call(std::shared_ptr<http_client> client, std::string method, std::string target,
                                         std::string body, std::string content_type, milliseconds limit);

}  // namespace cornelstall
