#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>

#include <cpprest/base_uri.h>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/runtime/connection/deadline_socket.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief TLS over a socket, with the certificate authorities that the system trusts.
struct tls_layer
{
    explicit tls_layer(boost::asio::ip::tcp::socket& socket)
        : context_(boost::asio::ssl::context::tls_client), stream_(socket, context_)
    {}

    boost::asio::ssl::context context_;
    boost::asio::ssl::stream<boost::asio::ip::tcp::socket&> stream_;
};

/// @brief A connection to a server for one request and its answer. The answer is read while the request is written,
/// because a server may answer before it has read a long body.
struct server_connection
{
    server_connection(web::uri url, const boost::asio::any_io_executor& where);

    web::uri url_;
    std::shared_ptr<deadline_socket> transport_;
    std::unique_ptr<tls_layer> tls_;  ///< null for `http`
    boost::beast::http::request<boost::beast::http::string_body> request_;
    /// Of the head that was read last; set by receive_head().
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> answer_;
};

/// @brief Connects to the server of @a url, which has the scheme `http` or `https`.
/// @param deadline the connection is closed then, also after this task has ended; see set_close_deadline()
/// @throws connection_error `http_connect_failed` or `http_timed_out`
[[nodiscard]] task<std::shared_ptr<server_connection>> connect_to_server(std::string url, time_point deadline);

/// @brief Starts to write @a request, whose method, target, fields and body are set.
void start_sending(const std::shared_ptr<server_connection>& connection,
                   boost::beast::http::request<boost::beast::http::string_body> request);

/// @brief Reads the head of the answer and skips interim answers before it, up to a bound.
/// @throws connection_error `http_timed_out` when the connection was closed at its deadline, otherwise `http_cut`
[[nodiscard]] task<> receive_head(std::shared_ptr<server_connection> connection);

/// @brief Reads the next bytes of the body into @a bytes, at least one unless the answer is complete.
/// @return the number of bytes; 0 when the answer is complete
/// @throws connection_error `http_timed_out` when the connection was closed at its deadline, otherwise `http_cut`
[[nodiscard]] task<std::size_t> receive_body(std::shared_ptr<server_connection> connection, std::span<char> bytes);

}  // namespace cornelstall
