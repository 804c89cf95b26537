#include <catch2/catch.hpp>

#include "gateway/fake_topic.hpp"
#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

std::optional<listed_server> decode_entry(const keyed_record& record)
{
    listed_server server;
    server.id_ = server_id{record.key_};
    server.service_ = service_id{"s"};
    server.address_ = socket_address{"127.0.0.1:9"};
    return server;
}

void follow(gateway_fixture& gateway, fake_operator_topic& topic)
{
    gateway.state_.server_list_.listed_ = false;
    spawn(gateway.state_.executor_, "follow_servers", follow_servers(gateway.state_, open(topic), decode_entry));
}

bool knows(const gateway_fixture& gateway, const std::string& id)
{
    return gateway.state_.directory_.servers_.contains(server_id{id});
}

/// A VM that has known the server `a` for a while and has read the list a moment ago.
void read_list_of_a(gateway_state& state)
{
    server_list_change entry;
    entry.server_ = *decode_entry({"a", "{}", false, at_offset(0)});
    apply_change(state, entry);
    confirm_list_read(state, at_offset(1), boot_time() - milliseconds{300});
}

server_list_change removal_of_a()
{
    server_list_change removal;
    removal.server_.id_ = server_id{"a"};
    removal.removed_ = true;
    removal.at_ = at_offset(1);
    return removal;
}

}  // namespace

// Guards against a VM that takes the first read after its own start for the end of an outage of the log.
TEST_CASE("a VM that starts does not make the others keep a server that is removed")
{
    gateway_fixture starting;
    gateway_fixture other;
    fake_operator_topic topic;
    topic.add("a", "{}");
    follow(starting, topic);
    REQUIRE(starting.run_until([&starting] { return knows(starting, "a"); }));
    read_list_of_a(other.state_);
    apply_log_update(other.state_, make_log_update(starting.state_), {});
    apply_change(other.state_, removal_of_a());
    CHECK_FALSE(knows(other, "a"));
}

// Guards against a VM that takes the end of its own cut for the end of an outage of the log, as it did after 2.5 s.
TEST_CASE("a VM that was cut off makes nobody keep a server that is removed, once it hears of the others' reads")
{
    gateway_fixture returning;
    gateway_fixture other;
    fake_operator_topic topic;
    topic.add("a", "{}");
    follow(returning, topic);
    REQUIRE(returning.run_until([&returning] { return knows(returning, "a"); }));
    topic.reachable_ = false;
    auto& state = returning.state_;
    REQUIRE(returning.run_until([&state] { return !state.server_list_reachable_; }));
    const auto cut_at = boot_time() - std::chrono::seconds{10};
    state.server_list_.confirmed_at_ = cut_at;
    state.server_list_.reads_ = {cut_at, cut_at, false};
    topic.reachable_ = true;
    REQUIRE(returning.run_until([&state] { return state.server_list_reachable_; }));
    read_list_of_a(other.state_);
    other.state_.server_list_.reads_.since_ -= std::chrono::seconds{20};
    apply_log_update(other.state_, make_log_update(state), {});
    apply_change(other.state_, removal_of_a());
    CHECK_FALSE(knows(other, "a"));
    apply_change(state, removal_of_a());
    CHECK(knows(returning, "a"));
    apply_log_update(state, make_log_update(other.state_), {});
    CHECK_FALSE(knows(returning, "a"));
}

// Guards against a VM that takes the servers in the missing part of a read for removed.
TEST_CASE("a partial read of the server list removes no server")
{
    gateway_fixture gateway;
    fake_operator_topic topic;
    topic.add("a", "{}");
    topic.add("b", "{}");
    follow(gateway, topic);
    REQUIRE(gateway.run_until([&gateway] { return knows(gateway, "a") && knows(gateway, "b"); }));
    topic.add("c", "{}");
    topic.first_ = topic.records_.size();
    topic.hidden_ = 2;
    const int reads_before = topic.newest_reads_;
    REQUIRE(gateway.run_until([&] { return topic.newest_reads_ >= reads_before + 2; }));
    CHECK(knows(gateway, "b"));
    topic.hidden_ = 0;
    REQUIRE(gateway.run_until([&gateway] { return knows(gateway, "c"); }));
    CHECK(gateway.state_.directory_.servers_.size() == 3);
}

// Guards against a VM that reads on behind discarded records and keeps a server that was removed by one of them.
TEST_CASE("a removal of a server that the log has discarded is noticed")
{
    gateway_fixture gateway;
    fake_operator_topic topic;
    topic.add("a", "{}");
    topic.add("b", "{}");
    follow(gateway, topic);
    REQUIRE(gateway.run_until([&gateway] { return knows(gateway, "a") && knows(gateway, "b"); }));
    topic.add("a", "");
    topic.add("c", "{}");
    topic.first_ = topic.records_.size() - 1;
    REQUIRE(gateway.run_until([&gateway] { return knows(gateway, "c"); }));
    CHECK(gateway.run_until([&gateway] { return !knows(gateway, "a"); }));
}

// Guards against a VM that takes a page that ends before the end of the log for the whole log.
TEST_CASE("a read that does not reach the end of the log does not confirm the server list")
{
    gateway_fixture gateway;
    fake_operator_topic topic;
    topic.add("a", "{}");
    follow(gateway, topic);
    auto& list = gateway.state_.server_list_;
    REQUIRE(gateway.run_until([&list] { return list.next_ == at_offset(1); }));
    topic.add("b", "{}");
    topic.add("c", "{}");
    topic.add("b", "");
    const auto confirmed_before = list.confirmed_at_;
    REQUIRE(gateway.run_until([&list] { return list.next_ == at_offset(2); }));
    CHECK(list.confirmed_at_ == confirmed_before);
    REQUIRE(gateway.run_until([&list] { return list.next_ == at_offset(4); }));
    CHECK(list.confirmed_at_ > confirmed_before);
    CHECK(gateway.run_until([&gateway] { return !knows(gateway, "b"); }));
}
