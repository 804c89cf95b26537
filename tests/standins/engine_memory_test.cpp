#include <future>

#include <catch2/catch.hpp>

#include "http_calls.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

standins::engine_settings small_engine()
{
    standins::engine_settings settings;
    settings.kv_tokens_ = token_count{1000};
    settings.prefill_rate_ = token_rate{1'000'000.0};
    settings.decode_rate_ = token_rate{1000.0};
    settings.load_duration_ = milliseconds{20};
    return settings;
}

json completion(const std::string& id, int max_tokens)
{
    return {{"model", "small"}, {"prompt", "one"}, {"max_tokens", max_tokens}, {"request_id", id}, {"holder", "vm-1"}};
}

json reservation(int tokens)
{
    return {{"request_id", "a"}, {"holder", "vm-1"}, {"tokens", tokens}};
}

int used_memory(caller& client)
{
    return client.get("/v1/load").body()["kv_tokens_used"];
}

std::string code_of(const answer& refused)
{
    return refused.body()["error"]["code"];
}

}  // namespace

TEST_CASE("reservations hold memory until they are returned")
{
    const auto engine = standins::start_engine(small_engine(), any_port);
    caller client{engine};
    const answer granted = client.post("/v1/kv/reservations", reservation(800));
    REQUIRE(granted.status_ == 201);
    const std::string id = granted.body()["reservation_id"];
    REQUIRE(used_memory(client) == 800);

    SECTION("an engine that grants more than it has would fail in mid-answer")
    {
        REQUIRE(client.post("/v1/kv/reservations", reservation(201)).status_ == 507);
        REQUIRE(code_of(client.post("/v1/completions", completion("b", 300))) == "out_of_memory");
    }
    SECTION("a returned reservation gives its memory back, once")
    {
        REQUIRE(client.call("DELETE", "/v1/kv/reservations/" + id).status_ == 200);
        REQUIRE(client.call("DELETE", "/v1/kv/reservations/" + id).status_ == 404);
        REQUIRE(used_memory(client) == 0);
    }
    SECTION("a lost acknowledgement leaves a reservation that its holder can find")
    {
        client.post("/control/faults", {{"lose_acknowledgement", 1}, {"match", "POST /v1/kv/reservations"}});
        REQUIRE(caller{engine}.post("/v1/kv/reservations", reservation(100)).status_ == 0);
        const json held = client.get("/v1/requests").body()["reservations"];
        REQUIRE(held.size() == 2);
        REQUIRE(held[1]["holder"] == "vm-1");
        REQUIRE(held[1]["request_id"] == "a");
    }
    SECTION("a request that brings its reservation uses that memory and returns it at its end")
    {
        json body = completion("a", 500);
        body["reservation_id"] = id;
        REQUIRE(has_end_mark(client.post("/v1/completions", body).text_));
        REQUIRE(used_memory(client) == 0);
    }
}

TEST_CASE("a prefill keeps its memory as an export until that is deleted")
{
    const auto first = standins::start_engine(small_engine(), any_port);
    const auto second = standins::start_engine(small_engine(), any_port);
    caller client{first};
    const std::string segment(2000, 'x');
    const json job{{"request_id", "a"}, {"holder", "vm-1"}, {"model", "small"}, {"prompt", segment}};
    const answer done = client.post("/v1/kv/prefill", job);
    REQUIRE(done.status_ == 200);
    REQUIRE(done.body()["tokens"] == 500);
    REQUIRE(used_memory(client) == 500);
    const std::string id = done.body()["export_id"];

    json body = completion("a", 5);
    body["imports"] = json::array({{{"address", first.address().get()}, {"export_id", id}}});
    SECTION("another engine continues from the export")
    {
        REQUIRE(has_end_mark(caller{second}.post("/v1/completions", body).text_));
    }
    SECTION("an import of a deleted export would answer from a part of the prompt")
    {
        REQUIRE(client.call("DELETE", "/v1/kv/exports/" + id).status_ == 200);
        REQUIRE(used_memory(client) == 0);
        REQUIRE(code_of(caller{second}.post("/v1/completions", body)) == "unknown_export");
    }
}

TEST_CASE("an engine refuses work that it cannot take")
{
    auto settings = small_engine();
    settings.slots_ = 1;
    settings.waiting_limit_ = 0;
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    SECTION("a model that is not loaded")
    {
        json body = completion("a", 1);
        body["model"] = "large";
        REQUIRE(code_of(client.post("/v1/completions", body)) == "model_not_loaded");
    }
    SECTION("too many sequences")
    {
        REQUIRE(code_of(client.post("/v1/completions", completion("a", 1))) == "overloaded");
    }
    SECTION("any work while it drains, which its load report says too")
    {
        client.post("/control/faults", {{"drain", true}});
        REQUIRE(code_of(client.post("/v1/completions", completion("a", 1))) == "draining");
        REQUIRE(client.get("/v1/load").body()["draining"] == true);
    }
    SECTION("everything during an outage, but not its fault control")
    {
        client.post("/control/faults", {{"outage", true}});
        REQUIRE(client.get("/v1/load").status_ == 503);
        client.post("/control/faults", {{"outage", false}});
        REQUIRE(client.get("/v1/load").status_ == 200);
    }
}

