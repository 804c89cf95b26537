#include <catch2/catch.hpp>

#include "gateway/joint_prefill_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine was restarted under its id")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    auto entry = joint.leading_entry();
    entry.started_at_ms_ = first_start_ms + 1;
    change_entry(joint.gateway_, entry, false);
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although another server has its leading engine's address")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    auto entry = joint.leading_entry();
    entry.id_ = server_id{"successor"};
    entry.started_at_ms_ = first_start_ms + 1;
    change_entry(joint.gateway_, entry, false);
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine has left the list and ended")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    change_entry(joint.gateway_, joint.leading_entry(), true);
    joint.leading()->acceptor_.close();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine has left the list and is dark")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    change_entry(joint.gateway_, joint.leading_entry(), true);
    joint.darken_leading();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine is dark past its forecast")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    joint.darken_leading();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine refuses connections")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    joint.leading()->acceptor_.close();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although the leading engine reset the connection")
{
    joint_prefill_fixture joint([] {
        auto response = scripted_response{""};
        response.reset_ = true;
        return response;
    });
    joint.start();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("a send is ended because its leading engine has left the list although it goes on serving")
{
    joint_prefill_fixture joint(late_response);
    joint.start();
    change_entry(joint.gateway_, joint.leading_entry(), true);
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a send is ended because its leading engine is silent past its forecast although it accepts connections")
{
    joint_prefill_fixture joint(late_response);
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a send is ended because this VM reaches neither its leading engine nor the server list")
{
    // A VM that is cut off from everything proves nothing about a server.
    joint_prefill_fixture joint(late_response);
    joint.start();
    joint.darken_leading();
    REQUIRE(joint.gateway_.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
}

TEST_CASE("servers get connections without a request although none is silent")
{
    joint_prefill_fixture joint([] { return plain_response("200 OK", "answer"); });
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    const auto now = std::chrono::steady_clock::now();
    joint.run_until([now] { return std::chrono::steady_clock::now() > now + std::chrono::seconds{4}; });
    std::ranges::for_each(joint.gateway_.servers_, [](const auto& server) {
        CHECK(server->accepted_ == static_cast<int>(server->received_requests_.size()));
    });
}

TEST_CASE("a stream that makes progress is cut because its server has left the list")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(request_kind::streaming));
    scripted_response slow{stream_events(1, 2)};
    slow.later_ = stream_events(3, 4, false) + last_chunk;
    slow.silence_ = milliseconds{3000};
    const auto server = gateway.add_server([slow](const auto&) { return slow; });
    waiting_caller caller(gateway, request_text("POST", {}, "prompt"));
    REQUIRE(gateway.run_until([&server] { return !server->received_requests_.empty(); }));
    change_entry(gateway, entry_of(gateway, *server), true);
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.ends_with(stream_events(3, 4, false) + last_chunk));
}

TEST_CASE("a stream is cut because its server, which leaves in an orderly way, accepts no more connections")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(request_kind::streaming));
    scripted_response slow{stream_events(1, 2)};
    slow.later_ = stream_events(3, 4, false) + last_chunk;
    slow.silence_ = milliseconds{3000};
    const auto server = gateway.add_server([slow](const auto&) { return slow; });
    set_start_times(gateway);
    waiting_caller caller(gateway, request_text("POST", {}, "prompt"));
    REQUIRE(gateway.run_until([&server] { return !server->received_requests_.empty(); }));
    auto entry = entry_of(gateway, *server);
    entry.state_ = server_state::draining;
    change_entry(gateway, entry, false);
    change_entry(gateway, entry, true);
    server->acceptor_.close();
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.ends_with(stream_events(3, 4, false) + last_chunk));
}

TEST_CASE("memory stays reserved while a caller reads an answer that is whole")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    const std::string body(std::size_t{7} * 1024 * 1024, 'a');
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([&body](const auto& message) {
            return message.target() == "/r/x" ? plain_response("200 OK", body) : plain_response("200 OK", "");
        });
    }
    waiting_caller caller(gateway, long_request());
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 1; }));
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == 1);
    CHECK(gateway.state_.open_requests_ == 1);
}

TEST_CASE("a resumable stream waits for its server, which was restarted, although another one can go on with it")
{
    gateway_fixture gateway;
    auto matched = long_route(request_kind::streaming);
    matched.resumable_ = true;
    matched.latency_target_ = milliseconds{20'000};
    matched.max_event_gap_ = milliseconds{20'000};
    gateway.activate_route(matched);
    const auto script = [](const auto& message) {
        return message["X-After"] == "2" ? scripted_response{stream_events(3, 4) + last_chunk}
                                         : scripted_response{stream_events(1, 2), true};
    };
    gateway.add_server(script);
    gateway.add_server(script);
    set_start_times(gateway);
    waiting_caller caller(gateway, request_text("POST", {}, "prompt"));
    REQUIRE(gateway.run_until([&caller] { return !caller.has_answer() && caller.received_.ends_with("e2\n\n\r\n"); }));
    const auto& servers = gateway.servers_;
    auto entry = entry_of(gateway, *(servers[0]->received_requests_.empty() ? servers[1] : servers[0]));
    entry.started_at_ms_ = first_start_ms + 1;
    change_entry(gateway, entry, false);
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.ends_with(stream_events(1, 4, false) + last_chunk));
}

TEST_CASE("memory stays reserved for a plan that is not used because another engine refuses")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    int reserve_orders = 0;
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([&reserve_orders](const auto& message) {
            const bool refuses = is_order(message, "reserve") && ++reserve_orders % 2 == 0;
            return refuses ? plain_response("409 Conflict", "") : plain_response("200 OK", "answer");
        });
    }
    // Needs two helpers.
    waiting_caller caller(gateway, long_request("250000"));
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.starts_with("HTTP/1.1 503"));
    CHECK(reserve_orders >= 2);
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == reserve_orders / 2);
}

TEST_CASE("memory stays reserved because the order to release it is answered late")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            auto response = plain_response("200 OK", "answer");
            if (is_order(message, "release"))
            {
                response.later_ = std::exchange(response.bytes_, "");
                response.silence_ = milliseconds{2000};
            }
            return response;
        });
    }
    (void)gateway.send_raw_request(long_request());
    // Repeated until the reservation has expired by itself, then given up.
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") > order_count(gateway, "reserve"));
}
