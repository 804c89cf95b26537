#pragma once

#include <string>
#include <vector>

namespace cornelstall::tests
{

/// @brief Statuses that no server may answer with: below 100, not of a class, or a change of protocol that nobody asked
/// for.
inline std::vector<std::string> invalid_statuses()
{
    return {"000", "001", "099", "101", "600", "999"};
}

/// @brief Lines in place of a field, whose name is empty or has an octet that no name may have.
inline std::vector<std::string> malformed_lines()
{
    using namespace std::string_literals;
    std::vector<std::string> lines{"Content-Length : 3",
                                   "Content-Length\t: 3",
                                   "Transfer-Encoding : chunked",
                                   "X Odd: 1",
                                   " X-Odd: 1",
                                   "X(Odd): 1",
                                   "X-Odd",
                                   ": 1"};
    for (const auto& octet : {"\t"s, "\r"s, "\x01"s, "\x7f"s, "\xe9"s, "\0"s})
    {
        lines.push_back("X" + octet + "Odd: 1");
    }
    return lines;
}

}  // namespace cornelstall::tests
