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

namespace
{

/// A VM that has read the list of a log in its first era, with the servers `a`, `b` and `c`.
struct returning_list
{
    gateway_fixture gateway_;
    fake_operator_topic topic_;

    returning_list()
    {
        gateway_.state_.settings_.staleness_bound_ = milliseconds{600};
        topic_.era_ = log_era{1};
        topic_.add("a", "{}");
        topic_.add("b", "{}");
        topic_.add("c", "{}");
        follow(gateway_, topic_);
        REQUIRE(reads_to_end());
        REQUIRE(knows(gateway_, "c"));
    }

    bool reads_to_end()
    {
        return gateway_.run_until([this] {
            const auto& list = gateway_.state_.server_list_;
            return list.is_exact_ && list.next_ == at_offset(topic_.records_.size(), topic_.era_);
        });
    }

    /// Ends the time in which entries of the copy are doubted.
    void settle()
    {
        gateway_.state_.server_list_.return_->read_at_ -= std::chrono::seconds{60};
    }
};

}  // namespace

// Guards against the fault of review/12: a server that was removed after a return of the log got requests until it
// ended, because the removal stood at an offset below the known end.
TEST_CASE("a removal that is written after a return of the log from a copy is noticed")
{
    returning_list list;
    const bool outgrows_old_end = GENERATE(true, false);
    list.topic_.come_back(2);
    if (outgrows_old_end)
    {
        list.topic_.add("b", "{}");
        list.topic_.add("c", "{}");
    }
    list.topic_.add("a", "");
    REQUIRE(list.reads_to_end());
    REQUIRE(list.gateway_.run_until([&list] { return !knows(list.gateway_, "a"); }));
    CHECK(knows(list.gateway_, "b"));
}

// Guards against a server that has left and gets requests again, because the log came back from a copy that has its
// entry.
TEST_CASE("a server that was removed before a return of the log stays removed until the log says otherwise")
{
    returning_list list;
    list.topic_.add("a", "");
    REQUIRE(list.reads_to_end());
    REQUIRE_FALSE(knows(list.gateway_, "a"));
    list.topic_.come_back(3);
    REQUIRE(list.reads_to_end());
    CHECK_FALSE(knows(list.gateway_, "a"));
    CHECK(knows(list.gateway_, "b"));
    SECTION("by an entry that is written after the return")
    {
        list.topic_.add("a", "{}");
        REQUIRE(list.reads_to_end());
        CHECK(knows(list.gateway_, "a"));
    }
    SECTION("by a removal that is written again")
    {
        list.topic_.add("a", "");
        REQUIRE(list.reads_to_end());
        list.settle();
        const int reads_before = list.topic_.change_reads_;
        REQUIRE(list.gateway_.run_until([&] { return list.topic_.change_reads_ >= reads_before + 3; }));
        CHECK_FALSE(knows(list.gateway_, "a"));
    }
    SECTION("by an entry that does not expire, for which no write comes")
    {
        list.settle();
        CHECK(list.gateway_.run_until([&list] { return knows(list.gateway_, "a"); }));
    }
}

// Guards against a return of the log that takes servers away which are in the list again a moment later.
TEST_CASE("a server whose entry the copy lacks is used until the time in which it is written again has passed")
{
    returning_list list;
    list.topic_.come_back(2);
    const bool is_written_again = GENERATE(true, false);
    REQUIRE(list.reads_to_end());
    CHECK(knows(list.gateway_, "c"));
    if (is_written_again)
    {
        list.topic_.add("c", "{}");
        REQUIRE(list.reads_to_end());
        CHECK(list.gateway_.state_.server_list_.deferred_removals_.empty());
        CHECK(knows(list.gateway_, "c"));
    }
    else
    {
        CHECK(list.gateway_.run_until([&list] { return !knows(list.gateway_, "c"); }));
    }
}

// Guards against a server that is taken away within the grace period because the list was read twice; found by the
// model of histories (list_histories_test).
TEST_CASE("a server whose entry the copy lacks is kept when the full list is read again")
{
    returning_list list;
    auto& state = list.gateway_.state_;
    list.topic_.come_back(2);
    REQUIRE(list.reads_to_end());
    const auto end = state.server_list_.next_;
    server_list_change entry;
    entry.server_ = *decode_entry({"a", "{}", false, at_offset(0, log_era{2})});
    entry.at_ = at_offset(0, log_era{2});
    apply_full_list(state, {entry}, {server_id{"a"}, server_id{"b"}}, end, end);
    CHECK(knows(list.gateway_, "c"));
    CHECK(make_log_update(state).changes_.empty());
}

// Guards against a server that is ignored for good because its entry is the first record after a return from an empty
// copy.
TEST_CASE("servers that are written again after a return from an empty copy are used")
{
    returning_list list;
    list.topic_.come_back(0);
    REQUIRE(list.gateway_.run_until([&list] { return list.gateway_.state_.directory_.servers_.empty(); }));
    list.topic_.add("a", "{}");
    CHECK(list.gateway_.run_until([&list] { return knows(list.gateway_, "a"); }));
}

// Guards against an answer from before the return that brings back the old list.
TEST_CASE("a list that is of an earlier era of the log than the known one changes nothing")
{
    returning_list list;
    auto& state = list.gateway_.state_;
    list.topic_.come_back(2);
    list.topic_.add("a", "");
    REQUIRE(list.gateway_.run_until([&list] { return !knows(list.gateway_, "a"); }));
    server_list_change late;
    late.server_ = *decode_entry({"a", "{}", false, at_offset(7, log_era{1})});
    late.at_ = at_offset(7, log_era{1});
    apply_full_list(state, {late}, {server_id{"a"}}, at_offset(8, log_era{1}), at_offset(9, log_era{1}));
    apply_change(state, late);
    CHECK_FALSE(knows(list.gateway_, "a"));
    CHECK(knows(list.gateway_, "b"));
}
