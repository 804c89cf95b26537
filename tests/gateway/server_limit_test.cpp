#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

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

bool is_served(const std::string& answer)
{
    return answer.find("200 OK") != std::string::npos;
}

}  // namespace

TEST_CASE("a server gets more requests than the limit that it names")
{
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    const auto limited =
        gateway.add_server([](const auto&) { return plain_response("200 OK", "a", "X-Limit: 2\r\n"); });
    const auto other = gateway.add_server([](const auto&) { return plain_response("200 OK", "b"); });
    const auto started_at = std::chrono::steady_clock::now();
    for (int request = 0; request < 60; ++request)
    {
        CHECK(is_served(gateway.send_raw_request(request_text("GET"))));
    }
    // In 4 s one and a half times the limit and five more are allowed.
    REQUIRE(std::chrono::steady_clock::now() - started_at < std::chrono::seconds{4});
    CHECK(limited->received_requests_.size() <= 17);
    CHECK(limited->received_requests_.size() + other->received_requests_.size() == 60);
}

TEST_CASE("a request waits for the limit of the last server, or is refused with the time at which it lets one through")
{
    gateway_fixture gateway;
    auto matched = repeatable_route();
    matched.latency_target_ = milliseconds{2000};
    gateway.activate_route(matched);
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "a", "X-Limit: 2\r\n"); });
    REQUIRE(is_served(gateway.send_raw_request(request_text("GET"))));
    auto& limit = gateway.state_.directory_.limits_.limits_.at(server_id{"server-0"});
    while (take_allowance(limit, std::chrono::steady_clock::now()))
    {}
    // The next one is allowed in about half a second; a request may wait for 0.35 of its target.
    CHECK(is_served(gateway.send_raw_request(request_text("GET"))));
    limit.limit_ = request_rate{0.0};
    set_share(limit, {request_rate{0.2}, 1.0}, std::chrono::steady_clock::now());
    const auto refused = gateway.send_raw_request(request_text("GET"));
    CHECK(refused.find(" 503 ") != std::string::npos);
    const auto field = refused.find("Retry-After: ");
    REQUIRE(field != std::string::npos);
    CHECK(std::stod(refused.substr(field + 13)) >= 0.5);
    CHECK(server->received_requests_.size() == 2);
}

TEST_CASE("a server is used freely again when its answers name no limit any more")
{
    gateway_fixture gateway;
    gateway.activate_route(repeatable_route());
    auto has_limit = std::make_shared<bool>(true);
    const auto server = gateway.add_server(
        [has_limit](const auto&) { return plain_response("200 OK", "a", *has_limit ? "X-Limit: 3\r\n" : ""); });
    REQUIRE(is_served(gateway.send_raw_request(request_text("GET"))));
    REQUIRE(gateway.state_.directory_.limits_.limits_.size() == 1);
    *has_limit = false;
    REQUIRE(gateway.run_until([&gateway] {
        return take_from_limit(gateway.state_.directory_, server_id{"server-0"}, std::chrono::steady_clock::now());
    }));
    CHECK(is_served(gateway.send_raw_request(request_text("GET"))));
    CHECK(gateway.state_.directory_.limits_.limits_.empty());
    for (int request = 0; request < 20; ++request)
    {
        CHECK(is_served(gateway.send_raw_request(request_text("GET"))));
    }
    CHECK(server->received_requests_.size() == 22);
}