TEST_CASE("an old fencing number is refused or ignored")
{
    auto settings = small_engine();
    const auto order = [](const char* id, int fencing, const char* kind) {
        return json{{"order_id", id}, {"fencing_number", fencing}, {"kind", kind}, {"model", "large"},
                    {"version", "2"}, {"role", "decode"}};
    };
    const auto has_large = [](caller& client) {
        return client.get("/v1/load").body()["models"].size() == 2;
    };
    SECTION("an engine that checks it must not obey a lease holder that was replaced")
    {
        const auto engine = standins::start_engine(settings, any_port);
        caller client{engine};
        REQUIRE(client.post("/v1/orders", order("1", 7, "load_model")).status_ == 202);
        REQUIRE(eventually([&] { return has_large(client); }));
        REQUIRE(client.post("/v1/orders", order("1", 7, "load_model")).status_ == 200);
        REQUIRE(code_of(client.post("/v1/orders", order("2", 6, "unload_model"))) == "stale_fencing_number");
        REQUIRE(has_large(client));
    }
    SECTION("an engine that ignores it shows the damage that the lease rules must prevent")
    {
        settings.checks_fencing_ = false;
        const auto engine = standins::start_engine(settings, any_port);
        caller client{engine};
        client.post("/v1/orders", order("1", 7, "load_model"));
        REQUIRE(eventually([&] { return has_large(client); }));
        REQUIRE(client.post("/v1/orders", order("2", 6, "unload_model")).status_ == 200);
        REQUIRE_FALSE(has_large(client));
    }
}

TEST_CASE("cache events tell of stored and evicted blocks, with gaps on demand")
{
    auto settings = small_engine();
    settings.kv_tokens_ = token_count{100'000};
    settings.cache_tokens_ = token_count{2048};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    const auto run = [&client](const char* id, const json& keys) {
        json body = completion(id, 1);
        body["prompt"] = std::string(keys.size() * 4096, 'p');
        body["prefix_keys"] = keys;
        return events_of(client.post("/v1/completions", body).text_).back()["usage"]["cached_tokens"].get<int>();
    };
    REQUIRE(run("a", {"0000000000000001", "0000000000000002"}) == 0);
    SECTION("a cached prefix is reused")
    {
        REQUIRE(run("b", {"0000000000000001", "0000000000000002"}) == 2048);
    }
    SECTION("memory is bounded: the least recently used block goes first")
    {
        run("b", {"0000000000000003"});
        const json last = client.get("/v1/cache-events?after=3").body();
        REQUIRE(last["events"].size() == 1);
        REQUIRE(last["events"][0]["kind"] == "evicted");
        REQUIRE(last["events"][0]["key"] == "0000000000000002");
        REQUIRE(last["next"] == 5);
    }
    SECTION("a reader that misses a gap would trust a wrong index")
    {
        client.post("/control/faults", {{"cache_event_gap", 1}});
        run("b", {"0000000000000003"});
        const json last = client.get("/v1/cache-events?after=2").body();
        REQUIRE(last["events"].size() == 1);
        REQUIRE(last["events"][0]["sequence"] == 4);
        REQUIRE(client.get("/v1/cache").body()["sequence"] == 4);
    }
}

TEST_CASE("a load report that showed the present would hide decisions on old figures")
{
    auto settings = small_engine();
    settings.report_lag_ = milliseconds{300};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    client.get("/v1/load");
    const auto reserved_at = std::chrono::steady_clock::now();
    REQUIRE(client.post("/v1/kv/reservations", reservation(800)).status_ == 201);
    REQUIRE(eventually([&client] { return used_memory(client) == 800; }));
    REQUIRE(std::chrono::steady_clock::now() - reserved_at >= settings.report_lag_);
}

TEST_CASE("urgent prompts are prefilled before others that came earlier")
{
    auto settings = small_engine();
    settings.kv_tokens_ = token_count{1'000'000};
    settings.prefill_rate_ = token_rate{50'000.0};
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    json body = completion("long", 1);
    body["prompt"] = std::string(400'000, 'l');
    body["priority"] = 5;
    auto slow = std::async(std::launch::async, [&] { return caller{engine}.post("/v1/completions", body); });
    REQUIRE(eventually([&client] { return client.get("/v1/load").body()["running"] == 1; }));
    REQUIRE(has_end_mark(client.post("/v1/completions", completion("short", 1)).text_));
    REQUIRE(client.get("/v1/load").body()["prefill_tokens_waiting"].get<int>() > 0);
    REQUIRE(has_end_mark(slow.get().text_));
}
