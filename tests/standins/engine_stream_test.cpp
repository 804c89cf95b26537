#include <future>

#include <catch2/catch.hpp>

#include "http_calls.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

standins::engine_settings fast_engine()
{
    standins::engine_settings settings;
    settings.decode_rate_ = token_rate{1000.0};
    settings.keep_alive_ = milliseconds{50};
    return settings;
}

json completion(const char* id, int max_tokens)
{
    return {{"model", "small"},         {"prompt", "Which van goes first?"},
            {"max_tokens", max_tokens}, {"stream", true},
            {"request_id", id},         {"attempt", 1},
            {"holder", "vm-1"},         {"priority", 0}};
}

std::int64_t used_memory(caller& client)
{
    return client.get("/v1/load").body()["kv_tokens_used"].get<std::int64_t>();
}

}  // namespace

TEST_CASE("an answer has numbered parts, usage and the end mark")
{
    const auto engine = standins::start_engine(fast_engine(), any_port);
    caller client{engine};
    const answer whole = client.post("/v1/completions", completion("a", 8));
    const auto events = events_of(whole.text_);
    REQUIRE(whole.status_ == 200);
    SECTION("a cut answer must differ from a whole one by the end mark")
    {
        REQUIRE(has_end_mark(whole.text_));
        REQUIRE(events.back()["finish_reason"] == "length");
        REQUIRE(events.back()["usage"]["completion_tokens"] == 8);
    }
    SECTION("a part without its own number could not be told from a late or a crossed one")
    {
        REQUIRE(events.size() == 9);
        const auto numbered = [&events](std::size_t part) {
            return events[part]["part"] == part;
        };
        REQUIRE((numbered(0) && numbered(7) && numbered(8)));
        REQUIRE(events[3]["request_id"] == "a");
        REQUIRE(events[3]["attempt"] == 1);
    }
    SECTION("memory of a finished answer that stays held would fill the engine")
    {
        REQUIRE(used_memory(client) == 0);
    }
    SECTION("an attempt that is sent twice must not run twice")
    {
        REQUIRE(client.post("/v1/completions", completion("a", 8)).body()["error"]["code"] == "stale_attempt");
    }
}

TEST_CASE("a chat answer ends with 'stop' at its natural length")
{
    auto settings = fast_engine();
    settings.answer_tokens_ = token_count{3};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    json body = completion("a", 8);
    body.erase("prompt");
    body["messages"] = json::array({{{"role", "user"}, {"content", "hello"}}});
    REQUIRE(events_of(client.post("/v1/chat/completions", body).text_).back()["finish_reason"] == "stop");
}

TEST_CASE("a cut stream can be resumed to the same answer")
{
    const auto engine = standins::start_engine(fast_engine(), any_port);
    caller client{engine};
    const std::string expected = text_of(events_of(client.post("/v1/completions", completion("a", 20)).text_));

    client.post("/control/faults", {{"streams", {{"cut_after_part", 4}}}});
    const answer cut = client.post("/v1/completions", completion("b", 20));
    REQUIRE_FALSE(has_end_mark(cut.text_));
    REQUIRE(events_of(cut.text_).size() == 5);

    SECTION("a resume that loses or repeats a part would change the answer")
    {
        const answer rest = client.post("/v1/requests/b/resume", {{"attempt", 1}, {"first_part", 5}});
        REQUIRE(has_end_mark(rest.text_));
        REQUIRE(text_of(events_of(cut.text_)) + text_of(events_of(rest.text_)) == expected);
    }
    SECTION("a resume of another attempt would mix two answers")
    {
        const answer refused = client.post("/v1/requests/b/resume", {{"attempt", 2}, {"first_part", 5}});
        REQUIRE(refused.status_ == 404);
        REQUIRE(refused.body()["error"]["code"] == "unknown_request");
    }
    SECTION("a continuation on another engine must give the same whole answer")
    {
        const auto other = standins::start_engine(fast_engine(), any_port);
        json body = completion("b", 20);
        body["attempt"] = 2;
        body["first_part"] = 5;
        body["resume_text"] = text_of(events_of(cut.text_));
        const answer rest = caller{other}.post("/v1/completions", body);
        REQUIRE(events_of(rest.text_).front()["part"] == 5);
        REQUIRE(text_of(events_of(cut.text_)) + text_of(events_of(rest.text_)) == expected);
    }
}

