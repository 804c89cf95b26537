#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "cornelstall/runtime/connection/deadline_socket.hpp"
#include "cornelstall/runtime/process/task.hpp"

/// @file
/// Rules for the answers of all servers, whoever reads them. Bytes that break one are no answer, and nothing that they
/// say holds.

namespace cornelstall
{

/// @brief Bounds the head of an answer, the size line and extensions of a chunk, and the trailer. A server that sends
/// more is not speaking HTTP, and the read fails.
inline constexpr std::size_t max_unparsed_answer_bytes = 65'536;

/// @brief Servers send one or two interim answers; one that sends more is faulty.
inline constexpr int max_interim_answers = 8;

/// @brief True for the status of an answer that another one follows. A change of protocol (101) is none of them, and no
/// request asks for one.
[[nodiscard]] constexpr bool is_interim(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 199;
    constexpr unsigned switching_protocols = 101;
    return first <= status && status <= last && status != switching_protocols;
}

/// @brief True for the status of an answer to a request. Parsers accept any three digits; RFC 9110 (section 15) has no
/// class for those below 100 and above 599.
[[nodiscard]] constexpr bool is_final(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return first <= status && status <= last;
}

/// @brief The part of @a received up to the end of the head, or all of it when the head is incomplete.
[[nodiscard]] std::string_view received_head(const boost::beast::flat_buffer& received);

/// @brief True when @a head contains the empty line that ends it.
[[nodiscard]] bool is_whole_head(std::string_view head);

/// @brief True when a line of @a head begins with a blank. Parsers append such a line to the value before it, also when
/// it is a field whose name begins with a blank. Servers must not send them (RFC 9112, section 5.2).
[[nodiscard]] bool has_folded_line(std::string_view head);

/// @brief Reads the head of an answer from @a stream. The maximum size of @a buffer must be set.
/// @return why there is no head that can be parsed
template <class Stream>
[[nodiscard]] task<boost::system::error_code> receive_answer_head(Stream& stream, boost::beast::flat_buffer& buffer,
                                                                  boost::beast::http::basic_parser<false>& answer)
{
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    constexpr std::size_t read_bytes = 4096;
    boost::system::error_code failed;
    while (!failed && !is_whole_head(received_head(buffer)))
    {
        const auto size = std::min(read_bytes, buffer.max_size() - buffer.size());
        if (size == 0)
        {
            co_return boost::beast::http::error::header_limit;
        }
        buffer.commit(co_await stream.async_read_some(buffer.prepare(size), redirect_error(use_awaitable, failed)));
    }
    if (!failed && has_folded_line(received_head(buffer)))
    {
        failed = boost::beast::http::error::bad_field;
    }
    if (!failed)
    {
        co_await boost::beast::http::async_read_header(stream, buffer, answer, redirect_error(use_awaitable, failed));
    }
    co_return failed;
}

/// @brief True when the body of a parsed answer lasts until the end of its connection, and that was not an orderly end.
/// Parsers take each end of the received data for the end of such a body.
[[nodiscard]] inline bool is_cut_short(const boost::beast::http::basic_parser<false>& answer,
                                       const deadline_socket& connection)
{
    return answer.is_done() && answer.need_eof() && !ended_in_order(connection);
}

}  // namespace cornelstall
