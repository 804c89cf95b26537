#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "cornelstall/decisions.hpp"
#include "fixed_seed.hpp"

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

engine_state engine_of(const std::string& id, int running = 0)
{
    engine_state engine;
    engine.id_ = engine_id{id};
    engine.data_centre_ = home;
    engine.condition_ = engine_condition::ready;
    engine.load_.slots_ = 16;
    engine.load_.running_ = running;
    engine.load_.models_ = {{model_id{"m"}, model_version{"1"}, {}}};
    return engine;
}

engine_summary summary_of(const std::string& id, const std::string& owner, std::uint64_t revision)
{
    return {engine_of(id), vm_id{owner}, revision};
}

using replicated_state = std::map<std::string, std::tuple<std::uint64_t, int, std::string>>;

/// Returns the replicated content of a view, without data that only the local VM keeps.
replicated_state replicated_state_of(const fleet_view& view)
{
    replicated_state result;
    for (const auto& [id, record] : view.members_.members_)
    {
        result["member " + id.get()] = {record.member_.incarnation_.get(), static_cast<int>(record.member_.state_), ""};
    }
    for (const auto& [id, record] : view.engines_)
    {
        result["engine " + id.get()] = {record.summary_.revision_, 0, record.summary_.owner_.get()};
    }
    return result;
}

/// Performs one exchange. If the reply is lost, only the receiver's view is updated.
void exchange(fleet_view& from, fleet_view& to, std::map<std::pair<vm_id, vm_id>, peer_progress>& progress,
              bool reply_lost, const delta_limits& limits = {})
{
    const vm_id& sender = from.members_.self_.id_;
    const vm_id& receiver = to.members_.self_.id_;
    peer_progress& of_sender = progress[{sender, receiver}];
    peer_progress& of_receiver = progress[{receiver, sender}];
    const auto scope = exchange_scope::own_data_centre;
    static_cast<void>(apply_delta(to, of_receiver, make_delta(from, receiver, of_sender, scope, limits), scope, start));
    const exchange_delta reply = make_delta(to, sender, of_receiver, scope, limits);
    if (!reply_lost)
    {
        static_cast<void>(apply_delta(from, of_sender, reply, scope, start));
    }
}

}  // namespace

TEST_CASE("updates in any order produce the same view")
{
    REQUIRE(holds_with_seed(7101, "updates in any order produce the same view", [] {
        std::vector<member> members;
        std::vector<engine_summary> engines;
        for (int number = 0; number < 12; ++number)
        {
            members.push_back(member_of(*rc::gen::element<std::string>("b", "c"),
                                        *rc::gen::inRange<std::uint64_t>(1, 4),
                                        static_cast<member_state>(*rc::gen::inRange(0, 4))));
            engines.push_back(summary_of(*rc::gen::element<std::string>("e1", "e2"),
                                         *rc::gen::element<std::string>("a", "b", "c"),
                                         *rc::gen::inRange<std::uint64_t>(1, 6)));
        }
        const std::vector<member> live{member_of("a"), member_of("b"), member_of("c")};
        const auto apply_all = [&](std::uint64_t order) {
            std::mt19937_64 random(order);
            std::ranges::shuffle(members, random);
            std::ranges::shuffle(engines, random);
            fleet_view view = make_fleet_view(member_of("a"), start);
            for (const member& each : members)
            {
                apply(view.members_, each, start);
            }
            for (const engine_summary& each : engines)
            {
                apply(view.engines_, view.members_, live, each, start, vm_id{"b"});
            }
            return replicated_state_of(view);
        };
        RC_ASSERT(apply_all(*rc::gen::arbitrary<std::uint64_t>()) == apply_all(*rc::gen::arbitrary<std::uint64_t>()));
    }));
}