TEST_CASE("a cut stream that nobody resumes is forgotten and its memory freed")
{
    auto settings = fast_engine();
    settings.decode_rate_ = token_rate{1.0};
    settings.kept_after_cut_ = milliseconds{50};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    client.post("/control/faults", {{"streams", {{"cut_after_part", 0}}}});
    client.post("/v1/completions", completion("a", 1000));
    const auto gone = [&client] {
        return client.get("/v1/requests").body()["requests"].empty();
    };
    REQUIRE(eventually(gone));
    REQUIRE(used_memory(client) == 0);
}

TEST_CASE("cancel frees the memory of a running request")
{
    auto settings = fast_engine();
    settings.decode_rate_ = token_rate{1.0};
    settings.kept_after_cut_ = milliseconds{600'000};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    client.post("/control/faults", {{"streams", {{"cut_after_part", 0}}}});
    client.post("/v1/completions", completion("a", 1000));
    const json held = client.get("/v1/requests").body()["requests"];
    REQUIRE(held.size() == 1);
    REQUIRE(held[0]["holder"] == "vm-1");
    REQUIRE(held[0]["kv_tokens"] == used_memory(client));

    SECTION("a cancel that leaves memory behind would lose it until the engine restarts")
    {
        REQUIRE(client.post("/v1/requests/a/cancel", json::object()).body()["state"] == "cancelled");
        REQUIRE(used_memory(client) == 0);
        REQUIRE(client.get("/v1/load").body()["running"] == 0);
    }
    SECTION("a lost acknowledgement of a cancel must be repeatable")
    {
        client.post("/control/faults", {{"lose_acknowledgement", 1}, {"match", "POST /v1/requests/"}});
        REQUIRE(caller{engine}.post("/v1/requests/a/cancel", json::object()).status_ == 0);
        REQUIRE(used_memory(client) == 0);
        REQUIRE(client.post("/v1/requests/a/cancel", json::object()).body()["state"] == "cancelled");
    }
    SECTION("an unknown request has nothing to cancel")
    {
        REQUIRE(client.post("/v1/requests/b/cancel", json::object()).body()["state"] == "unknown");
    }
}

TEST_CASE("disturbed streams show the parts that a receiver must drop")
{
    const auto engine = standins::start_engine(fast_engine(), any_port);
    caller client{engine};
    json body = completion("a", 6);
    body["attempt"] = 2;
    const auto parts_with = [&](const json& fault) {
        client.post("/control/faults", {{"streams", fault}});
        std::vector<std::string> parts;
        const auto events = events_of(client.post("/v1/completions", body).text_);
        std::ranges::transform(events, std::back_inserter(parts), [](const json& each) {
            return each["request_id"].get<std::string>() + "/" + each["attempt"].dump() + "/" + each["part"].dump();
        });
        return parts;
    };
    using names = std::vector<std::string>;
    SECTION("twice")
    {
        REQUIRE(parts_with({{"duplicate_part", 1}}) ==
                names{"a/2/0", "a/2/1", "a/2/1", "a/2/2", "a/2/3", "a/2/4", "a/2/5", "a/2/6"});
    }
    SECTION("out of order")
    {
        REQUIRE(parts_with({{"swap_part", 1}}) == names{"a/2/0", "a/2/2", "a/2/1", "a/2/3", "a/2/4", "a/2/5", "a/2/6"});
    }
    SECTION("of an earlier attempt and of another request")
    {
        REQUIRE(parts_with({{"earlier_attempt_before_part", 1}, {"foreign_before_part", 2}}) ==
                names{"a/2/0", "a/1/1", "a/2/1", "a-other/2/2", "a/2/2", "a/2/3", "a/2/4", "a/2/5", "a/2/6"});
    }
    SECTION("without the end mark")
    {
        REQUIRE(parts_with({{"end_without_mark_after_part", 1}}) == names{"a/2/0", "a/2/1"});
    }
}

TEST_CASE("open streams can go silent while new connections work")
{
    auto settings = fast_engine();
    settings.decode_rate_ = token_rate{20.0};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    auto streamed = std::async(std::launch::async, [&engine] {
        return caller{engine, milliseconds{500}}.post("/v1/completions", completion("a", 40));
    });
    REQUIRE(eventually([&client] { return client.get("/v1/load").body()["running"] == 1; }));
    caller{engine}.post("/control/faults", {{"silence_open_connections", true}});
    REQUIRE_FALSE(has_end_mark(streamed.get().text_));
    REQUIRE(has_end_mark(caller{engine}.post("/v1/requests/a/resume", {{"attempt", 1}, {"first_part", 0}}).text_));
}
