#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

route make_route(request_kind kind, bool resumable)
{
    route matched;
    matched.kind_ = kind;
    matched.resumable_ = resumable;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{3000};
    matched.latency_target_ = milliseconds{200};
    matched.max_event_gap_ = milliseconds{200};
    return matched;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t arrivals(const gateway_fixture& gateway)
{
    std::size_t count = 0;
    for (const auto& server : gateway.servers_)
    {
        count += server->received_requests_.size();
    }
    return count;
}

const std::string head_without_length{"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\n"};

}  // namespace

TEST_CASE("a server that repeats an earlier refusal is not believed that it did not run this request")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, false));
    const auto earlier_refusal = [](const auto&) {
        return scripted_response{.bytes_ =
                                     "HTTP/1.1 503 Service Unavailable\r\nX-Id: q0\r\nX-Not-Run: 1\r\nX-Leaving: "
                                     "1\r\nContent-Length: 0\r\n\r\n"};
    };
    gateway.add_server(earlier_refusal);
    gateway.add_server(earlier_refusal);
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(contains(answer, "HTTP/1.1 502"));
    CHECK(arrivals(gateway) == 1);
    // Nor does the server leave.
    CHECK(ready_servers(gateway.state_.directory_, service_id{"s"}, std::chrono::steady_clock::now()).size() == 2);
}

TEST_CASE("a refusal on a connection that answered before does not reach the next request")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, false));
    const auto server = gateway.add_server([](const auto&) {
        auto answer = plain_response("200 OK", "booked");
        answer.bytes_ += plain_response("503 Service Unavailable", "", "X-Not-Run: 1\r\n").bytes_;
        return answer;
    });
    for (int request = 1; request <= 3; ++request)
    {
        CHECK(contains(gateway.send_raw_request(request_text("POST", {}, "book")), "booked"));
        CHECK(server->received_requests_.size() == static_cast<std::size_t>(request));
    }
}

TEST_CASE("a stream that has begun is not followed by the error of the next server")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::streaming, true));
    const auto error = GENERATE(as<std::string>{}, "500 Internal Server Error", "404 Not Found", "204 No Content");
    int sends = 0;
    const auto script = [&sends, error](const auto&) {
        return ++sends == 1 ? scripted_response{.bytes_ = stream_events(1, 3)} : plain_response(error, "broken");
    };
    gateway.add_server(script);
    gateway.add_server(script);
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "prompt"));
    CHECK(sends == 2);
    CHECK(contains(answer, "data: e3"));
    CHECK_FALSE(contains(answer, "broken"));
    CHECK(answer.rfind("HTTP/1.1") == 0);
    CHECK_FALSE(answer.ends_with(last_chunk));
}

TEST_CASE("an answer whose head breaks off is not relayed as an empty or short one")
{
    const auto kind = GENERATE(request_kind::non_idempotent, request_kind::streaming);
    const auto head = GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Le",
                               "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Length: 6\r\n",
                               "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200");
    const bool reset = GENERATE(false, true);
    gateway_fixture gateway;
    gateway.activate_route(make_route(kind, false));
    gateway.add_server([head, reset](const auto&) { return scripted_response{.bytes_ = head, .reset_ = reset}; });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(contains(answer, "HTTP/1.1 502"));
    CHECK_FALSE(contains(answer, "200 OK"));
}

TEST_CASE("an answer without a length ends with its connection and is incomplete when that is reset")
{
    const bool reset = GENERATE(false, true);
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, false));
    gateway.add_server(
        [reset](const auto&) { return scripted_response{.bytes_ = head_without_length + "booked", .reset_ = reset}; });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(contains(answer, "booked") == !reset);
    CHECK(contains(answer, "HTTP/1.1 502") == reset);
}

TEST_CASE("a stream without a length is complete only when its connection closes after a whole event")
{
    const std::string events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
    const auto [rest, reset] = GENERATE(table<std::string, bool>({{"", false}, {"", true}, {"id: 3\nda", false}}));
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::streaming, false));
    gateway.add_server([bytes = head_without_length + events + rest, closed_by_reset = reset](const auto&) {
        return scripted_response{.bytes_ = bytes, .reset_ = closed_by_reset};
    });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "prompt"));
    CHECK(contains(answer, "data: e2"));
    CHECK_FALSE(contains(answer, "id: 3"));
    CHECK(answer.ends_with(last_chunk) == (rest.empty() && !reset));
}
