#pragma once

#include <map>
#include <string>

#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief One HTTP call whose whole answer fits in memory.
struct http_call
{
    std::string method_{"GET"};
    std::string base_url_;   ///< `http://host:port` or `https://host:port`
    std::string path_{"/"};  ///< path and query
    std::string body_;
    std::string content_type_{"application/json"};
    std::map<std::string, std::string> headers_;
    milliseconds timeout_{2000};  ///< for the whole call
};

/// @brief The answer to an `http_call`, whatever its status.
struct http_answer
{
    int status_ = 0;
    std::string body_;
    std::map<std::string, std::string> headers_;  ///< names in lower case
};

/// @brief Error ids of HTTP calls.
inline constexpr int http_connect_failed = 201;  ///< no connection: no byte was sent
inline constexpr int http_cut = 202;        ///< the connection broke or the answer is malformed: the call may have run
inline constexpr int http_timed_out = 203;  ///< no whole answer within the limit

/// @brief Makes one call on a connection of its own, because a reused one may have gone silent for good or may be
/// closed by the server while the request is on its way. The answer is read while the request is written.
/// @throws connection_error with one of the ids above
[[nodiscard]] task<http_answer> make_call(http_call call);

}  // namespace cornelstall
