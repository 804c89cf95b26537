#include <algorithm>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

engine_profile small_engine()
{
    engine_profile values;
    values.slots_ = 4;
    values.kv_capacity_ = token_count{100000};
    values.prefill_tokens_per_ms_ = 154;
    values.decode_steps_per_pass_ = 34;
    values.mean_output_tokens_ = token_count{100};
    return values;
}

route long_route()
{
    route matched;
    matched.kind_ = request_kind::non_idempotent;
    matched.timeout_ = milliseconds{5000};
    matched.latency_target_ = milliseconds{1200};
    return matched;
}

/// A request for a prompt of one and a half engines' memory.
std::string long_request()
{
    return request_text("POST", "X-Prompt: 150000\r\n", "prompt");
}

bool is_order(const fake_server::request& message, const std::string& order)
{
    return message["X-Order"] == order;
}

int orders(const gateway_fixture& gateway, const std::string& order)
{
    int found = 0;
    for (const auto& server : gateway.servers_)
    {
        found += static_cast<int>(std::ranges::count_if(
            server->received_requests_, [&order](const auto& message) { return is_order(message, order); }));
    }
    return found;
}

int requests(const gateway_fixture& gateway)
{
    int found = 0;
    for (const auto& server : gateway.servers_)
    {
        found += static_cast<int>(std::ranges::count_if(
            server->received_requests_, [](const auto& message) { return message.target() == "/r/x"; }));
    }
    return found;
}

}  // namespace

TEST_CASE("a prompt above one engine's memory is sent with its helpers, whose memory is released afterwards")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto&) { return plain_response("200 OK", "answer"); });
    }
    const auto answer = gateway.send_raw_request(long_request());
    CHECK(answer.find("answer") != std::string::npos);
    CHECK(requests(gateway) == 1);
    CHECK(orders(gateway, "reserve") >= 1);
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(orders(gateway, "release") == orders(gateway, "reserve"));
    CHECK(gateway.state_.local_work_.empty());
    for (const auto& server : gateway.servers_)
    {
        for (const auto& message : server->received_requests_)
        {
            CHECK((message.target() != "/r/x" || !message["X-Helpers"].empty()));
        }
    }
}

TEST_CASE("a prompt whose memory no engine grants is refused without having run")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            return is_order(message, "reserve") ? plain_response("409 Conflict", "")
                                                : plain_response("200 OK", "answer");
        });
    }
    const auto answer = gateway.send_raw_request(long_request());
    CHECK(answer.find("503") != std::string::npos);
    CHECK(requests(gateway) == 0);
    CHECK(gateway.state_.open_leases_ == 0);
}

TEST_CASE("a release is repeated until the engine confirms it")
{
    // A release that got lost kept the engine's memory set aside after the request had ended.
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    auto lost = std::make_shared<int>(1);
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([lost](const auto& message) {
            const bool loses = is_order(message, "release") && (*lost)-- > 0;
            return loses ? scripted_response{"", true} : plain_response("200 OK", "answer");
        });
    }
    (void)gateway.send_raw_request(long_request());
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(orders(gateway, "release") == orders(gateway, "reserve") + 1);
}

TEST_CASE("memory that may have been reserved is released, since an order without an answer may be carried out later")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            return is_order(message, "reserve") ? scripted_response{"", true} : plain_response("200 OK", "answer");
        });
    }
    const auto answer = gateway.send_raw_request(long_request());
    CHECK(answer.find("503") != std::string::npos);
    CHECK(requests(gateway) == 0);
    // The first release is not enough: the lost order may still come.
    CHECK(gateway.run_until([&gateway] { return orders(gateway, "release") > orders(gateway, "reserve"); }));
    CHECK(gateway.state_.open_leases_ > 0);
}

TEST_CASE("a release without an answer is repeated soon also when the reservation has lapsed")
{
    // Orders carried out late reserved the memory again, and each lost release left it so for 1.5 s more.
    gateway_fixture gateway;
    gateway.state_.settings_.memory_reservation_timeout_ = milliseconds{100};
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            return message.target() == "/r/x" ? plain_response("200 OK", "answer") : scripted_response{"", true};
        });
    }
    (void)gateway.send_raw_request(long_request());
    CHECK(gateway.run_until([&gateway] { return orders(gateway, "release") >= 40; }));
}

TEST_CASE("a caller that leaves gives the reserved memory back")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            return message.target() == "/r/x" ? scripted_response{"", true} : plain_response("200 OK", "");
        });
    }
    boost::asio::ip::tcp::socket caller(gateway.io_);
    caller.connect(gateway.acceptor_.local_endpoint());
    boost::asio::write(caller, boost::asio::buffer(long_request()));
    REQUIRE(gateway.run_until([&gateway] { return requests(gateway) == 1; }));
    CHECK(gateway.state_.open_leases_ > 0);
    caller.close();
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(orders(gateway, "release") == 1);
}

TEST_CASE("a reservation is renewed while its request runs")
{
    gateway_fixture gateway;
    gateway.state_.settings_.memory_reservation_timeout_ = milliseconds{150};
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            return message.target() == "/r/x" ? scripted_response{"", true} : plain_response("200 OK", "");
        });
    }
    boost::asio::ip::tcp::socket caller(gateway.io_);
    caller.connect(gateway.acceptor_.local_endpoint());
    boost::asio::write(caller, boost::asio::buffer(long_request()));
    CHECK(gateway.run_until([&gateway] { return orders(gateway, "reserve") >= 4; }));
    caller.close();
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
}
