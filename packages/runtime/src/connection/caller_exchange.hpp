#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "connection/caller_channel.hpp"
#include "cornelstall/runtime/connection/caller_bounds.hpp"
#include "cornelstall/runtime/process/task_clock.hpp"

namespace cornelstall
{

struct caller_exchange;

/// @brief Bytes that one read takes from a caller's connection.
inline constexpr std::size_t read_block_bytes = 16'384;

/// @brief Parses a request; its body is handed over block by block.
using caller_request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// @brief What all connections of a listener share. Owned by the Asio thread.
struct caller_traffic
{
    caller_traffic(executor where, caller_bounds bounds);

    executor executor_;
    caller_bounds bounds_;
    std::unique_ptr<boost::asio::ssl::context> tls_;  ///< null for plain text
    std::set<std::shared_ptr<caller_channel>> channels_;
    body_reading_table bodies_;
    std::map<body_id, std::weak_ptr<caller_exchange>> readers_;
    wake_signal bodies_changed_;
    std::size_t unsent_ = 0;        ///< bytes of all answers that wait for their callers
    std::vector<char> body_block_;  ///< between the parser and the body that is read; used without waiting
    wake_signal channels_changed_;
    bool closing_ = false;  ///< no connection begins another request
};

/// @brief One request on a connection and its answer.
struct caller_exchange : std::enable_shared_from_this<caller_exchange>
{
    caller_exchange(std::shared_ptr<caller_traffic> traffic, std::shared_ptr<caller_channel> channel);
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    caller_exchange(caller_exchange&&) = delete;
    caller_exchange& operator=(caller_exchange&&) = delete;

    std::shared_ptr<caller_traffic> traffic_;
    std::shared_ptr<caller_channel> channel_;
    caller_request_parser parser_;
    std::string path_;                ///< decoded, without the query
    std::string path_and_query_;      ///< as sent
    bool continue_expected_ = false;  ///< the caller waits for `100 Continue` before it sends the body
    bool body_refused_ = false;       ///< given up because others needed the memory
    bool keep_alive_ = false;         ///< another request may follow the answer
    bool chunked_ = true;             ///< how a stream is framed; callers with HTTP/1.0 read it until the end
    bool replied_ = false;
    bool streaming_ = false;
    bool ended_ = false;       ///< nothing is added to the answer any more
    bool sent_ = false;        ///< the task that sends the answer has ended
    bool gone_ = false;        ///< the connection failed
    std::string unsent_;       ///< of the answer
    std::size_t sending_ = 0;  ///< bytes that were taken out of `unsent_` and are being sent
    wake_signal changed_;
};

/// @brief Discards body bytes that have arrived already. When the body is whole then, the connection can carry another
/// request.
void discard_arrived_body(caller_exchange& exchange);

}  // namespace cornelstall
