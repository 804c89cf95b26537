#include <catch2/catch.hpp>

#include "runtime/entry_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

standins::engine_settings fast_engine()
{
    standins::engine_settings settings;
    settings.decode_rate_ = token_rate{200.0};
    return settings;
}

/// The text of all chunks of a streamed answer.
std::string streamed_text(const std::string& body)
{
    event_splitter splitter;
    std::string text;
    std::ranges::for_each(split_events(splitter, body), [&text](const std::string& data) {
        const auto parsed = nlohmann::json::parse(data, nullptr, false);
        if (parsed.is_object() && parsed.contains("choices"))
        {
            text += parsed["choices"][0].value("text", std::string{});
        }
    });
    return text;
}

void inject(entry_fixture& entry, const socket_address& standin, const std::string& faults)
{
    http_call call;
    call.method_ = "POST";
    call.base_url_ = "http://" + standin.get();
    call.path_ = "/control/faults";
    call.body_ = faults;
    auto answer = std::make_shared<task_end<http_answer>>();
    boost::asio::co_spawn(entry.io_, record_end(make_call(std::move(call)), answer), boost::asio::detached);
    REQUIRE(run_until(entry.io_, [answer] { return answer->ended(); }));
    REQUIRE(answer->value_);
    REQUIRE(answer->value_->status_ == 200);
}

}  // namespace

TEST_CASE("a caller gets the engine's whole text, plain and streamed")
{
    entry_fixture entry;
    const auto engine = standins::start_engine(fast_engine(), tests::free_address());
    REQUIRE(entry.know_engines({engine.address()}));

    const auto plain = entry.complete(completion_body("where to", 20));
    REQUIRE(plain.status_ == 200);
    REQUIRE_FALSE(text_of(plain).empty());

    SECTION("a stream that differs from the plain answer has lost or repeated a part")
    {
        const auto streamed = entry.complete(completion_body("where to", 20, true));
        REQUIRE(streamed.status_ == 200);
        REQUIRE(streamed_text(streamed.body_) == text_of(plain));
        REQUIRE(streamed.body_.ends_with("data: [DONE]\n\n"));
    }
    SECTION("a stream cut in the middle must not end as a truncated success")
    {
        inject(entry, engine.address(), R"({"streams":{"cut_after_part":5}})");
        const auto resumed = entry.complete(completion_body("where to", 20));
        REQUIRE(resumed.status_ == 200);
        REQUIRE(text_of(resumed) == text_of(plain));
        REQUIRE(entry.state_.metrics_.counter("cornelstall_retries_total", {{"reason", "stream_cut"}}) >= 1);
    }
    SECTION("capacity that is not given back would refuse all later requests")
    {
        REQUIRE(run_until(entry.io_, [&entry] {
            return std::ranges::all_of(entry.state_.owner_.engines_,
                                       [](const auto& owned) { return owned.second.queue_.grants_.empty(); });
        }));
    }
}

TEST_CASE("an engine that dies in mid-stream leads to a whole answer from another one")
{
    entry_fixture entry;
    auto slow = fast_engine();
    slow.decode_rate_ = token_rate{40.0};
    auto first = standins::start_engine(slow, tests::free_address());
    auto second = standins::start_engine(slow, tests::free_address());
    REQUIRE(entry.know_engines({first.address(), second.address()}));
    const auto whole = entry.complete(completion_body("a question", 60));
    REQUIRE(whole.status_ == 200);

    http_call call;
    call.method_ = "POST";
    call.base_url_ = "http://" + entry.state_.settings_.listen_.get();
    call.path_ = "/v1/completions";
    call.body_ = completion_body("a question", 60);
    call.headers_ = {{"Authorization", "Bearer " + caller_key}};
    call.timeout_ = std::chrono::duration_cast<milliseconds>(generous);
    auto answer = std::make_shared<task_end<http_answer>>();
    boost::asio::co_spawn(entry.io_, record_end(make_call(std::move(call)), answer), boost::asio::detached);
    REQUIRE(run_until(entry.io_, [&entry] {
        return std::ranges::any_of(entry.state_.running_,
                                   [](const auto& running) { return !running.second.grant_.empty(); });
    }));
    const auto used = entry.state_.running_.begin()->second.engine_;
    // Kill the engine once it has begun to answer.
    REQUIRE(run_until(entry.io_, [&entry, &used] {
        const auto& grants = entry.state_.owner_.engines_[used].queue_.grants_;
        return std::ranges::any_of(grants, [](const auto& given) { return !given.second.prefilling_; });
    }));
    (used == engine_id{"engine-" + first.address().get()} ? first : second).stop();
    REQUIRE(run_until(entry.io_, [answer] { return answer->ended(); }));
    REQUIRE(answer->value_);
    REQUIRE(answer->value_->status_ == 200);
    REQUIRE(text_of(*answer->value_) == text_of(whole));
}

TEST_CASE("bad input gets a clear refusal and nothing else suffers")
{
    entry_fixture entry;
    const auto engine = standins::start_engine(fast_engine(), tests::free_address());
    REQUIRE(entry.know_engines({engine.address()}));

    SECTION("an unknown key must not reach an engine")
    {
        const auto answer = entry.complete(completion_body("x", 4), {{"Authorization", "Bearer guess"}});
        REQUIRE(answer.status_ == 401);
        REQUIRE(reason_of(answer) == "unknown_key");
    }
    SECTION("a model that is not declared")
    {
        const auto answer = entry.complete(R"({"model":"large","prompt":"x"})");
        REQUIRE(answer.status_ == 404);
        REQUIRE(reason_of(answer) == "unknown_model");
    }
    SECTION("a rank that the service does not carry would let a caller raise its own rank")
    {
        const auto answer = entry.complete(completion_body("x", 4), {{"X-Rank", "standard"}});
        REQUIRE(answer.status_ == 403);
    }
    SECTION("malformed JSON")
    {
        REQUIRE(reason_of(entry.complete("{\"model\":")) == "malformed_request");
    }
    SECTION("deep nesting could exhaust the stack of a recursive reader")
    {
        const auto deep = std::string(100'000 / 2 - 100, '[');
        REQUIRE(reason_of(entry.complete("{\"model\":" + deep)) == "malformed_request");
    }
    SECTION("a body above the limit would use up memory")
    {
        const auto answer = entry.complete(completion_body(std::string(200'000, 'x'), 4));
        REQUIRE(answer.status_ == 413);
        REQUIRE(reason_of(answer) == "body_too_large");
    }
    REQUIRE(entry.complete(completion_body("still served", 4)).status_ == 200);
}

TEST_CASE("with no engine ready the caller is told that its request did not run")
{
    entry_fixture entry;
    const auto answer = entry.complete(completion_body("x", 4));
    REQUIRE(answer.status_ == 503);
    REQUIRE(nlohmann::json::parse(answer.body_)["error"]["outcome"] == "did_not_run");
}
