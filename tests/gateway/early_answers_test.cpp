#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const std::string interim_answer{"HTTP/1.1 100 Continue\r\n\r\n"};
const std::string sealed{"X-Id: q1\r\nX-Seal: s\r\n"};
const std::string two_events{"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"};
/// More than the kernel buffers of a connection take, so that the gateway still writes it when the answer arrives.
constexpr std::size_t upload_bytes = 7'000'000;

route make_route(request_kind kind, int max_attempts = 2)
{
    route matched;
    matched.kind_ = kind;
    matched.resumable_ = kind == request_kind::streaming;
    matched.max_attempts_ = max_attempts;
    matched.timeout_ = milliseconds{6000};
    matched.latency_target_ = milliseconds{1000};
    matched.max_event_gap_ = milliseconds{250};
    return matched;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Activates a route that admits the upload.
void activate_upload_route(gateway_fixture& gateway, request_kind kind, int max_attempts = 2)
{
    gateway.activate_route(make_route(kind, max_attempts));
    auto table = std::make_shared<routing_table>(*gateway.state_.table_);
    table->version_ = configuration_version{2};
    table->limits_.body_bytes_ = byte_count{2 * upload_bytes};
    activate_table(gateway.state_, table);
}

/// A head that states no length, so that the body ends with the connection.
std::string head_without_length()
{
    return GENERATE(as<std::string>{}, "", interim_answer) +
           GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n") +
           sealed + "\r\n";
}

/// A request with a long body to one of two servers, whose @a response comes while the body is still written.
std::string upload(gateway_fixture& gateway, const scripted_response& response)
{
    for (int index = 0; index < 2; ++index)
    {
        answer_early(*gateway.add_server([&response](const auto&) { return scripted_response(response); }));
    }
    return gateway.send_raw_request(request_text("POST", {}, std::string(upload_bytes, 'u')));
}

}  // namespace

TEST_CASE("a body without a length whose connection is reset during the upload is not relayed as complete")
{
    // The kernel reports the reset to the write of the upload only; the read then saw an orderly end.
    const auto head = head_without_length();
    const auto kind = GENERATE(request_kind::idempotent, request_kind::non_idempotent);
    const auto body = GENERATE(as<std::string>{}, "part of the", "");
    CAPTURE(head, kind, body);
    gateway_fixture gateway;
    // A non-idempotent request stays at its server although an attempt and another server are left.
    activate_upload_route(gateway, kind, kind == request_kind::idempotent ? 1 : 2);
    const auto answer = upload(gateway, {.bytes_ = head + body, .reset_ = true});
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(contains(answer, "part of the"));
    CHECK(gateway.servers_[0]->received_requests_.size() + gateway.servers_[1]->received_requests_.size() == 1);
}

TEST_CASE("a stream without a length whose connection is reset during the upload does not end as complete")
{
    const auto head = head_without_length();
    const auto rest = GENERATE(as<std::string>{}, "", "id: 3\nda");
    gateway_fixture gateway;
    activate_upload_route(gateway, request_kind::streaming, 1);
    const auto answer = upload(gateway, {.bytes_ = head + two_events + rest, .reset_ = true});
    CHECK(contains(answer, "data: e2"));
    CHECK_FALSE(answer.ends_with(last_chunk));
}

TEST_CASE("a resumed stream without a length whose connection is reset during the upload does not end as complete")
{
    gateway_fixture gateway;
    activate_upload_route(gateway, request_kind::streaming, 2);
    int sends = 0;
    for (int index = 0; index < 2; ++index)
    {
        answer_early(*gateway.add_server([&sends](const auto&) {
            return ++sends == 1
                       ? scripted_response{.bytes_ = stream_events(1, 2)}
                       : scripted_response{.bytes_ = "HTTP/1.1 200 OK\r\n" + sealed + "\r\nid: 3\ndata: e3\n\n",
                                           .reset_ = true};
        }));
    }
    const auto answer = gateway.send_raw_request(request_text("POST", {}, std::string(upload_bytes, 'u')));
    CHECK(sends == 2);
    CHECK(contains(answer, "data: e3"));
    CHECK_FALSE(answer.ends_with(last_chunk));
}

