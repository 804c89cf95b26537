#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

// Guards against late answers from before a return of the log that are applied after it.
TEST_CASE("answers of an earlier era of the log, or without one, are not used")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    // A store of a former release states no era.
    CHECK(accept_era(state, std::nullopt, "t"));
    CHECK(accept_era(state, log_era{4}, "t"));
    CHECK(accept_era(state, log_era{4}, "t"));
    CHECK_FALSE(state.era_.returned_);
    CHECK(accept_era(state, log_era{5}, "t"));
    CHECK(state.era_.returned_);
    CHECK_FALSE(accept_era(state, log_era{4}, "t"));
    CHECK_FALSE(accept_era(state, std::nullopt, "t"));
    CHECK(state.era_.era_ == log_era{5});
    CHECK(accept_era(state, log_era{5}, "t"));
}

// Guards against a VM that ignores all later answers because one header was damaged.
TEST_CASE("an era far beyond the known one is not believed")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    REQUIRE(accept_era(state, log_era{4}, "t"));
    CHECK_FALSE(accept_era(state, log_era{1'000'000}, "t"));
    CHECK(accept_era(state, log_era{5}, "t"));
    CHECK(state.era_.era_ == log_era{5});
}
