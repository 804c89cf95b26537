#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

waiting_order order_with(int priority, milliseconds due_in)
{
    waiting_order order;
    order.priority_ = priority;
    order.due_at_ = std::chrono::steady_clock::now() + due_in;
    return order;
}

task<> wait_once(gateway_state& state, waiting_order order, std::string name, std::vector<std::string>& woken)
{
    queue_place place(state.wait_queues_, service_id{"s"});
    co_await place.wait(state.executor_, order, milliseconds{60'000});
    woken.push_back(name);
}

}  // namespace

TEST_CASE("waiting requests are woken in their order when capacity changes, and none before")
{
    gateway_fixture gateway;
    std::vector<std::string> woken;
    spawn(gateway.state_.executor_, "late", wait_once(gateway.state_, order_with(2, milliseconds{5000}), "c", woken));
    spawn(gateway.state_.executor_, "urgent", wait_once(gateway.state_, order_with(0, milliseconds{9000}), "b", woken));
    spawn(gateway.state_.executor_, "first", wait_once(gateway.state_, order_with(0, milliseconds{8000}), "a", woken));
    gateway.io_.run_for(milliseconds{100});
    CHECK(woken.empty());
    notify_capacity_changed(gateway.state_.wait_queues_);
    REQUIRE(gateway.run_until([&woken] { return woken.size() == 3; }));
    CHECK(woken == std::vector<std::string>{"a", "b", "c"});
    CHECK(gateway.state_.wait_queues_.queues_[service_id{"s"}].waiting_.empty());
}

TEST_CASE("a request is behind a more urgent one of its size only until that one has looked for a place")
{
    gateway_fixture gateway;
    auto& queues = gateway.state_.wait_queues_;
    std::vector<std::string> woken;
    const auto wait_twice = [](gateway_state& state, waiting_order order, std::vector<std::string>& names) -> task<> {
        queue_place place(state.wait_queues_, service_id{"s"});
        co_await place.wait(state.executor_, order, milliseconds{60'000});
        names.emplace_back("looked");
        co_await place.wait(state.executor_, order, milliseconds{200});
    };
    spawn(gateway.state_.executor_, "urgent", wait_twice(gateway.state_, order_with(0, milliseconds{5000}), woken));
    gateway.io_.run_for(milliseconds{20});
    const queue_place place(queues, service_id{"s"});
    const auto now = std::chrono::steady_clock::now();
    const auto later = order_with(1, milliseconds{1000});
    notify_capacity_changed(queues);
    CHECK(place.is_behind(later, now));
    CHECK_FALSE(place.is_behind(order_with(0, milliseconds{100}), now));
    auto other_size = later;
    other_size.long_prompt_ = true;
    CHECK_FALSE(place.is_behind(other_size, now));
    REQUIRE(gateway.run_until([&woken] { return !woken.empty(); }));
    CHECK_FALSE(place.is_behind(later, now));
    REQUIRE(gateway.run_until([&queues] { return queues.queues_[service_id{"s"}].waiting_.empty(); }));
}
