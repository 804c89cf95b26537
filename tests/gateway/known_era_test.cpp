#include <catch2/catch.hpp>

#include "cornelstall/gateway/process/announce.hpp"
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

// Guards against a return that goes unnoticed because a call other than those of the followers sees it first.
TEST_CASE("a return of the log is noticed from the answer to an append")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    REQUIRE(accept_era(state, log_era{4}, "t"));
    record_log log;
    log.read_newest_ = []() -> task<record_page> {
        record_page page;
        page.reached_ = true;
        page.era_ = log_era{5};
        co_return page;
    };
    log.append_ = [](std::string, std::string) -> task<append_result> {
        co_return append_result{true, log_era{5}};
    };
    state.settings_.first_start_ = true;
    spawn(state.executor_, "announce_vm", announce_vm(state, log));
    REQUIRE(gateway.run_until([&state] { return state.era_.era_ == log_era{5}; }));
    CHECK(state.era_.returned_);
}