TEST_CASE("a request that may run again is answered whole by another server after a reset during the upload")
{
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming);
    const std::string part{"HTTP/1.1 200 OK\r\n" + sealed + "\r\n" + two_events};
    const std::string whole{kind == request_kind::streaming ? stream_events(3, 4) + last_chunk
                                                            : plain_response("200 OK", "data: e4").bytes_};
    gateway_fixture gateway;
    activate_upload_route(gateway, kind);
    int sends = 0;
    for (int index = 0; index < 2; ++index)
    {
        answer_early(*gateway.add_server([&sends, &part, &whole](const auto&) {
            return ++sends == 1 ? scripted_response{.bytes_ = part, .reset_ = true}
                                : scripted_response{.bytes_ = whole};
        }));
    }
    const auto answer = gateway.send_raw_request(request_text("POST", {}, std::string(upload_bytes, 'u')));
    CHECK(sends == 2);
    CHECK(contains(answer, "data: e4"));
    CHECK(contains(answer, "data: e2") == (kind == request_kind::streaming));
    CHECK(answer.ends_with(last_chunk) == (kind == request_kind::streaming));
}

TEST_CASE("an answer with a stated end that is cut by a reset during the upload is not relayed as complete")
{
    const auto framing = GENERATE(as<std::string>{}, "Content-Length: 12\r\n\r\npart of the",
                                  "Transfer-Encoding: chunked\r\n\r\nb\r\npart of the\r\n");
    gateway_fixture gateway;
    activate_upload_route(gateway, request_kind::non_idempotent);
    const auto answer = upload(gateway, {.bytes_ = "HTTP/1.1 200 OK\r\n" + sealed + framing, .reset_ = true});
    CHECK(answer.starts_with("HTTP/1.1 502"));
}

TEST_CASE("a whole answer that comes during the upload is relayed, also when the connection is reset after it")
{
    // A server that refuses a long body need not read it: it closes, and the rest of the upload meets a reset.
    const auto status = GENERATE(as<std::string>{}, "200 OK", "413 Payload Too Large");
    const auto framing = GENERATE(as<std::string>{}, "Content-Length: 5\r\n\r\nwhole",
                                  "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    const bool reset = GENERATE(true, false);
    gateway_fixture gateway;
    activate_upload_route(gateway, request_kind::non_idempotent);
    const auto answer = upload(gateway, {.bytes_ = "HTTP/1.1 " + status + "\r\n" + sealed + framing, .reset_ = reset});
    CHECK(answer.starts_with("HTTP/1.1 " + status));
    CHECK(answer.ends_with("whole"));
}

TEST_CASE("an answer without a length that ends in order during the upload is relayed")
{
    // The end of the sending side says where the body ends; what happens to the rest of the upload does not matter.
    const auto head = head_without_length();
    const bool reset = GENERATE(false, true);
    const auto kind = GENERATE(request_kind::non_idempotent, request_kind::streaming);
    CAPTURE(head, reset, kind);
    gateway_fixture gateway;
    activate_upload_route(gateway, kind);
    const auto answer =
        upload(gateway, {.bytes_ = head + two_events, .keep_open_ = !reset, .reset_ = reset, .end_sending_ = true});
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(contains(answer, two_events.substr(0, two_events.find("\n\nid: 2"))));
    CHECK(contains(answer, "data: e2"));
    CHECK(answer.ends_with(last_chunk) == (kind == request_kind::streaming));
}

TEST_CASE("a refusal during the upload still tells that the request did not run")
{
    const auto framing = GENERATE(as<std::string>{}, "\r\nfull", "Content-Length: 4\r\n\r\nfull");
    const bool reset = GENERATE(true, false);
    gateway_fixture gateway;
    activate_upload_route(gateway, request_kind::non_idempotent);
    const scripted_response refusal{
        .bytes_ = "HTTP/1.1 503 Service Unavailable\r\nX-Id: q1\r\nX-Not-Run: 1\r\n" + framing, .reset_ = reset};
    CHECK(upload(gateway, refusal).starts_with("HTTP/1.1 503"));
}
