#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

/// The part of a prompt (`X-Parts` names one with each letter) that crashes each server that begins to answer it.
constexpr char deadly_part = 'x';

route resumable_stream()
{
    route matched;
    matched.kind_ = request_kind::streaming;
    matched.resumable_ = true;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{3000};
    matched.latency_target_ = milliseconds{250};
    matched.max_event_gap_ = milliseconds{250};
    return matched;
}

scripted_response stream_or_crash(const fake_server::request& message)
{
    if (message["X-Parts"].find(deadly_part) != boost::string_view::npos)
    {
        return {.bytes_ = stream_events(1, 0), .crash_ = true};
    }
    return {.bytes_ = stream_events(1, 3) + last_chunk};
}

std::string request_with_parts(const std::string& parts)
{
    return request_text("POST", "X-Parts: " + parts + "\r\n", "prompt");
}

std::size_t arrivals(const gateway_fixture& gateway, char part)
{
    std::size_t count = 0;
    for (const auto& server : gateway.servers_)
    {
        count += static_cast<std::size_t>(
            std::ranges::count_if(server->received_requests_, [part](const fake_server::request& message) {
                return message["X-Parts"].find(part) != boost::string_view::npos;
            }));
    }
    return count;
}

void add_servers(gateway_fixture& gateway, int count)
{
    for (int server = 0; server < count; ++server)
    {
        gateway.add_server(stream_or_crash);
    }
}

bool is_served(const std::string& answer)
{
    return answer.find("data: e3") != std::string::npos && answer.ends_with(last_chunk);
}

}  // namespace

TEST_CASE("requests with a prompt part that crashes servers end one server after the other")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_stream());
    add_servers(gateway, 14);
    for (const std::string common : {"a", "b", "a", "c", "b", "a", "d", "c"})
    {
        (void)gateway.send_raw_request(request_with_parts(common + deadly_part));
    }
    // Of more than five crashes at most three are allowed.
    CHECK(arrivals(gateway, deadly_part) <= 8);
    // Sound requests share the other parts and are served.
    for (const std::string common : {"a", "b", "c", "d"})
    {
        CHECK(is_served(gateway.send_raw_request(request_with_parts(common))));
    }
}
