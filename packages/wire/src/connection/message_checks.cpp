#include "message_checks.hpp"

#include <charconv>

namespace cornelstall::detail
{

void refuse(const char* field, const char* problem)
{
    throw connection_error(peer_message_malformed, std::string("peer message: field '") + field + "' " + problem +
                                                       "; check that all VMs run the same version");
}

socket_address checked_address(const std::string& text, const char* field)
{
    auto address = required_id<socket_address>(text, field);
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        refuse(field, "is not ip:port");
    }
    int port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port < 1 || port > 65'535)
    {
        refuse(field, "has no valid port");
    }
    return address;
}

milliseconds checked_duration(std::uint64_t value, const char* field)
{
    if (value > static_cast<std::uint64_t>(max_remaining.count()))
    {
        refuse(field, "is longer than a day");
    }
    return milliseconds{static_cast<milliseconds::rep>(value)};
}

}  // namespace cornelstall::detail
