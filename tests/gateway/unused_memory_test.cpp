#include <catch2/catch.hpp>

#include "gateway/joint_prefill_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

// Guards against a hanging engine for which the memory of others is renewed until the caller's time limit.
TEST_CASE("the memory of a joint prefill stays reserved although its leading engine hangs and never uses it")
{
    joint_prefill_fixture joint(silent_response, "unused");
    joint.start();
    CHECK(joint.ends_without_leading());
    CHECK(joint.prompt_count() == 1);
}

TEST_CASE("a prompt is not sent to other engines although its leading engine hangs and it may be repeated")
{
    int sends = 0;
    joint_prefill_fixture joint(
        [&sends] { return ++sends == 1 ? silent_response() : scripted_response{stream_events(1, 2) + last_chunk}; },
        "unused");
    auto matched = long_route(request_kind::streaming);
    matched.resumable_ = true;
    joint.gateway_.activate_route(matched, small_engine());
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.ends_with(stream_events(1, 2, false) + last_chunk));
    CHECK(joint.prompt_count() == 2);
    CHECK(joint.run_until([&joint] { return joint.gateway_.state_.open_leases_ == 0; }));
    CHECK(order_count(joint.gateway_, "release") == 2);
}

TEST_CASE("a send is ended because its leading engine is silent although it uses the memory of others")
{
    joint_prefill_fixture joint(late_response, "used");
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
    CHECK(joint.query_count() == 1);
}

TEST_CASE("memory stays reserved for a hanging engine after the caller has gone")
{
    joint_prefill_fixture joint(silent_response, "unused");
    joint.start();
    joint.caller_->socket_.close();
    CHECK(joint.run_until([&joint] { return joint.gateway_.state_.open_leases_ == 0; }));
    CHECK(joint.query_count() == 0);
    CHECK(order_count(joint.gateway_, "release") == 1);
}

TEST_CASE("memory stays reserved for a hanging engine after the requests were ended for a stop")
{
    joint_prefill_fixture joint(silent_response, "unused");
    joint.start();
    end_open_requests(joint.gateway_.state_);
    CHECK(joint.run_until([&joint] { return joint.gateway_.state_.open_leases_ == 0 && joint.caller_->has_answer(); }));
    CHECK(joint.query_count() == 0);
    CHECK(order_count(joint.gateway_, "release") == 1);
}
