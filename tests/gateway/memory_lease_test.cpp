#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>

#include "gateway/placed_requests.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

route long_route()
{
    route matched;
    matched.kind_ = request_kind::non_idempotent;
    matched.timeout_ = milliseconds{5000};
    matched.latency_target_ = milliseconds{1200};
    return matched;
}

/// A request whose prompt needs 1.5 times the memory of one engine.
std::string long_request()
{
    return request_text("POST", "X-Prompt: 150000\r\n", "prompt");
}

bool is_order(const fake_server::request& message, const std::string& order)
{
    return message["X-Order"] == order;
}

int order_count(const gateway_fixture& gateway, const std::string& order)
{
    int found = 0;
    for (const auto& server : gateway.servers_)
    {
        found += static_cast<int>(std::ranges::count_if(
            server->received_requests_, [&order](const auto& message) { return is_order(message, order); }));
    }
    return found;
}

int request_count(const gateway_fixture& gateway)
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

TEST_CASE("a prompt larger than one engine's memory is sent once with helpers, and their memory is released afterwards")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto&) { return plain_response("200 OK", "answer"); });
    }
    const auto answer = gateway.send_raw_request(long_request());
    CHECK(answer.find("answer") != std::string::npos);
    CHECK(request_count(gateway) == 1);
    CHECK(order_count(gateway, "reserve") >= 1);
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == order_count(gateway, "reserve"));
    CHECK(gateway.state_.local_work_.empty());
    for (const auto& server : gateway.servers_)
    {
        for (const auto& message : server->received_requests_)
        {
            CHECK((message.target() != "/r/x" || !message["X-Helpers"].empty()));
        }
    }
}

TEST_CASE("a prompt is refused and sent to no engine when every engine refuses to reserve memory")
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
    CHECK(request_count(gateway) == 0);
    CHECK(gateway.state_.open_leases_ == 0);
}

TEST_CASE("a release is repeated until the engine confirms it")
{
    // Guards against a lost release, which kept engine memory reserved after the request had ended.
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    auto releases_to_lose = std::make_shared<int>(1);
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([releases_to_lose](const auto& message) {
            const bool loses_answer = is_order(message, "release") && (*releases_to_lose)-- > 0;
            return loses_answer ? scripted_response{"", true} : plain_response("200 OK", "answer");
        });
    }
    (void)gateway.send_raw_request(long_request());
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == order_count(gateway, "reserve") + 1);
}

TEST_CASE("memory is released repeatedly when the reserve order was not answered")
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
    CHECK(request_count(gateway) == 0);
    // One release is not enough, because the engine may carry out the unanswered order after it.
    CHECK(gateway.run_until([&gateway] { return order_count(gateway, "release") > order_count(gateway, "reserve"); }));
    CHECK(gateway.state_.open_leases_ > 0);
}

TEST_CASE("an unanswered release is repeated after the retry delay even when the reservation has expired")
{
    // Guards against late orders that reserve memory again: each lost release kept it reserved for 1.5 s more.
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
    CHECK(gateway.run_until([&gateway] { return order_count(gateway, "release") >= 40; }));
}

TEST_CASE("reserved memory is released when the caller disconnects")
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
    REQUIRE(gateway.run_until([&gateway] { return request_count(gateway) == 1; }));
    CHECK(gateway.state_.open_leases_ > 0);
    caller.close();
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == 1);
}

TEST_CASE("a reservation is renewed until its request ends")
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
    CHECK(gateway.run_until([&gateway] { return order_count(gateway, "reserve") >= 4; }));
    caller.close();
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
}

TEST_CASE("a process that was paused until a reservation expired does not use it")
{
    gateway_fixture gateway;
    gateway.state_.settings_.memory_reservation_timeout_ = milliseconds{150};
    gateway.activate_route(long_route(), small_engine());
    auto paused = std::make_shared<bool>(false);
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([paused](const auto& message) {
            if (is_order(message, "reserve") && !std::exchange(*paused, true))
            {
                // Blocks the only thread of the process, as a pause between the order and its confirmation does.
                std::this_thread::sleep_for(milliseconds{250});
            }
            return plain_response("200 OK", "answer");
        });
    }
    const auto answer = gateway.send_raw_request(long_request());
    CHECK(answer.find("answer") != std::string::npos);
    CHECK(request_count(gateway) == 1);
    // The request went out with a reservation that was made after the pause.
    CHECK(order_count(gateway, "reserve") >= 2);
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
}
