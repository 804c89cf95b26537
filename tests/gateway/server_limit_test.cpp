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
