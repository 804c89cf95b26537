#include <algorithm>
#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using namespace std::chrono_literals;

namespace
{

const data_centre_id home{"home"};
const time_point start{};

member member_of(const std::string& id, std::uint64_t number = 1, member_state state = member_state::alive)
{
    return {vm_id{id}, socket_address{"10.0.0.1:7000"}, home, incarnation{number}, state};
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

TEST_CASE("stale news does not revive a dead member")
{
    membership_table table = table_of_three();
    REQUIRE(suspect(table, vm_id{"b"}, start));
    REQUIRE(expire_members(table, start + suspicion_timeout - 1ms).empty());
    const auto died = expire_members(table, start + suspicion_timeout);
    REQUIRE(died.size() == 1);
    REQUIRE(died.front().id_ == vm_id{"b"});

    SECTION("news of the same incarnation, which members that have not heard of the death still send")
    {
        REQUIRE_FALSE(apply(table, member_of("b"), start + 2s));
        REQUIRE_FALSE(apply(table, member_of("b", 1, member_state::suspect), start + 2s));
        REQUIRE_FALSE(is_present(table, vm_id{"b"}));
    }
    SECTION("a higher incarnation comes from the member itself, which was cut off and is back")
    {
        REQUIRE(apply(table, member_of("b", 2), start + 2s));
        REQUIRE(is_present(table, vm_id{"b"}));
    }
    SECTION("a dead member must not stay in the table for ever, nor go while late news may arrive")
    {
        const time_point died_at = start + suspicion_timeout;
        REQUIRE(expire_members(table, died_at + dead_member_retention - 1ms).empty());
        REQUIRE(table.members_.contains(vm_id{"b"}));
        REQUIRE(expire_members(table, died_at + dead_member_retention).empty());
        REQUIRE_FALSE(table.members_.contains(vm_id{"b"}));
    }
}

TEST_CASE("the death of an unknown member is kept but not passed on")
{
    membership_table table = table_of_three();
    const std::uint64_t before = table.sequence_;
    REQUIRE(apply(table, member_of("gone", 1, member_state::dead), start));
    REQUIRE_FALSE(apply(table, member_of("gone"), start));
    REQUIRE_FALSE(is_present(table, vm_id{"gone"}));
    // Members that pass it on to each other would keep it in their tables without end.
    REQUIRE(changes_since(table, before).empty());
}

TEST_CASE("a member refutes what others say about it")
{
    membership_table table = table_of_three();
    const auto verdict = GENERATE(member_state::suspect, member_state::leaving, member_state::dead);
    REQUIRE(apply(table, member_of("a", 4, verdict), start));
    REQUIRE(table.self_.incarnation_ == incarnation{5});
    REQUIRE(state_of(table, "a") == member_state::alive);
    REQUIRE_FALSE(apply(table, member_of("a", 4, verdict), start));

    // A member that does not believe the refutation would stop sending work to a live VM.
    membership_table other = make_membership(member_of("b"), start);
    apply(other, member_of("a", 4, verdict), start);
    REQUIRE(apply(other, table.self_, start));
    REQUIRE(state_of(other, "a") == member_state::alive);
}

TEST_CASE("a refuted suspicion does not end in death")
{
    membership_table table = table_of_three();
    suspect(table, vm_id{"b"}, start);
    REQUIRE(apply(table, member_of("b", 2), start + 1s));
    REQUIRE(expire_members(table, start + 10s).empty());
}

TEST_CASE("leaving members own nothing and are not suspected")
{
    membership_table table = table_of_three();
    apply(table, member_of("b", 1, member_state::leaving), start);
    REQUIRE(is_present(table, vm_id{"b"}));
    const auto live = live_members(table, home);
    REQUIRE(std::ranges::none_of(live, [](const member& each) { return each.id_ == vm_id{"b"}; }));

    SECTION("a suspicion would make it a candidate for ownership again")
    {
        REQUIRE_FALSE(suspect(table, vm_id{"b"}, start));
        REQUIRE_FALSE(apply(table, member_of("b", 1, member_state::suspect), start));
        REQUIRE(state_of(table, "b") == member_state::leaving);
    }
    SECTION("it is dead after it stayed unreachable; grants held for it would stay otherwise")
    {
        mark_unreachable(table, vm_id{"b"}, start);
        mark_unreachable(table, vm_id{"b"}, start + 1s);
        REQUIRE(expire_members(table, start + suspicion_timeout).size() == 1);
    }
    SECTION("one that answers again still finishes its streams")
    {
        mark_unreachable(table, vm_id{"b"}, start);
        mark_reachable(table, vm_id{"b"});
        REQUIRE(expire_members(table, start + 10s).empty());
    }
    SECTION("this VM says so once, and stays leaving when it refutes a suspicion")
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

TEST_CASE("ownership moves only for the engines of the member that died")
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
        // The owner, and the member that takes over, are the first and second in rendezvous order.
        const auto best = highest_scoring_members(engine, members, 2);
        REQUIRE(best[0].id_ == before);
        REQUIRE(after == (before == members[4].id_ ? best[1].id_ : before));
    }
    // An uneven spread would overload one VM: 100 engines each are expected, with a standard deviation of about 9.4.
    REQUIRE(owned.size() == members.size());
    REQUIRE(std::ranges::all_of(owned, [](const auto& entry) { return entry.second > 50 && entry.second < 150; }));
    REQUIRE_FALSE(rendezvous_owner("engine", {}).has_value());
}
