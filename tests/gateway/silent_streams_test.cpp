#include <ranges>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

/// Callers of this route abandon a stream after a gap of 4 s.
route resumable_route()
{
    route matched;
    matched.kind_ = request_kind::streaming;
    matched.resumable_ = true;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{10'000};
    matched.latency_target_ = milliseconds{250};
    matched.max_event_gap_ = milliseconds{500};
    return matched;
}

scripted_response rejection(const std::string& fields = {})
{
    return plain_response("503 Service Unavailable", "", "X-Not-Run: 1\r\n" + fields);
}

/// Sends events 1 to 3 at once, and the rest of the stream after a silence that callers bear.
scripted_response silent_for_a_while()
{
    scripted_response response{stream_events(1, 3)};
    response.later_ = stream_events(4, 5, false) + last_chunk;
    response.silence_ = milliseconds{3700};
    return response;
}

/// True when @a answer is the stream of the events 1 to @a last, each once and in order.
bool is_whole_stream(const std::string& answer, int last)
{
    const auto body = stream_events(1, last, false) + last_chunk;
    return answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\n" + body);
}

}  // namespace

TEST_CASE("a begun stream is closed because its server was silent for a while and the next one rejects it")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        return ++arrivals == 1 ? silent_for_a_while() : rejection();
    };
    gateway.add_server(script);
    gateway.add_server(script);
    CHECK(is_whole_stream(gateway.send_raw_request(request_text("POST", {}, "prompt")), 5));
}

TEST_CASE("a begun stream is closed because its server was silent for a while and the next one fails")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        return ++arrivals == 1 ? silent_for_a_while() : plain_response("500 Internal Server Error", "");
    };
    gateway.add_server(script);
    gateway.add_server(script);
    CHECK(is_whole_stream(gateway.send_raw_request(request_text("POST", {}, "prompt")), 5));
}

TEST_CASE("a begun stream is closed because its server was silent for a while and the next one is silent for good")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        return ++arrivals == 1 ? silent_for_a_while() : scripted_response{"", true};
    };
    gateway.add_server(script);
    gateway.add_server(script);
    CHECK(is_whole_stream(gateway.send_raw_request(request_text("POST", {}, "prompt")), 5));
    CHECK(arrivals == 2);
}

TEST_CASE("a stream that another server has gone on with gets nothing more from the silent one")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        if (++arrivals == 1)
        {
            return silent_for_a_while();
        }
        scripted_response slow{stream_events(4, 4)};
        slow.later_ = stream_events(5, 5, false) + last_chunk;
        slow.silence_ = milliseconds{1000};
        return slow;
    };
    gateway.add_server(script);
    gateway.add_server(script);
    CHECK(is_whole_stream(gateway.send_raw_request(request_text("POST", {}, "prompt")), 5));
    CHECK(gateway.state_.local_work_.empty());
}

TEST_CASE("a begun stream whose server ends is closed because all others pause for a moment")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        ++arrivals;
        if (arrivals == 1)
        {
            return scripted_response{stream_events(1, 3), false};
        }
        return arrivals == 2 ? rejection("X-Pause: 400\r\n")
                             : scripted_response{stream_events(4, 5) + last_chunk, false};
    };
    std::ranges::for_each(std::views::iota(0, 3), [&](int) { gateway.add_server(script); });
    const auto now = std::chrono::steady_clock::now();
    const auto pause_last = [&gateway, now] {
        auto& directory = gateway.state_.directory_;
        record_pause(directory, directory.servers_.at(server_id{"server-2"}).listed_, milliseconds{400}, now);
    };
    pause_last();
    CHECK(is_whole_stream(gateway.send_raw_request(request_text("POST", {}, "prompt")), 5));
}
