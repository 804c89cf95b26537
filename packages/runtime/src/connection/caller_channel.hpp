#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief What a caller's connection is used for at the moment.
enum class caller_phase
{
    idle,      ///< no byte of a next request has arrived
    opening,   ///< a TLS handshake, or the head of a request arrives
    exchange,  ///< a request is read, served or answered
    closing    ///< what the caller still sends is discarded
};

/// @brief A caller's TCP connection, with or without TLS. One operation at a time; each has a deadline, at which it
/// fails with `timed_out` and the connection stays open.
struct caller_channel : std::enable_shared_from_this<caller_channel>
{
    /// @param tls null for plain text; must outlive the channel
    caller_channel(boost::asio::ip::tcp::socket socket, boost::asio::ssl::context* tls, std::size_t max_buffered);

    boost::asio::ip::tcp::socket socket_;
    std::optional<boost::asio::ssl::stream<boost::asio::ip::tcp::socket&>> tls_;
    boost::asio::steady_timer deadline_timer_;
    boost::beast::flat_buffer buffer_;  ///< bytes that have arrived and were not taken yet
    caller_phase phase_ = caller_phase::opening;
    time_point phase_begin_ = std::chrono::steady_clock::now();
    bool expired_ = false;  ///< the operation was cancelled at its deadline
    bool closed_ = false;   ///< no further operation begins
};

/// @brief Enters @a phase now.
void enter(caller_channel& channel, caller_phase phase);

/// @brief The TLS handshake; nothing to do in plain text.
[[nodiscard]] task<boost::system::error_code> shake_hands(std::shared_ptr<caller_channel> channel, time_point deadline);

/// @brief Waits until bytes of a request are there. Without TLS, no buffer is held meanwhile.
[[nodiscard]] task<boost::system::error_code> wait_for_bytes(std::shared_ptr<caller_channel> channel,
                                                             time_point deadline);

/// @brief Adds at most @a limit bytes to the buffer.
[[nodiscard]] task<boost::system::error_code> read_more(std::shared_ptr<caller_channel> channel, std::size_t limit,
                                                        time_point deadline);

/// @brief Sends @a text; fails when the caller takes no byte of it for @a stall_limit.
[[nodiscard]] task<boost::system::error_code> send_text(std::shared_ptr<caller_channel> channel, std::string text,
                                                        milliseconds stall_limit);

/// @brief Ends the sending side, discards what the caller still sends, at most for @a limit, and closes. Closing a
/// connection that has unread data resets it, and the caller could lose the answer.
[[nodiscard]] task<> close_after_answer(std::shared_ptr<caller_channel> channel, milliseconds limit);

/// @brief Cancels the operation that is going on. The connection stays usable.
void cancel_operation(caller_channel& channel);

/// @brief Closes the connection. An operation that is going on fails.
void close(caller_channel& channel);

}  // namespace cornelstall