TEST_CASE("views converge with lost replies and small messages")
{
    REQUIRE(holds_with_seed(7102, "views converge with lost replies and small messages", [] {
        const std::vector<std::string> names{"a", "b", "c", "d"};
        std::vector<fleet_view> views;
        for (const std::string& name : names)
        {
            views.push_back(make_fleet_view(member_of(name), start));
            publish(views.back().engines_, views.back().members_, engine_of("engine-of-" + name), start);
        }
        std::map<std::pair<vm_id, vm_id>, peer_progress> progress;
        const delta_limits limits{*rc::gen::inRange<std::size_t>(1, 600), *rc::gen::inRange<std::size_t>(1, 600)};
        const int steps = *rc::gen::inRange(0, 30);
        for (int step = 0; step < steps; ++step)
        {
            const auto from = *rc::gen::inRange<std::size_t>(0, names.size());
            const auto to = (from + *rc::gen::inRange<std::size_t>(1, names.size())) % names.size();
            if (*rc::gen::inRange(0, 4) == 0)
            {
                mark_suspect(views[from].members_, views[to].members_.self_.id_, start);
            }
            exchange(views[from], views[to], progress, *rc::gen::inRange(0, 3) == 0, limits);
        }
        for (int round = 0; round < 40; ++round)
        {
            const auto from = static_cast<std::size_t>(round) % names.size();
            for (std::size_t offset = 1; offset < names.size(); ++offset)
            {
                exchange(views[from], views[(from + offset) % names.size()], progress, false, limits);
            }
        }
        RC_ASSERT(replicated_state_of(views[0]).size() == 2 * names.size());
        for (const fleet_view& view : views)
        {
            RC_ASSERT(replicated_state_of(view) == replicated_state_of(views[0]));
            for (const auto& [id, record] : view.members_.members_)
            {
                // A suspicion that is not refuted at every member would cause a working VM to be declared dead.
                RC_ASSERT(record.member_.state_ == member_state::alive);
            }
        }
    }));
}

TEST_CASE("a delta contains only changes that the peer has not acknowledged")
{
    fleet_view a = make_fleet_view(member_of("a"), start);
    fleet_view b = make_fleet_view(member_of("b"), start);
    std::map<std::pair<vm_id, vm_id>, peer_progress> progress;
    exchange(a, b, progress, false);
    exchange(a, b, progress, false);
    const auto scope = exchange_scope::own_data_centre;
    const peer_progress& of_b = progress[{vm_id{"a"}, vm_id{"b"}}];
    // The size of a message must not grow with the number of members.
    REQUIRE(make_delta(a, vm_id{"b"}, of_b, scope).members_.empty());

    SECTION("changes received from a peer are not sent back to it")
    {
        apply(a.members_, member_of("c"), start, vm_id{"b"});
        REQUIRE(make_delta(a, vm_id{"b"}, of_b, scope).members_.empty());
        REQUIRE(make_delta(a, vm_id{"d"}, {}, scope).members_.size() == 3);
    }
    SECTION("a peer known only by its address gets all records, including the sender's")
    {
        // The peer must at least learn which member has sent the message.
        REQUIRE(make_delta(a, vm_id{}, {}, scope).members_.size() == 2);
    }
    SECTION("a peer that was reported dead while unknown gets its own record, so that it can refute the report")
    {
        apply(a.members_, member_of("d", 3, member_state::dead), start, vm_id{"b"});
        const exchange_delta delta = make_delta(a, vm_id{"d"}, {}, scope);
        REQUIRE(std::ranges::count(delta.members_, vm_id{"d"}, &member::id_) == 1);
    }
    SECTION("an acknowledgement meant for an earlier process at the same address is ignored and hides no changes")
    {
        peer_progress fresh;
        exchange_delta delayed;
        delayed.sender_ = vm_id{"b"};
        delayed.acknowledged_ = a.members_.sequence_ + 1;
        static_cast<void>(apply_delta(a, fresh, delayed, scope, start));
        REQUIRE(fresh.acknowledged_ == 0);
    }
    SECTION("a peer that lost its state gets all records again")
    {
        peer_progress known = of_b;
        exchange_delta resync;
        resync.sender_ = vm_id{"b"};
        resync.full_sync_requested_ = true;
        apply(a.members_, member_of("c"), start, vm_id{"d"});
        static_cast<void>(apply_delta(a, known, resync, scope, start));
        REQUIRE(make_delta(a, vm_id{"b"}, known, scope).members_.size() == 2);
    }
    SECTION("a member reported by a third member gets the sender's own records and newer changes")
    {
        // Otherwise each pair of members would exchange the whole table after a join.
        const peer_progress reported_by_third_member{0, 0, a.members_.sequence_};
        apply(a.members_, member_of("c"), start, vm_id{"d"});
        const exchange_delta delta = make_delta(a, vm_id{"e"}, reported_by_third_member, scope);
        REQUIRE_FALSE(delta.full_sync_requested_);
        REQUIRE(delta.members_.size() == 2);
        REQUIRE(std::ranges::count(delta.members_, vm_id{"b"}, &member::id_) == 0);
    }
    SECTION("a peer in another data centre gets only summaries")
    {
        // The only member of a data centre is the author of its summary.
        fleet_view single = make_fleet_view(member_of("a"), start);
        publish(single.engines_, single.members_, engine_of("e"), start);
        REQUIRE(update_own_summary(single.data_centres_, single.members_, configuration_version{4}, {}, start));
        const exchange_delta delta = make_delta(single, vm_id{"far"}, {}, exchange_scope::other_data_centre);
        REQUIRE(delta.engines_.empty());
        REQUIRE(delta.data_centres_.size() == 1);
        // Only the first message contains the sender's record, from which the receiver gets the data centre.
        REQUIRE(delta.members_.size() == 1);
        const peer_progress later{single.members_.sequence_, 1};
        REQUIRE(make_delta(single, vm_id{"far"}, later, exchange_scope::other_data_centre).members_.empty());
    }
}

