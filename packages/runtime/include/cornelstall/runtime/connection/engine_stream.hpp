#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/value.hpp"
#include "cornelstall/wire.hpp"

namespace cornelstall
{

/// @brief Silence after which a stream is given up; engines send a keep-alive each 500 ms.
inline constexpr milliseconds stream_silence_limit{2000};

/// @brief Error ids of engine streams, besides those of `make_call`.
inline constexpr int stream_silent = 231;  ///< nothing arrived within `stream_silence_limit`
inline constexpr int stream_cut = 232;     ///< the connection ended before the end mark

/// @brief An engine's refusal before the stream began: the attempt did not run.
struct engine_refusal
{
    int status_ = 0;
    std::string code_;
    std::string body_;
};

/// @brief One connection to an engine that carries the answer of one request.
class engine_stream
{
  public:
    /// @brief Prepares a connection of its own to @a engine; nothing is sent yet.
    explicit engine_stream(const socket_address& engine);
    ~engine_stream();
    engine_stream(engine_stream&&) noexcept;
    engine_stream& operator=(engine_stream&&) noexcept;
    engine_stream(const engine_stream&) = delete;
    engine_stream& operator=(const engine_stream&) = delete;

    /// @brief Sends the request and waits for the head of the answer.
    /// @param limit for sending the body and receiving the head
    /// @return the refusal, or nothing when the stream has begun
    /// @throws connection_error
    [[nodiscard]] task<std::optional<engine_refusal>> open(std::string path, std::string body, milliseconds limit);

    /// @brief Waits for the next events; keep-alives give an empty list.
    /// @param limit longest wait, normally `stream_silence_limit`
    /// @throws connection_error `stream_silent` or `stream_cut`
    [[nodiscard]] task<std::vector<engine_event>> next(milliseconds limit);

    /// @brief Closes the connection, whatever state it is in.
    void close();

  private:
    struct connection;
    std::shared_ptr<connection> connection_;
};

/// @brief Cancels a request at @a engine and repeats that until the engine acknowledges or @a limit has passed.
/// @return true when acknowledged
[[nodiscard]] task<bool> cancel_at_engine(socket_address engine, request_id request, attempt_number attempt,
                                          milliseconds limit);

}  // namespace cornelstall
