#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

struct caller_exchange;

/// @brief Bytes that may wait for a slow caller before the entry process stops reading from the engine.
inline constexpr std::size_t max_unsent_bytes = 1'048'576;

/// @brief One caller's exchange: its request, and the answer sent at once or as a stream.
class caller_connection
{
  public:
    explicit caller_connection(std::shared_ptr<caller_exchange> exchange);

    /// @brief The value of header @a name, empty when it is absent.
    [[nodiscard]] std::string header(const std::string& name) const;

    /// @brief The method in upper case.
    [[nodiscard]] std::string method() const;

    /// @brief The decoded path without the query.
    [[nodiscard]] std::string path() const;

    /// @brief The path as sent, with the query.
    [[nodiscard]] std::string path_and_query() const;

    /// @brief Reads the whole body. A body that nobody reads is not kept: after the answer, the connection is closed.
    /// @throws request_error `body_too_large` (id 115), `slow_sender` (id 116), `malformed_request` (ids 117 and 133),
    /// or `queue_full` (id 124) when the memory for bodies is used up
    [[nodiscard]] task<std::string> read_body(byte_count limit, milliseconds time);

    /// @brief Sends a whole answer. Only the first answer counts.
    void reply(int status, const std::string& body, const std::string& content_type,
               std::optional<milliseconds> retry_after = std::nullopt);

    /// @brief Begins a server-sent event stream.
    void start_stream();

    /// @brief True once `start_stream` has been called.
    [[nodiscard]] bool streaming() const noexcept;

    /// @brief Adds @a text to the stream; waits while the caller is more than `max_unsent_bytes` behind.
    /// @return false when the caller has gone or is still behind at @a deadline
    [[nodiscard]] task<bool> write(std::string text, time_point deadline);

    /// @brief Ends the stream.
    void end_stream();

    /// @brief True when the connection to the caller is known to be broken.
    [[nodiscard]] bool gone() const noexcept;

  private:
    std::shared_ptr<caller_exchange> exchange_;
};

}  // namespace cornelstall