TEST_CASE("members and engines of another data centre are not added to the tables")
{
    fleet_view a = make_fleet_view(member_of("a"), start);
    exchange_delta delta;
    delta.sender_ = vm_id{"far"};
    delta.members_ = {member_of("far")};
    delta.members_.front().data_centre_ = data_centre_id{"elsewhere"};
    delta.engines_ = {summary_of("e", "far", 1)};
    delta.engines_.front().state_.data_centre_ = data_centre_id{"elsewhere"};
    peer_progress progress;
    const auto effect = apply_delta(a, progress, delta, exchange_scope::own_data_centre, start);
    REQUIRE_FALSE(effect.members_changed_);
    REQUIRE(a.members_.members_.size() == 1);
    REQUIRE(a.engines_.empty());
}

TEST_CASE("an owner publishes only significant changes")
{
    fleet_view view = make_fleet_view(member_of("a"), start);
    REQUIRE(publish(view.engines_, view.members_, engine_of("e", 4), start));
    REQUIRE_FALSE(publish(view.engines_, view.members_, engine_of("e", 6), start + 1s));
    REQUIRE_FALSE(publish(view.engines_, view.members_, engine_of("e", 9), start + 1ms));
    REQUIRE(publish(view.engines_, view.members_, engine_of("e", 9), start + 1s));
    REQUIRE(publish(view.engines_, view.members_, engine_of("e", 9), start + 1s + engine_refresh_interval));

    engine_state draining = engine_of("e", 9);
    draining.condition_ = engine_condition::draining;
    // A drain is published without waiting for the interval; otherwise the engine would get new requests.
    REQUIRE(publish(view.engines_, view.members_, draining, start + 1s + engine_refresh_interval));
}

