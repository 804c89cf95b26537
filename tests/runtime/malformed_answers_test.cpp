#include <catch2/catch.hpp>

#include "malformed_heads.hpp"
#include "runtime/scripted_server.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

const std::string interim_answer{"HTTP/1.1 100 Continue\r\n\r\n"};
const std::string whole_answer{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"};
/// More than the kernel buffers of a connection take.
constexpr std::size_t upload_bytes = 7'000'000;
constexpr milliseconds call_limit{10'000};

/// Calls a server that does what @a answer says.
/// @return the answer, or the error id of the call
std::shared_ptr<task_end<http_answer>> call_server(const scripted_answer& answer, const std::string& body = {},
                                                   const std::string& method = "POST")
{
    boost::asio::io_context io(1);
    const scripted_server server(io, answer);
    http_call call;
    call.method_ = method;
    call.base_url_ = server.url();
    call.body_ = body;
    call.timeout_ = call_limit;
    auto end = start(io, make_call(std::move(call)));
    CHECK(run_until(io, [&end] { return end->ended(); }));
    return end;
}

task<int> open_stream(socket_address engine, std::string body)
{
    engine_stream stream(engine);
    const auto refusal = co_await stream.open("/v1/completions", std::move(body), call_limit);
    if (refusal)
    {
        co_return refusal->status_;
    }
    while (true)
    {
        (void)co_await stream.next(call_limit);
    }
}

/// Opens a stream at an engine that does what @a answer says, and reads it to its end.
/// @return the status of a refusal, or the error id
std::shared_ptr<task_end<int>> open_at_engine(const scripted_answer& answer, const std::string& body = "{}")
{
    boost::asio::io_context io(1);
    const scripted_server server(io, answer);
    auto end = start(io, open_stream(server.address(), body));
    CHECK(run_until(io, [&end] { return end->ended(); }));
    return end;
}

}  // namespace

TEST_CASE("an answer with an invalid status fails the call, whatever follows it")
{
    const auto head = GENERATE(as<std::string>{}, "", interim_answer) + "HTTP/1.1 " +
                      GENERATE(from_range(tests::invalid_statuses())) + " None\r\n";
    const auto rest = GENERATE(as<std::string>{}, "Content-Length: 5\r\n\r\nbogus", "\r\nbogus",
                               "Content-Length: 43\r\n\r\n" + whole_answer, "Content-Length: 0\r\n\r\n" + whole_answer);
    const auto method = GENERATE(as<std::string>{}, "POST", "HEAD");
    CAPTURE(head, rest);
    CHECK(call_server({.bytes_ = head + rest}, "body", method)->error_id_ == http_cut);
}

TEST_CASE("an answer with a malformed field name fails the call")
{
    const auto line = GENERATE(from_range(tests::malformed_lines()));
    const auto bytes =
        GENERATE_COPY("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 6\r\n\r\nabcdef",
                      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + line + "\r\n\r\nabcdef",
                      interim_answer + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + line + "\r\n\r\nabcdef",
                      "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + whole_answer,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n" + line + "\r\n\r\n");
    CAPTURE(bytes);
    CHECK(call_server({.bytes_ = bytes})->error_id_ == http_cut);
}

TEST_CASE("a malformed head of an engine is no refusal, which would promise that the attempt did not run")
{
    const auto head = GENERATE(as<std::string>{}, "HTTP/1.1 000 None\r\n", "HTTP/1.1 503 Unavailable\r\nX Odd: 1\r\n",
                               "HTTP/1.1 503 Unavailable\r\nX\x01"
                               "Odd: 1\r\n",
                               "HTTP/1.1 200 OK\r\nX Odd: 1\r\n");
    const auto end = open_at_engine({.bytes_ = head + "Content-Length: 2\r\n\r\n{}"});
    CHECK(end->error_id_ == http_cut);
}

TEST_CASE("a body without a length whose connection is reset during the upload fails the call")
{
    const auto head = GENERATE(as<std::string>{}, "", interim_answer) +
                      GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n");
    const auto part = GENERATE(as<std::string>{}, "", "part of the");
    const std::string upload(upload_bytes, 'u');
    CHECK(call_server({.bytes_ = head + part, .early_ = true, .reset_ = true}, upload)->error_id_ == http_cut);
}

TEST_CASE("an engine whose connection is reset during the upload has neither refused nor ended its stream")
{
    const auto [head, error] = GENERATE(table<std::string, int>(
        {{"HTTP/1.1 503 Unavailable\r\n\r\n{", http_cut}, {"HTTP/1.1 200 OK\r\n\r\ndata: ", stream_cut}}));
    const auto end = open_at_engine({.bytes_ = head, .early_ = true, .reset_ = true}, std::string(upload_bytes, 'u'));
    CHECK(end->error_id_ == error);
}

TEST_CASE("sound answers with unusual names, values and statuses are received whole")
{
    const auto status = GENERATE(200, 226, 299, 300, 418, 451, 499, 599);
    const auto [line, name, value] = GENERATE(
        table<std::string, std::string, std::string>({{"X-Name: 1", "x-name", "1"},
                                                      {"!#$%&'*+-.^_`|~09azAZ: 1", "!#$%&'*+-.^_`|~09azaz", "1"},
                                                      {"x_name: a\tb", "x_name", "a\tb"},
                                                      {"X-Empty:", "x-empty", ""},
                                                      {"X-Text: \xe9 \"(,;)\"", "x-text", "\xe9 \"(,;)\""},
                                                      {"X-Twice: 1\r\nX-Twice: 2", "x-twice", "1, 2"}}));
    const auto interim = GENERATE(as<std::string>{}, "", interim_answer, interim_answer + interim_answer);
    const auto end = call_server({.bytes_ = interim + "HTTP/1.1 " + std::to_string(status) + " \r\n" + line +
                                            "\r\nContent-Length: 5\r\n\r\nwhole"});
    REQUIRE(end->value_);
    CHECK(end->value_->status_ == status);
    CHECK(end->value_->headers_[name] == value);
    CHECK(end->value_->body_ == "whole");
}

TEST_CASE("sound answers that have no body are received")
{
    const auto [method, head] =
        GENERATE(table<std::string, std::string>({{"POST", "204 No Content\r\n"},
                                                  {"POST", "304 Not Modified\r\nContent-Length: 5\r\n"},
                                                  {"HEAD", "200 OK\r\nContent-Length: 5\r\n"},
                                                  {"HEAD", "200 OK\r\n"}}));
    const auto end = call_server({.bytes_ = "HTTP/1.1 " + head + "\r\n", .keep_open_ = true}, {}, method);
    REQUIRE(end->value_);
    CHECK(end->value_->body_.empty());
}

TEST_CASE("a whole answer that comes during the upload is received, also when the connection is reset after it")
{
    const auto framing = GENERATE(as<std::string>{}, "Content-Length: 5\r\n\r\nwhole",
                                  "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    const bool reset = GENERATE(true, false);
    const auto end = call_server({.bytes_ = "HTTP/1.1 413 Payload Too Large\r\n" + framing,
                                  .early_ = true,
                                  .reset_ = reset,
                                  .keep_open_ = !reset},
                                 std::string(upload_bytes, 'u'));
    REQUIRE(end->value_);
    CHECK(end->value_->status_ == 413);
    CHECK(end->value_->body_ == "whole");
}

TEST_CASE("an answer without a length that ends in order is received whole")
{
    const auto head = GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n");
    const bool early = GENERATE(true, false);
    const bool reset = GENERATE(true, false);
    const auto end = call_server(
        {.bytes_ = head + "whole", .early_ = early, .end_sending_ = true, .reset_ = reset, .keep_open_ = !reset},
        std::string(upload_bytes, 'u'));
    REQUIRE(end->value_);
    CHECK(end->value_->body_ == "whole");
}

TEST_CASE("a sound refusal of an engine is received")
{
    const auto end = open_at_engine({.bytes_ = "HTTP/1.1 503 Unavailable\r\nContent-Length: 2\r\n\r\n{}"});
    CHECK(end->value_ == 503);
}
