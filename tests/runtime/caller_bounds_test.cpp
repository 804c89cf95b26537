#include <catch2/catch.hpp>

#include "runtime/raw_caller.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

const std::string health_call{"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"};
const std::string did_not_run{R"("outcome":"did_not_run")"};

settings with_bounds(const caller_bounds& bounds)
{
    auto values = sample_settings();
    values.caller_bounds_ = bounds;
    return values;
}

standins::engine_settings quick_engine()
{
    standins::engine_settings engine;
    engine.decode_rate_ = token_rate{200.0};
    return engine;
}

std::string repeated(const std::string& text, int count)
{
    std::string result;
    for (int number = 0; number < count; ++number)
    {
        result += text;
    }
    return result;
}

}  // namespace

TEST_CASE("heads that are too large, too long in coming or malformed are refused")
{
    // Heads arrive before a caller has shown a key: nothing that is kept of them may grow.
    caller_bounds bounds;
    bounds.head_time_ = milliseconds{200};
    entry_fixture entry(with_bounds(bounds));
    raw_caller caller(entry);

    SECTION("a header without end")
    {
        caller.send("GET /healthz HTTP/1.1\r\nX-Long: " + std::string(1'000'000, 'x'));
        REQUIRE(caller.receives("HTTP/1.1 400"));
    }
    SECTION("more header lines than are parsed")
    {
        caller.send("GET /healthz HTTP/1.1\r\n" + repeated("a:b\r\n", 200) + "\r\n");
        REQUIRE(caller.receives("HTTP/1.1 400"));
    }
    SECTION("a head that stops short of its end")
    {
        caller.send("GET /healthz HTTP/1.1\r\nHost: en");
        REQUIRE(caller.receives("HTTP/1.1 408"));
    }
    SECTION("no HTTP at all")
    {
        caller.send("\x16\x03\x01 hello\r\n\r\n");
        REQUIRE(caller.receives("HTTP/1.1 400"));
    }
    SECTION("a path that cannot be decoded")
    {
        caller.send("GET /%zz HTTP/1.1\r\nHost: entry\r\n\r\n");
        REQUIRE(caller.receives("HTTP/1.1 400"));
    }
    REQUIRE(caller.receives(did_not_run));
    REQUIRE(caller.receives("Connection: close"));
    REQUIRE(caller.is_closed());
    REQUIRE(entry.call("GET", "/healthz", {}, {}).status_ == 200);
}

