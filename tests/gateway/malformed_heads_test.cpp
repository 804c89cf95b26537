#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"
#include "malformed_heads.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const std::string sealed{"X-Id: q1\r\nX-Seal: s\r\n"};
const std::string interim_answer{"HTTP/1.1 100 Continue\r\n\r\n"};

route make_route(request_kind kind, int max_attempts = 2)
{
    route matched;
    matched.kind_ = kind;
    matched.resumable_ = kind == request_kind::streaming;
    matched.max_attempts_ = max_attempts;
    matched.timeout_ = milliseconds{3000};
    matched.latency_target_ = milliseconds{500};
    matched.max_event_gap_ = milliseconds{250};
    return matched;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t arrivals(const gateway_fixture& gateway)
{
    std::size_t count = 0;
    std::ranges::for_each(gateway.servers_,
                          [&count](const auto& server) { count += server->received_requests_.size(); });
    return count;
}

/// As many servers as there are @a responses; each request gets the next of them, whichever server it reaches.
void add_servers(gateway_fixture& gateway, const std::vector<scripted_response>& responses)
{
    auto next = std::make_shared<std::size_t>(0);
    std::ranges::for_each(responses, [&](const auto&) {
        gateway.add_server([next, responses](const auto&) { return responses.at((*next)++); });
    });
}

std::string whole_answer(request_kind kind)
{
    return kind == request_kind::streaming ? stream_events(1, 2) + last_chunk
                                           : plain_response("200 OK", "data: e2").bytes_;
}

std::string with_length(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("an answer with an invalid status is not relayed, whatever follows it")
{
    // A status below 100 was skipped like that of an interim answer: the bytes after its head were read as the answer.
    const auto kind = GENERATE(request_kind::idempotent, request_kind::non_idempotent, request_kind::streaming);
    const auto head = GENERATE(as<std::string>{}, "", interim_answer) + "HTTP/1.1 " +
                      GENERATE(from_range(tests::invalid_statuses())) + " None\r\n" + sealed;
    const auto response = GENERATE_COPY(
        scripted_response{head + with_length("bogus"), false}, scripted_response{head + with_length("bogus"), true},
        scripted_response{head + "\r\n", true}, scripted_response{head + "\r\nbogus", false},
        scripted_response{head + with_length(whole_answer(kind)), false},
        scripted_response{head + with_length("") + whole_answer(kind), true});
    CAPTURE(kind, response.bytes_, response.keep_open_);
    gateway_fixture gateway;
    gateway.activate_route(make_route(kind, 1));
    gateway.add_server([&response](const auto&) { return scripted_response(response); });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(contains(answer, "bogus"));
    CHECK_FALSE(contains(answer, "data: e"));
    CHECK(arrivals(gateway) == 1);
}

TEST_CASE("an answer to HEAD with an invalid status is not relayed")
{
    const auto status = GENERATE(from_range(tests::invalid_statuses()));
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::idempotent, 1));
    gateway.add_server([&status](const auto&) {
        return scripted_response{"HTTP/1.1 " + status + " None\r\n" + sealed + "Content-Length: 5\r\n\r\n", true};
    });
    CHECK(gateway.send_raw_request(request_text("HEAD")).starts_with("HTTP/1.1 502"));
}

TEST_CASE("a request that may run again is answered by another server after an invalid status")
{
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming);
    const auto status = GENERATE(from_range(tests::invalid_statuses()));
    gateway_fixture gateway;
    gateway.activate_route(make_route(kind));
    add_servers(gateway, {scripted_response{"HTTP/1.1 " + status + " None\r\n" + sealed + with_length("bogus"), true},
                          scripted_response{whole_answer(kind), false}});
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(answer.starts_with("HTTP/1.1 200 OK"));
    CHECK(contains(answer, "data: e2"));
    CHECK_FALSE(contains(answer, "bogus"));
}

TEST_CASE("a resumed stream goes on at a third server after a malformed answer of the second one")
{
    const auto malformed =
        GENERATE(as<std::string>{}, "HTTP/1.1 000 None\r\n" + sealed, "HTTP/1.1 200 OK\r\n" + sealed + "X Odd: 1\r\n") +
        with_length(whole_answer(request_kind::streaming));
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::streaming, 3));
    add_servers(gateway, {scripted_response{stream_events(1, 2), false}, scripted_response{malformed, false},
                          scripted_response{stream_events(3, 4) + last_chunk, false}});
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "prompt"));
    CHECK(contains(answer, "data: e2"));
    CHECK(contains(answer, "data: e4"));
    CHECK(answer.ends_with(last_chunk));
    CHECK(answer.find("data: e1") == answer.rfind("data: e1"));
    CHECK(arrivals(gateway) == 3);
}