TEST_CASE("receivers forward changes of an engine's condition but not of its load")
{
    fleet_view view = make_fleet_view(member_of("a"), start);
    const std::vector<member> live{member_of("a"), member_of("b")};
    engine_summary summary = summary_of("e", "b", 1);
    REQUIRE(apply(view.engines_, view.members_, live, summary, start, vm_id{"b"}));
    const std::uint64_t first = view.engines_.at(engine_id{"e"}).change_sequence_;

    summary.revision_ = 2;
    summary.state_.load_.running_ = 16;
    REQUIRE(apply(view.engines_, view.members_, live, summary, start, vm_id{"b"}));
    REQUIRE(view.engines_.at(engine_id{"e"}).change_sequence_ == first);

    summary.revision_ = 3;
    summary.state_.condition_ = engine_condition::draining;
    REQUIRE(apply(view.engines_, view.members_, live, summary, start, vm_id{"b"}));
    REQUIRE(view.engines_.at(engine_id{"e"}).change_sequence_ > first);
    REQUIRE_FALSE(apply(view.engines_, view.members_, live, summary_of("e", "b", 2), start, vm_id{"b"}));
}

TEST_CASE("the current owner's summary replaces a former owner's, regardless of the revisions")
{
    fleet_view view = make_fleet_view(member_of("a"), start);
    const std::vector<member> live{member_of("a"), member_of("b")};
    const std::string current = find_engine_owner(engine_id{"e"}, live).value_or(vm_id{}).get();
    REQUIRE_FALSE(current.empty());
    const std::string former = current == "a" ? "b" : "a";
    REQUIRE(apply(view.engines_, view.members_, live, summary_of("e", former, 9), start, vm_id{"b"}));
    REQUIRE(apply(view.engines_, view.members_, live, summary_of("e", current, 2), start, vm_id{"b"}));
    // Otherwise a former owner that was partitioned would hide the state of the engine.
    REQUIRE_FALSE(apply(view.engines_, view.members_, live, summary_of("e", former, 10), start, vm_id{"b"}));
}

TEST_CASE("three members exchange with another data centre, and its newest summary is used until it is too old")
{
    fleet_view view = make_fleet_view(member_of("vm-0"), start);
    for (int number = 1; number < 8; ++number)
    {
        apply(view.members_, member_of("vm-" + std::to_string(number)), start);
    }
    const std::vector<member> live = live_members(view.members_, home);
    data_centre_summary far{data_centre_id{"far"}, vm_id{"x"}, 5, configuration_version{1}, {}, {}};
    for (const char* id : {"x", "y", "z"})
    {
        far.contacts_.push_back({vm_id{id}, socket_address{"10.1.0.1:7000"}});
    }
    const auto exchanging_members = std::ranges::count_if(live, [&](const member& each) {
        const auto contacts = select_remote_contacts(each.id_, live, far);
        return contacts.size() == remote_contacts_per_member;
    });
    REQUIRE(exchanging_members == contacts_per_data_centre);

    data_centre_table& table = view.data_centres_;
    far.capacity_ = {{model_id{"m"}, 2, 32, 8, token_rate{1000}}};
    REQUIRE(apply(table, view.members_, far, start, vm_id{"x"}, true));
    far.revision_ = 4;
    REQUIRE_FALSE(apply(table, view.members_, far, start, vm_id{"y"}, true));
    REQUIRE(data_centres_with_capacity(table, home, model_id{"m"}, start).size() == 1);
    REQUIRE(data_centres_with_capacity(table, home, model_id{"other"}, start).empty());
    // Otherwise requests would be sent to a data centre that cannot be reached.
    REQUIRE(data_centres_with_capacity(table, home, model_id{"m"}, start + max_summary_age + 1ms).empty());
}

TEST_CASE("the message rate of a VM does not depend on the number of peers")
{
    const exchange_timing timing;
    REQUIRE(exchange_interval(timing, 1, 0.5) == 250ms);
    REQUIRE(exchange_interval(timing, 150, 0.5) == 150 * exchange_interval(timing, 1, 0.5));
    REQUIRE(exchange_interval(timing, 8, 0.0) < exchange_interval(timing, 8, 0.999));
}
