#include <ranges>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

/// Callers of this route abandon a stream after a gap of 4 s, eight times the one given here.
route resumable_route(milliseconds max_event_gap = milliseconds{500})
{
    route matched;
    matched.kind_ = request_kind::streaming;
    matched.resumable_ = true;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{10'000};
    matched.latency_target_ = milliseconds{250};
    matched.max_event_gap_ = max_event_gap;
    return matched;
}

scripted_response rejection(const std::string& fields = {})
{
    return plain_response("503 Service Unavailable", "", "X-Not-Run: 1\r\n" + fields);
}

/// Sends events 1 to 3 at once, and the rest of the stream after a silence that callers bear.
scripted_response silent_for_a_while(milliseconds silence = milliseconds{3700})
{
    scripted_response response{stream_events(1, 3)};
    response.later_ = stream_events(4, 5, false) + last_chunk;
    response.silence_ = silence;
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
    // The second pair has the figures of a driver's query: callers leave after 2 s.
    const auto [gap, silence] =
        GENERATE(std::pair(milliseconds{500}, milliseconds{3700}), std::pair(milliseconds{250}, milliseconds{1850}));
    gateway_fixture gateway;
    gateway.activate_route(resumable_route(gap));
    int arrivals = 0;
    const auto script = [&arrivals, silence = silence](const auto&) {
        return ++arrivals == 1 ? silent_for_a_while(silence) : rejection();
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

TEST_CASE("a server at work is cut off because the silent one rejects the request")
{
    gateway_fixture gateway;
    auto matched = resumable_route();
    matched.kind_ = request_kind::idempotent;
    matched.latency_target_ = milliseconds{50};
    gateway.activate_route(matched);
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        const bool first = ++arrivals == 1;
        scripted_response response;
        response.later_ = first ? rejection().bytes_ : plain_response("200 OK", "whole").bytes_;
        response.silence_ = first ? milliseconds{350} : milliseconds{900};
        return response;
    };
    gateway.add_server(script);
    gateway.add_server(script);
    CHECK(gateway.send_raw_request(request_text("GET")).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a stalled stream stays stalled because a byte of it ends the send to a slower server")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route(milliseconds{250}));
    int arrivals = 0;
    const auto script = [&arrivals](const auto&) {
        if (++arrivals == 1)
        {
            return scripted_response{stream_events(1, 2), false, "1\r\n:\r\n", milliseconds{200}};
        }
        scripted_response slow;
        slow.later_ = stream_events(3, 4) + last_chunk;
        slow.silence_ = milliseconds{600};
        return slow;
    };
    gateway.add_server(script);
    gateway.add_server(script);
    CHECK(is_whole_stream(gateway.send_raw_request(request_text("POST", {}, "prompt")), 4));
}

TEST_CASE("a silent server works on because its caller left while another one was tried")
{
    gateway_fixture gateway;
    auto matched = resumable_route();
    matched.kind_ = request_kind::idempotent;
    matched.latency_target_ = milliseconds{50};
    gateway.activate_route(matched);
    std::ranges::for_each(std::views::iota(0, 2), [&gateway](int) {
        gateway.add_server([](const auto&) { return scripted_response{"", true}; });
    });
    const auto& servers = gateway.servers_;
    boost::asio::ip::tcp::socket caller(gateway.io_);
    caller.connect(gateway.acceptor_.local_endpoint());
    boost::asio::write(caller, boost::asio::buffer(request_text("GET")));
    REQUIRE(gateway.run_until(
        [&] { return servers[0]->received_requests_.size() + servers[1]->received_requests_.size() == 2; }));
    caller.close();
    CHECK(gateway.run_until([&] { return servers[0]->closed_by_gateway_ + servers[1]->closed_by_gateway_ == 2; }));
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_requests_ == 0; }));
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
