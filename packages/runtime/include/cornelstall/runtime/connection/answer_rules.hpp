#pragma once

#include <cstddef>

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

}  // namespace cornelstall
