#include <algorithm>
#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using namespace std::chrono_literals;

namespace
{

const data_centre_id home{"home"};
const time_point start{};

member member_of(const std::string& id, std::uint64_t incarnation_number = 1, member_state state = member_state::alive)
{
    return {vm_id{id}, socket_address{"10.0.0.1:7000"}, home, incarnation{incarnation_number}, state};
}

membership_table table_of_three()
{
    membership_table table = make_membership(member_of("a"), start);
    apply(table, member_of("b"), start);
    apply(table, member_of("c"), start);
    return table;
}

member_state state_of(const membership_table& table, const std::string& id)
{
    return table.members_.at(vm_id{id}).member_.state_;
}

}  // namespace

TEST_CASE("a stale update does not revive a dead member")
{
    membership_table table = table_of_three();
    REQUIRE(mark_suspect(table, vm_id{"b"}, start));
    REQUIRE(expire_members(table, start + suspicion_timeout - 1ms).empty());
    const auto died = expire_members(table, start + suspicion_timeout);
    REQUIRE(died.size() == 1);
    REQUIRE(died.front().id_ == vm_id{"b"});

    SECTION("an update with the same incarnation, sent by a member without the death report, is ignored")
    {
        REQUIRE_FALSE(apply(table, member_of("b"), start + 2s));
        REQUIRE_FALSE(apply(table, member_of("b", 1, member_state::suspect), start + 2s));
        REQUIRE_FALSE(is_present(table, vm_id{"b"}));
    }
    SECTION("an update with a higher incarnation, which only the member itself can create, revives it")
    {
        // Such an update comes from a member that was partitioned and is reachable again.
        REQUIRE(apply(table, member_of("b", 2), start + 2s));
        REQUIRE(is_present(table, vm_id{"b"}));
    }
    SECTION("a dead member is removed after the retention period, not earlier")
    {
        // If it were removed earlier, a late update could add it again. If it were never removed, the table would keep
        // growing.
        const time_point died_at = start + suspicion_timeout;
        REQUIRE(expire_members(table, died_at + dead_member_retention - 1ms).empty());
        REQUIRE(table.members_.contains(vm_id{"b"}));
        REQUIRE(expire_members(table, died_at + dead_member_retention).empty());
        REQUIRE_FALSE(table.members_.contains(vm_id{"b"}));
    }
}

TEST_CASE("the death of an unknown member is stored but not forwarded")
{
    membership_table table = table_of_three();
    const std::uint64_t before = table.sequence_;
    REQUIRE(apply(table, member_of("gone", 1, member_state::dead), start));
    REQUIRE_FALSE(apply(table, member_of("gone"), start));
    REQUIRE_FALSE(is_present(table, vm_id{"gone"}));
    // Otherwise members would send it to each other indefinitely and never remove it.
    REQUIRE(changes_since(table, before).empty());
}

TEST_CASE("a member refutes reports that it is suspect, leaving or dead")
{
    membership_table table = table_of_three();
    const auto reported_state = GENERATE(member_state::suspect, member_state::leaving, member_state::dead);
    REQUIRE(apply(table, member_of("a", 4, reported_state), start));
    REQUIRE(table.self_.incarnation_ == incarnation{5});
    REQUIRE(state_of(table, "a") == member_state::alive);
    REQUIRE_FALSE(apply(table, member_of("a", 4, reported_state), start));

    // A member that ignored the refutation would stop sending requests to a working VM.
    membership_table other = make_membership(member_of("b"), start);
    apply(other, member_of("a", 4, reported_state), start);
    REQUIRE(apply(other, table.self_, start));
    REQUIRE(state_of(other, "a") == member_state::alive);
}

// Otherwise a working member would be declared dead.
TEST_CASE("a refuted suspicion does not time out")
{
    membership_table table = table_of_three();
    mark_suspect(table, vm_id{"b"}, start);
    REQUIRE(apply(table, member_of("b", 2), start + 1s));
    REQUIRE(expire_members(table, start + 10s).empty());
}

TEST_CASE("a leaving member is no candidate for ownership and does not become suspect")
{
    membership_table table = table_of_three();
    apply(table, member_of("b", 1, member_state::leaving), start);
    REQUIRE(is_present(table, vm_id{"b"}));
    const auto live = live_members(table, home);
    REQUIRE(std::ranges::none_of(live, [](const member& each) { return each.id_ == vm_id{"b"}; }));

    SECTION("a suspicion is ignored, because suspect members can own engines")
    {
        REQUIRE_FALSE(mark_suspect(table, vm_id{"b"}, start));
        REQUIRE_FALSE(apply(table, member_of("b", 1, member_state::suspect), start));
        REQUIRE(state_of(table, "b") == member_state::leaving);
    }
    SECTION("an unreachable leaving member is declared dead, so that its grants are released")
    {
        mark_unreachable(table, vm_id{"b"}, start);
        mark_unreachable(table, vm_id{"b"}, start + 1s);
        REQUIRE(expire_members(table, start + suspicion_timeout).size() == 1);
    }
    SECTION("a leaving member that is reachable again is not declared dead")
    {
        // Such a member still finishes its streams.
        mark_unreachable(table, vm_id{"b"}, start);
        mark_reachable(table, vm_id{"b"});
        REQUIRE(expire_members(table, start + 10s).empty());
    }
    SECTION("leaving is announced once and kept when a suspicion is refuted")
    {
        leave(table, start);
        const std::uint64_t sequence = table.sequence_;
        leave(table, start + 1s);
        REQUIRE(table.sequence_ == sequence);
        apply(table, member_of("a", 1, member_state::dead), start);
        REQUIRE(state_of(table, "a") == member_state::leaving);
        REQUIRE(live_members(table, home).size() == 1);
    }
}

TEST_CASE("when a member dies, only the engines that it owned change their owner")
{
    std::vector<member> members(9);
    std::ranges::generate(members, [number = 0]() mutable { return member_of("vm-" + std::to_string(number++)); });
    std::vector<member> survivors = members;
    survivors.erase(survivors.begin() + 4);

    std::map<vm_id, int> owned;
    for (int number = 0; number < 900; ++number)
    {
        const std::string engine = "engine-" + std::to_string(number);
        const vm_id before = rendezvous_owner(engine, members).value_or(vm_id{});
        const vm_id after = rendezvous_owner(engine, survivors).value_or(vm_id{});
        REQUIRE_FALSE(before.empty());
        ++owned[before];
        REQUIRE((before == after || before == members[4].id_));
        // The owner and its successor have the highest and second highest score.
        const auto best = highest_scoring_members(engine, members, 2);
        REQUIRE(best[0].id_ == before);
        REQUIRE(after == (before == members[4].id_ ? best[1].id_ : before));
    }
    // An uneven distribution would overload one VM. The expected number of engines per VM is 100, with a standard
    // deviation of about 9.4.
    REQUIRE(owned.size() == members.size());
    REQUIRE(std::ranges::all_of(owned, [](const auto& entry) { return entry.second > 50 && entry.second < 150; }));
    REQUIRE_FALSE(rendezvous_owner("engine", {}).has_value());
}
