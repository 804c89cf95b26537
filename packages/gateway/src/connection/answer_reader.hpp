#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/process/buffer_budget.hpp"

namespace cornelstall
{

/// @brief Reads the answer of one server. A wait for a read can end before the read has completed; the read then goes
/// on, and the next wait is for the same one.
struct answer_reader : std::enable_shared_from_this<answer_reader>
{
    answer_reader(std::shared_ptr<backend_socket> connection, buffer_budget& budget, bool without_body)
        : connection_(std::move(connection)),
          without_body_(without_body),
          share_(budget),
          wake_timer_(connection_->socket_.get_executor())
    {}

    std::shared_ptr<backend_socket> connection_;
    bool without_body_;  ///< the answer to HEAD has none
    /// Of the head that was read last; set by the first read.
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
    int interim_answers_ = 0;        ///< interim answers (1xx) that were skipped before the answer
    std::array<char, 4096> part_{};  ///< the part of the body that is being read
    std::string events_;             ///< bytes of an event stream that have been read and not been relayed
    buffer_share share_;             ///< memory of `events_`
    boost::asio::steady_timer wake_timer_;
    bool reads_head_ = false;             ///< the last read was for the head
    bool started_ = false;                ///< the result of a read has not been taken yet
    bool reading_ = false;                ///< a read is under way
    boost::system::error_code failed_;    ///< error of the last read
    std::weak_ptr<answer_reader> wakes_;  ///< its wait ends, too, when a read of this one has completed
};

/// @brief Separates two events of a stream.
inline constexpr std::string_view event_end = "\n\n";

/// @brief Reads the head of the answer and skips interim answers before it, up to a bound.
/// @return false when the wait ended before; call again to go on waiting
[[nodiscard]] task<bool> read_head(std::shared_ptr<answer_reader> reader, time_point limit);

/// @brief Reads an event stream until whole events have arrived or the stream has ended. Fails when an event is too
/// large or the memory for buffered answers is used up.
/// @return false when the wait ended before; call again to go on waiting
[[nodiscard]] task<bool> read_events(std::shared_ptr<answer_reader> reader, time_point limit);

/// @brief True when a read has completed without an error and its result has not been taken.
[[nodiscard]] bool has_read(const answer_reader& reader);

}  // namespace cornelstall