TEST_CASE("a head within the bounds is served, however it arrives")
{
    entry_fixture entry;
    raw_caller caller(entry);
    SECTION("many headers and a long one")
    {
        caller.send("GET /healthz HTTP/1.1\r\n" + repeated("a:b\r\n", 100) + "X-Long: " + std::string(15'000, 'x') +
                    "\r\n\r\n");
        REQUIRE(caller.receives("\r\n\r\nok\n"));
    }
    SECTION("byte by byte")
    {
        std::ranges::for_each(health_call, [&caller](char byte) { caller.send(std::string(1, byte)); });
        REQUIRE(caller.receives("\r\n\r\nok\n"));
    }
    SECTION("two requests at once on a connection that stays open")
    {
        caller.send(health_call + health_call);
        REQUIRE(caller.receives("ok\nHTTP/1.1 200 OK"));
        caller.send(health_call);
        REQUIRE(run_until(entry.io_, [&caller] { return caller.receives("ok\n") && caller.answers() == 3; }));
    }
}

TEST_CASE("connections without a request are closed")
{
    caller_bounds bounds;
    bounds.idle_time_ = milliseconds{100};
    entry_fixture entry(with_bounds(bounds));
    raw_caller silent(entry);
    raw_caller served(entry);
    served.send(health_call);
    REQUIRE(served.receives("ok\n"));
    REQUIRE(served.is_closed());
    REQUIRE(silent.is_closed());
    REQUIRE(silent.received().empty());
}

TEST_CASE("a body is read whole however it is framed")
{
    entry_fixture entry;
    const auto engine = standins::start_engine(quick_engine(), tests::free_address());
    REQUIRE(entry.know_engines({engine.address()}));
    raw_caller caller(entry);
    const auto body = completion_body(std::string(5'000, 'x'), 4);

    SECTION("in chunks of one byte, with extensions and a trailer")
    {
        std::string chunks;
        std::ranges::for_each(body, [&chunks](char byte) { chunks += "1;a=b\r\n" + std::string(1, byte) + "\r\n"; });
        caller.send(completion_head("Transfer-Encoding: chunked") + chunks + "0\r\nX-End: 1\r\n\r\n");
    }
    SECTION("after the interim answer that the caller waits for")
    {
        caller.send(completion_head("Expect: 100-continue\r\nContent-Length: " + std::to_string(body.size())));
        REQUIRE(caller.receives("HTTP/1.1 100 Continue\r\n\r\n"));
        caller.send(body);
    }
    REQUIRE(caller.receives("HTTP/1.1 200 OK"));
    REQUIRE(caller.receives("choices"));
    caller.send(health_call);
    REQUIRE(caller.receives("ok\n"));
}

TEST_CASE("bodies that are not read are not kept, and nothing in them is taken for a request")
{
    entry_fixture entry;
    raw_caller caller(entry);

    SECTION("a request inside the body of a caller whose key is not known")
    {
        caller.send(completion_text(repeated(health_call, 10'000), "guess"));
        REQUIRE(caller.receives("HTTP/1.1 401"));
        REQUIRE(caller.receives(did_not_run));
    }
    SECTION("a request inside a body with an unknown transfer coding")
    {
        caller.send(completion_head("Transfer-Encoding: gzip") + health_call);
        REQUIRE(caller.receives("HTTP/1.1 400"));
        REQUIRE(caller.receives(did_not_run));
    }
    SECTION("a chunked body far over the limit")
    {
        const auto chunk = "8000\r\n" + std::string(32'768, 'x') + "\r\n";
        caller.send(completion_head("Transfer-Encoding: chunked") + repeated(chunk, 40));
        REQUIRE(caller.receives("HTTP/1.1 413"));
        REQUIRE(caller.receives(did_not_run));
    }
    SECTION("a body with broken chunks")
    {
        caller.send(completion_head("Transfer-Encoding: chunked") + "zz\r\n" + health_call);
        REQUIRE(caller.receives("HTTP/1.1 400"));
        REQUIRE(caller.receives(did_not_run));
    }
    SECTION("a chunk extension without end")
    {
        caller.send(completion_head("Transfer-Encoding: chunked") + "5;ext=" + std::string(1'000'000, 'x'));
        REQUIRE(caller.receives("HTTP/1.1 400"));
        REQUIRE(caller.receives(did_not_run));
    }
    REQUIRE(caller.is_closed());
    REQUIRE(caller.answers() == 1);
}

TEST_CASE("the answer to HEAD has no body, so that the next answer on the connection is not misread")
{
    entry_fixture entry;
    raw_caller caller(entry);
    caller.send("HEAD /healthz HTTP/1.1\r\nHost: entry\r\n\r\n" + health_call);
    REQUIRE(caller.receives("\r\n\r\nHTTP/1.1 200 OK"));
    REQUIRE(caller.receives("ok\n"));
}

TEST_CASE("when the memory for bodies is used up, the body that stalls is refused and the others are read")
{
    caller_bounds bounds;
    bounds.bodies_.total_ = byte_count{120'000};
    bounds.bodies_.progress_time_ = milliseconds{200};
    entry_fixture entry(with_bounds(bounds));
    const auto engine = standins::start_engine(quick_engine(), tests::free_address());
    REQUIRE(entry.know_engines({engine.address()}));
    const auto announced = completion_head("Content-Length: 95000");
    // The first of them may read to its end although the memory is used up; it stalls as well.
    std::vector<std::unique_ptr<raw_caller>> stalled;
    for (int number = 0; number < 3; ++number)
    {
        stalled.push_back(std::make_unique<raw_caller>(entry));
        stalled.back()->send(announced + std::string(80'000, 'x'));
    }
    const auto answer = entry.complete(completion_body(std::string(90'000, 'x'), 4));
    REQUIRE(answer.status_ == 200);
    const auto refused = [&](const std::unique_ptr<raw_caller>& caller) {
        return caller->receives("HTTP/1.1 429") && caller->receives(did_not_run) &&
               caller->receives(R"("reason":"queue_full")");
    };
    REQUIRE(std::ranges::any_of(stalled, refused));
    REQUIRE(entry.complete(completion_body("a small body", 4)).status_ == 200);
}

TEST_CASE("above the bound on connections, idle ones make room, and requests in progress are kept")
{
    caller_bounds bounds;
    bounds.connections_ = 2;
    entry_fixture entry(with_bounds(bounds));
    raw_caller first(entry);
    first.send(health_call);
    REQUIRE(first.receives("ok\n"));
    raw_caller second(entry);
    second.send(completion_head("Content-Length: 1000"));
    REQUIRE(run_until(entry.io_, [&entry] { return entry.state_.open_requests_ == 1; }));
    raw_caller third(entry);
    third.send(completion_head("Content-Length: 1000"));
    REQUIRE(first.is_closed());
    REQUIRE(run_until(entry.io_, [&entry] { return entry.state_.open_requests_ == 2; }));

    raw_caller fourth(entry);
    REQUIRE(fourth.receives("HTTP/1.1 429"));
    REQUIRE(fourth.receives(did_not_run));
    REQUIRE(fourth.is_closed());
    second.send(std::string(1000, 'x'));
    third.send(std::string(1000, 'x'));
    REQUIRE(second.receives("HTTP/1.1 400"));
    REQUIRE(third.receives("HTTP/1.1 400"));
}
