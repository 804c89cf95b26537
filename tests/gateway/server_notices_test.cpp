#include <catch2/catch.hpp>

#include "gateway/placed_requests.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

route repeatable_route()
{
    route matched;
    matched.kind_ = request_kind::idempotent;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{3000};
    matched.latency_target_ = milliseconds{200};
    return matched;
}

listed_server listed(const gateway_fixture& gateway, const std::string& id)
{
    return gateway.state_.directory_.servers_.at(server_id{id}).listed_;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

scripted_response refusal(const std::string& fields)
{
    return plain_response("503 Service Unavailable", "", "X-Not-Run: 1\r\n" + fields);
}

}  // namespace

TEST_CASE("a server that announces in an answer that it is leaving gets no further request")
{
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    const auto status = GENERATE(as<std::string>{}, "200 OK", "404 Not Found", "500 Internal Server Error");
    const auto leaving =
        gateway.add_server([status](const auto&) { return plain_response(status, "a", "X-Leaving: 1\r\n"); });
    (void)gateway.send_raw_request(request_text("GET"));
    REQUIRE(leaving->received_requests_.size() == 1);
    const auto other = gateway.add_server([](const auto&) { return plain_response("200 OK", "b"); });
    for (int request = 0; request < 4; ++request)
    {
        CHECK(contains(gateway.send_raw_request(request_text("GET")), "200 OK"));
    }
    CHECK(leaving->received_requests_.size() == 1);
    CHECK(other->received_requests_.size() == 4);
}

TEST_CASE("neither an entry that says ready nor a removal from the list undoes the announcement of a leaving server")
{
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    gateway.add_server([](const auto&) { return refusal("X-Leaving: 1\r\n"); });
    (void)gateway.send_raw_request(request_text("GET"));
    auto& directory = gateway.state_.directory_;
    const auto now = std::chrono::steady_clock::now();
    auto entry = listed(gateway, "server-0");
    upsert_listed_server(directory, entry, at_offset(10), now);
    CHECK(ready_servers(directory, service_id{"s"}, now).empty());
    remove_listed_server(directory, entry.id_, at_offset(11));
    upsert_listed_server(directory, entry, at_offset(12), now);
    CHECK(ready_servers(directory, service_id{"s"}, now).empty());
    // A new lifetime under the same id has announced nothing.
    entry.started_at_ms_ = 1;
    upsert_listed_server(directory, entry, at_offset(13), now);
    CHECK(ready_servers(directory, service_id{"s"}, now).size() == 1);
}

TEST_CASE("a server that another VM reports as leaving gets no request, and its next lifetime does")
{
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "a"); });
    apply_reported_leaving(gateway.state_, vm_id{"vm-2"}, {{server_id{"server-0"}, 0, milliseconds{40}}});
    CHECK(contains(gateway.send_raw_request(request_text("GET")), " 503 "));
    CHECK(server->received_requests_.empty());
    // What a VM learned from a report it does not report itself; otherwise the notice would circulate for ever.
    CHECK(recently_leaving(gateway.state_.directory_, milliseconds{10000}, std::chrono::steady_clock::now()).empty());
    auto entry = listed(gateway, "server-0");
    entry.started_at_ms_ = 1;
    upsert_listed_server(gateway.state_.directory_, entry, at_offset(10), std::chrono::steady_clock::now());
    apply_reported_leaving(gateway.state_, vm_id{"vm-2"}, {{server_id{"server-0"}, 0, milliseconds{80}}});
    CHECK(contains(gateway.send_raw_request(request_text("GET")), "200 OK"));
}

TEST_CASE("a server that asks for a pause gets no request until it is over, even when it is the last one")
{
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    auto refuses = std::make_shared<bool>(true);
    const auto server = gateway.add_server(
        [refuses](const auto&) { return *refuses ? refusal("X-Pause: 700\r\n") : plain_response("200 OK", "a"); });
    const auto first = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(first, " 503 "));
    REQUIRE(server->received_requests_.size() == 1);
    *refuses = false;
    const auto paused_at = std::chrono::steady_clock::now();
    const auto second = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(second, " 503 "));
    CHECK(server->received_requests_.size() == 1);
    // Refused at once, with the time at which the server takes work again.
    const auto left = time_until_pause_ends(gateway.state_.directory_, service_id{"s"}, {}, paused_at);
    REQUIRE(left);
    CHECK(*left <= milliseconds{700});
    const auto field = second.find("Retry-After: ");
    REQUIRE(field != std::string::npos);
    const double seconds = std::stod(second.substr(field + 13));
    CHECK(seconds >= 0.3);
    CHECK(seconds <= 1.5);
    REQUIRE(gateway.run_until([&gateway] {
        return !ready_servers(gateway.state_.directory_, service_id{"s"}, std::chrono::steady_clock::now()).empty();
    }));
    CHECK(contains(gateway.send_raw_request(request_text("GET")), "200 OK"));
    CHECK(server->received_requests_.size() == 2);
}

TEST_CASE("requests that were placed before a server asked for a pause are not sent to it any more")
{
    // The requests have chosen the server and are connecting when the refusal arrives.
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "a"); });
    const auto entry = listed(gateway, "server-0");
    auto ends = std::make_shared<std::vector<send_result>>();
    for (int request = 0; request < 5; ++request)
    {
        spawn(gateway.state_.executor_, "send_directly", send_directly(gateway, entry, ends));
    }
    spawn(gateway.state_.executor_, "pause", [](gateway_fixture& where, listed_server to) -> task<> {
        record_pause(where.state_.directory_, to, milliseconds{5000}, std::chrono::steady_clock::now());
        co_return;
    }(gateway, entry));
    REQUIRE(gateway.run_until([ends] { return ends->size() == 5; }));
    CHECK(std::ranges::count(*ends, send_result::did_not_run) == 5);
    CHECK(server->received_requests_.empty());
}

TEST_CASE("a prompt that the engines together cannot hold is refused at once")
{
    gateway_fixture gateway;
    engine_profile engine;
    engine.slots_ = 4;
    engine.kv_capacity_ = token_count{100000};
    engine.prefill_tokens_per_ms_ = 154;
    auto matched = repeatable_route();
    matched.latency_target_ = milliseconds{8000};
    gateway.activate_route(matched, engine);
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "a"); });
    const auto started_at = std::chrono::steady_clock::now();
    const auto answer = gateway.send_raw_request(request_text("POST", "X-Prompt: 1000000000\r\n", "prompt"));
    CHECK(contains(answer, "prompt_too_large"));
    CHECK(std::chrono::steady_clock::now() - started_at < milliseconds{1000});
    CHECK(server->received_requests_.empty());
}
