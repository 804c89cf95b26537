#pragma once

#include <array>
#include <memory>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"

namespace cornelstall
{

/// @brief Reads the answer of one server. A wait for a read can end before the read has completed; the read then goes
/// on, and the next wait is for the same one.
struct answer_reader : std::enable_shared_from_this<answer_reader>
{
    explicit answer_reader(std::shared_ptr<backend_socket> connection)
        : connection_(std::move(connection)), wake_timer_(connection_->socket_.get_executor())
    {}

    std::shared_ptr<backend_socket> connection_;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
    std::array<char, 8192> bytes_{};
    boost::asio::steady_timer wake_timer_;
    bool started_ = false;              ///< the result of a read has not been taken yet
    bool reading_ = false;              ///< a read is under way
    boost::system::error_code failed_;  ///< error of the last read
};

/// @brief Reads the head of the answer.
/// @return false when @a limit passed before; call again to go on waiting
[[nodiscard]] task<bool> read_head(std::shared_ptr<answer_reader> reader, time_point limit);

/// @brief Reads a part of the body, which last_part() then returns.
/// @return false when @a limit passed before; call again to go on waiting
[[nodiscard]] task<bool> read_part(std::shared_ptr<answer_reader> reader, time_point limit);

/// @brief True when a read whose result has not been taken yet has succeeded.
[[nodiscard]] bool has_read(const answer_reader& reader);

/// @brief The bytes of the part that was read last.
[[nodiscard]] std::string_view last_part(const answer_reader& reader);

}  // namespace cornelstall