TEST_CASE("a malformed head promises nothing, and its other fields do not hold")
{
    // Otherwise the request is sent to another server, or refused with a promise, although it may have run.
    const auto head =
        GENERATE(as<std::string>{}, "HTTP/1.1 000 None\r\n", "HTTP/1.1 503 Service Unavailable\r\nX Odd: 1\r\n",
                 "HTTP/1.1 503 Service Unavailable\r\nX\x01"
                 "Odd: 1\r\n");
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent));
    const auto refuse = [head](const auto&) {
        return scripted_response{head + sealed + "X-Not-Run: 1\r\nX-Leaving: 1\r\nX-Limit: 0\r\n" + with_length(""),
                                 true};
    };
    gateway.add_server(refuse);
    gateway.add_server(refuse);
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(arrivals(gateway) == 1);
    CHECK(ready_servers(gateway.state_.directory_, service_id{"s"}, std::chrono::steady_clock::now()).size() == 2);
}

TEST_CASE("an answer with a malformed field name in its head is not relayed")
{
    const auto kind = GENERATE(request_kind::idempotent, request_kind::non_idempotent, request_kind::streaming);
    const auto line = GENERATE(from_range(tests::malformed_lines()));
    const bool first = GENERATE(true, false);
    const bool interim = GENERATE(true, false);
    const auto fields = first ? line + "\r\n" + sealed : sealed + line + "\r\n";
    const auto bytes =
        (interim ? interim_answer : "") + "HTTP/1.1 200 OK\r\n" + fields + with_length("data: bogus\n\n");
    CAPTURE(kind, bytes);
    gateway_fixture gateway;
    gateway.activate_route(make_route(kind, 1));
    gateway.add_server([&bytes](const auto&) { return scripted_response{bytes, true}; });
    const auto method = GENERATE(as<std::string>{}, "POST", "HEAD");
    const auto answer = gateway.send_raw_request(request_text(method));
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(contains(answer, "Odd"));
    CHECK_FALSE(contains(answer, "bogus"));
}

TEST_CASE("an interim answer with a malformed field name is not skipped")
{
    const auto line = GENERATE(from_range(tests::malformed_lines()));
    const auto kind = GENERATE(request_kind::non_idempotent, request_kind::streaming);
    gateway_fixture gateway;
    gateway.activate_route(make_route(kind, 1));
    gateway.add_server([&](const auto&) {
        return scripted_response{"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + whole_answer(kind), false};
    });
    CHECK(gateway.send_raw_request(request_text("POST")).starts_with("HTTP/1.1 502"));
}

TEST_CASE("an answer with a malformed field name in its trailer is not relayed as complete")
{
    const auto kind = GENERATE(request_kind::idempotent, request_kind::non_idempotent, request_kind::streaming);
    const auto line = GENERATE(from_range(tests::malformed_lines()));
    CAPTURE(line);
    gateway_fixture gateway;
    gateway.activate_route(make_route(kind, 1));
    gateway.add_server([&line](const auto&) {
        return scripted_response{stream_events(1, 2) + "0\r\n" + line + "\r\n\r\n", true};
    });
    const auto answer = gateway.send_raw_request(request_text("POST"));
    CHECK_FALSE(contains(answer, "Odd"));
    CHECK(answer.starts_with(kind == request_kind::streaming ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    CHECK_FALSE(answer.ends_with(last_chunk));
}

TEST_CASE("sound answers with unusual names, values and statuses are relayed unchanged")
{
    const auto status =
        GENERATE(as<std::string>{}, "200 OK", "200 ", "226 IM Used", "299 \xc3\xa9t\xc3\xa9", "300 Multiple Choices",
                 "418 I'm a teapot", "451 Unavailable For Legal Reasons", "499 ", "599 ");
    const auto line = GENERATE(as<std::string>{}, "X-Name: 1", "!#$%&'*+-.^_`|~09azAZ: 1", "x_name: a\tb",
                               "X-Empty:", "X-Text: \xe9 \"(,;)\"", "X-Blanks: \t 1 \t ", "1: 2");
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent));
    gateway.add_server([&](const auto&) { return plain_response(status, "as the server wrote it", line + "\r\n"); });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 " + status.substr(0, 4)));
    CHECK(contains(answer, line.substr(0, line.find(':') + 1)));
    CHECK(answer.ends_with("\r\n\r\nas the server wrote it"));
}

TEST_CASE("sound answers that cannot have a body are relayed")
{
    const auto status = GENERATE(as<std::string>{}, "204 No Content", "304 Not Modified");
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent));
    gateway.add_server([&](const auto&) {
        return scripted_response{"HTTP/1.1 " + status + "\r\n" + sealed + "\r\n", true};
    });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(answer.starts_with("HTTP/1.1 " + status + "\r\n"));
    CHECK(contains(answer, "X-Seal: s"));
}
