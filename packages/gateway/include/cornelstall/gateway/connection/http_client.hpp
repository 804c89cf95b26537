#pragma once

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"

namespace cornelstall
{

/// @brief The response of a service that this VM calls.
struct client_response
{
    unsigned status_ = 0;  ///< HTTP status code; 0 when there was no complete response
    std::string body_;
};

/// @brief An HTTP client for one address. Makes one call at a time and keeps the connection open between calls. A call
/// that gets no complete response closes the connection, because no further response can be expected on it.
struct http_client
{
    executor executor_;
    std::string address_;
    std::shared_ptr<deadline_socket> connection_;
};

/// @brief Sends @a request, whose method, target, fields and body are set, and receives the response.
/// @param timeout for the whole call, from connecting to the end of the response
[[nodiscard]] task<client_response> call(std::shared_ptr<http_client> client,
                                         boost::beast::http::request<boost::beast::http::string_body> request,
                                         milliseconds timeout);

/// @brief Sends a request with the given parts and receives the response.
/// @param content_type omitted from the request when empty
/// @param timeout for the whole call, from connecting to the end of the response
[[nodiscard]] task<client_response> call(std::shared_ptr<http_client> client, std::string method, std::string target,
                                         std::string body, std::string content_type, milliseconds timeout);

}  // namespace cornelstall
