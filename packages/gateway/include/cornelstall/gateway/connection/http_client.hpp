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
    boost::beast::http::response_header<> head_;
    std::string body_;
};

/// @brief A service that this VM calls over HTTP. Each call uses a connection of its own, so that no call can receive
/// the late response to an earlier one.
struct http_client
{
    executor executor_;
    std::string address_;          ///< `IP:port`
    byte_count max_body_{65'536};  ///< a call whose response has a longer body fails
};

/// @brief Sends @a request, whose method, target, fields and body are set, and receives the response.
/// @param timeout for the whole call, from connecting to the end of the response
[[nodiscard]] task<client_response> call(http_client client,
                                         boost::beast::http::request<boost::beast::http::string_body> request,
                                         milliseconds timeout);

/// @brief Sends a request with the given parts and receives the response.
/// @param content_type omitted from the request when empty
/// @param timeout for the whole call, from connecting to the end of the response
[[nodiscard]] task<client_response> call(http_client client, std::string method, std::string target, std::string body,
                                         std::string content_type, milliseconds timeout);

}  // namespace cornelstall
