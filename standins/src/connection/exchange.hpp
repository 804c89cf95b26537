#pragma once

// Boost.Asio 1.74 needs these two before its own headers to offer coroutines with GCC.
#include <coroutine>
#include <utility>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace cornelstall::standins
{

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using nlohmann::json;

/// @brief HTTP status codes that the stand-ins answer with.
enum class http_status : std::uint16_t
{
    ok = 200,
    created = 201,
    accepted = 202,
    bad_request = 400,
    not_found = 404,
    conflict = 409,
    gone = 410,
    precondition_failed = 412,
    misdirected = 421,
    too_many_requests = 429,
    unavailable = 503,
    insufficient_storage = 507
};

/// @brief One request as read from a connection.
struct http_call
{
    std::string method_;
    std::string path_;
    std::map<std::string, std::string> query_;
    std::map<std::string, std::string> headers_;  ///< names in lower case
    std::string body_;
    bool keep_alive_ = true;
};

/// @brief The query parameter @a name of @a call as a number, or @a otherwise when it is absent.
/// @throws std::invalid_argument when it is not a number
[[nodiscard]] std::uint64_t query_number(const http_call& call, const std::string& name, std::uint64_t otherwise);

/// @brief The rest of the path of @a call after @a prefix, or an empty view when it does not start with it.
[[nodiscard]] std::string_view path_after(const http_call& call, std::string_view prefix);

/// @brief One request and its answer on one connection.
class exchange
{
  public:
    exchange(std::shared_ptr<tcp::socket> socket, http_call call, unsigned number_on_connection);

    [[nodiscard]] const http_call& call() const noexcept
    {
        return call_;
    }

    /// @brief Counts the requests of this connection, from 1.
    [[nodiscard]] unsigned number_on_connection() const noexcept
    {
        return number_on_connection_;
    }

    /// @brief Answers with a JSON body; adds @a extra_head (complete header lines) to the head.
    awaitable<void> reply(http_status status, json body, std::string_view extra_head = {});

    /// @brief Answers with @a body as it is; adds @a extra_head (complete header lines) to the head.
    awaitable<void> reply_bytes(http_status status, std::string_view content_type, std::string body,
                                std::string_view extra_head = {});

    /// @brief Answers with an error body in the form of section 14 of the design page.
    awaitable<void> refuse(http_status status, std::string_view code, std::string_view message,
                           std::string_view extra_head = {});

    /// @brief Sends the head of a chunked answer and starts to watch for the peer's close.
    /// @param on_peer_gone called at most once, when the peer closes the connection
    /// @param extra_head complete header lines
    /// @throws boost::system::system_error when the connection is closed
    awaitable<void> begin_stream(std::string_view content_type, std::function<void()> on_peer_gone,
                                 std::string_view extra_head = {});

    /// @brief Sends one chunk of a streamed answer.
    /// @throws boost::system::system_error when the connection is closed
    awaitable<void> send(std::string_view data);

    /// @brief Ends a streamed answer.
    awaitable<void> end_stream();

    /// @brief Closes the connection at once.
    void cut();

    /// @brief From now on the connection is closed instead of sending the head of an answer.
    void lose_answer() noexcept
    {
        lose_answer_ = true;
    }

    /// @brief Binds the exchange to the flag that makes its connection silent.
    void silence_when(std::shared_ptr<const std::uint64_t> epoch, std::uint64_t opened_at)
    {
        silence_epoch_ = std::move(epoch);
        opened_at_ = opened_at;
    }

    /// @brief Reads and discards until the peer closes, then closes.
    awaitable<void> stay_silent();

    [[nodiscard]] bool open() const
    {
        return socket_->is_open();
    }

  private:
    awaitable<void> write(std::string data);
    [[nodiscard]] bool silenced() const
    {
        return silence_epoch_ && *silence_epoch_ != opened_at_;
    }

    std::shared_ptr<tcp::socket> socket_;
    http_call call_;
    unsigned number_on_connection_;
    bool lose_answer_ = false;
    std::shared_ptr<const std::uint64_t> silence_epoch_;
    std::uint64_t opened_at_ = 0;
    std::shared_ptr<bool> streaming_;
};

}  // namespace cornelstall::standins
