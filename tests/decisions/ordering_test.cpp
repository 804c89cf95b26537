#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

/// A hand-written parser: the text is the service's first model, and `bad` cannot be read. Counts its calls.
struct fake_parser
{
    int calls_ = 0;

    parse_function function()
    {
        return [this](const service_id& service, const std::string& text) -> parsed_policy {
            ++calls_;
            if (text == "bad")
            {
                throw version_error(303, "bad text");
            }
            if (service == fleet_service)
            {
                fleet_policy fleet;
                fleet.models_.emplace(model_id{text}, model_policy{model_id{text}, model_version{"1"}, {}});
                return fleet;
            }
            service_policy policy;
            policy.name_ = service;
            policy.models_ = {model_id{text}};
            return policy;
        };
    }
};

declaration_change change_of(const char* service, std::uint64_t base, const char* text)
{
    return {service_id{service}, log_offset{base}, text};
}

change_record record_of(const char* publication, std::vector<declaration_change> changes)
{
    return {publication_id{publication}, std::move(changes)};
}

std::string model_of(const configuration_state& state, const char* service)
{
    const auto found = state.active_config_->services_.find(service_id{service});
    return found == state.active_config_->services_.end() ? "" : found->second.models_.front().get();
}

/// The state that `parts` assemble to; version 0 when they are not complete.
full_state whole_of(const std::vector<snapshot_record>& parts)
{
    snapshot_assembly assembly;
    full_state whole;
    for (const auto& part : parts)
    {
        if (auto found = assemble(assembly, part))
        {
            whole = *found;
        }
    }
    return whole;
}

full_state whole_of(const configuration_state& state)
{
    return whole_of(make_snapshot(state, "s", byte_count{1'000'000}));
}

// Optional values stay out of the test cases, where clang-tidy's check of their access does not end.
bool completes(snapshot_assembly& assembly, const snapshot_record& part)
{
    return assemble(assembly, part).has_value();
}

/// The positions of the parts that complete a snapshot.
std::vector<std::size_t> completing(const std::vector<snapshot_record>& parts)
{
    snapshot_assembly assembly;
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < parts.size(); ++position)
    {
        if (completes(assembly, parts[position]))
        {
            positions.push_back(position);
        }
    }
    return positions;
}

}  // namespace

TEST_CASE("of two racing publishers exactly one wins")
{
    fake_parser parser;
    configuration_state state;
    const auto apply = [&](std::uint64_t offset, const change_record& record) {
        return apply_change(state, log_offset{offset}, record, parser.function());
    };
    REQUIRE(apply(1, record_of("p1", {change_of("a", 0, "m1")})).status_ == change_status::accepted);

    SECTION("the later record is void and is told the version that it lost to")
    {
        REQUIRE(apply(4, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::accepted);
        const auto late = apply(5, record_of("p3", {change_of("a", 1, "m3")}));
        REQUIRE(late.status_ == change_status::lost);
        REQUIRE(late.lost_to_ == configuration_version{4});
        REQUIRE(model_of(state, "a") == "m2");
        REQUIRE(state.active_config_->version_ == configuration_version{4});
    }
    SECTION("publishers of different services do not disturb one another")
    {
        REQUIRE(apply(2, record_of("p2", {change_of("b", 0, "m2")})).status_ == change_status::accepted);
        REQUIRE(apply(3, record_of("p3", {change_of("a", 1, "m3")})).status_ == change_status::accepted);
        REQUIRE(model_of(state, "b") == "m2");
    }
    SECTION("half a publication is never in force: one stale base voids all of its changes")
    {
        const auto half = apply(2, record_of("p2", {change_of("b", 0, "m2"), change_of("a", 0, "m2")}));
        REQUIRE(half.status_ == change_status::lost);
        REQUIRE(model_of(state, "a") == "m1");
        REQUIRE(model_of(state, "b").empty());
    }
    SECTION("a withdrawn service is declared again only on top of its withdrawal")
    {
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "")})).status_ == change_status::accepted);
        REQUIRE(model_of(state, "a").empty());
        REQUIRE(apply(3, record_of("p3", {change_of("a", 0, "m3")})).status_ == change_status::lost);
        REQUIRE(apply(4, record_of("p4", {change_of("a", 2, "m4")})).status_ == change_status::accepted);
    }
    SECTION("a replayed record changes nothing")
    {
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::accepted);
        const auto before = state.active_config_;
        REQUIRE(apply(1, record_of("p1", {change_of("a", 0, "m1")})).status_ == change_status::replayed);
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::replayed);
        REQUIRE(state.active_config_ == before);
    }
    SECTION("requests that hold the former version keep it")
    {
        const auto held = state.active_config_;
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::accepted);
        REQUIRE(held->services_.at(service_id{"a"}).models_.front() == model_id{"m1"});
    }
}

TEST_CASE("only changed declarations are parsed, so that a large fleet's control cost follows its changes")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{1}, record_of("p1", {change_of("a", 0, "m1"), change_of("b", 0, "m1")}),
                 parser.function());
    REQUIRE(parser.calls_ == 2);
    apply_change(state, log_offset{2}, record_of("p2", {change_of("a", 1, "m2")}), parser.function());
    REQUIRE(parser.calls_ == 3);

    configuration_state peer = state;
    apply_change(peer, log_offset{3}, record_of("p3", {change_of("b", 1, "m3")}), parser.function());
    REQUIRE(parser.calls_ == 4);
    REQUIRE(replace_if_newer(state, whole_of(peer), parser.function()));
    REQUIRE(parser.calls_ == 5);
    REQUIRE(model_of(state, "b") == "m3");
}

TEST_CASE("a declaration that this release cannot read is in force, and the policy read last stays in use")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{1}, record_of("p1", {change_of("a", 0, "m1")}), parser.function());
    // A verdict that depended on the release would let VMs disagree about every later base.
    REQUIRE(
        apply_change(state, log_offset{2}, record_of("p2", {change_of("a", 1, "bad")}), parser.function()).status_ ==
        change_status::accepted);
    REQUIRE(model_of(state, "a") == "m1");
    REQUIRE(state.parse_errors_.contains(service_id{"a"}));
    apply_change(state, log_offset{3}, record_of("p3", {change_of("a", 2, "m3")}), parser.function());
    REQUIRE(model_of(state, "a") == "m3");
    REQUIRE(state.parse_errors_.empty());
}

TEST_CASE("a peer's state is adopted only when it is higher")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{1}, record_of("p1", {change_of("a", 0, "m1")}), parser.function());
    const auto older = whole_of(state);
    apply_change(state, log_offset{2}, record_of("p2", {change_of("a", 1, "m2"), change_of("b", 0, "x")}),
                 parser.function());

    SECTION("a stale peer must not revert what is in force")
    {
        REQUIRE_FALSE(replace_if_newer(state, older, parser.function()));
        REQUIRE(model_of(state, "a") == "m2");
        REQUIRE(state.read_through_ == log_offset{2});
    }
    SECTION("the same version only tells how far the peer has read")
    {
        auto same = whole_of(state);
        same.read_through_ = log_offset{9};
        REQUIRE_FALSE(replace_if_newer(state, same, parser.function()));
        REQUIRE(state.read_through_ == log_offset{9});
    }
    SECTION("a higher state replaces all, and its records are not applied again")
    {
        configuration_state behind;
        REQUIRE(replace_if_newer(behind, older, parser.function()));
        REQUIRE(replace_if_newer(behind, whole_of(state), parser.function()));
        REQUIRE(behind.active_config_->declarations_.size() == 2);
        REQUIRE(apply_change(behind, log_offset{2}, record_of("p2", {change_of("a", 1, "m2")}), parser.function())
                    .status_ == change_status::replayed);
    }
    SECTION("a service that the higher state lacks is gone")
    {
        full_state without_a{configuration_version{5}, log_offset{5}, {{service_id{"b"}, "y", log_offset{5}}}};
        REQUIRE(replace_if_newer(state, without_a, parser.function()));
        REQUIRE(model_of(state, "a").empty());
        REQUIRE(model_of(state, "b") == "y");
    }
}

TEST_CASE("a publisher whose acknowledgement was lost finds its publication in the stream")
{
    fake_parser parser;
    configuration_state state;
    const auto first = record_of("mine", {change_of("a", 0, "m1")});
    const auto rival = record_of("rival", {change_of("a", 0, "m2")});
    const auto find = [&](std::vector<configuration_entry> entries) {
        return find_publication(state, entries, publication_id{"mine"}, parser.function());
    };

    SECTION("accepted, also when a repeated append put it there twice")
    {
        const auto result = find({{log_offset{1}, first}, {log_offset{2}, first}});
        REQUIRE(result.status_ == publication_status::accepted);
        REQUIRE(result.version_ == configuration_version{1});
    }
    SECTION("lost, with the version that won")
    {
        const auto result = find({{log_offset{3}, rival}, {log_offset{4}, first}});
        REQUIRE(result.status_ == publication_status::lost);
        REQUIRE(result.version_ == configuration_version{3});
    }
    SECTION("not found: the append had no effect so far")
    {
        REQUIRE(find({{log_offset{3}, rival}, {log_offset{4}, malformed_record{"x"}}}).status_ ==
                publication_status::not_found);
        REQUIRE(state.read_through_ == log_offset{4});
    }
}

TEST_CASE("a snapshot holds the whole state")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{1}, record_of("p1", {change_of("a", 0, "m1"), change_of("b", 0, "m2")}),
                 parser.function());
    apply_change(state, log_offset{2}, record_of("p2", {change_of("fleet", 0, "m3"), change_of("b", 1, "")}),
                 parser.function());
    state.read_through_ = log_offset{7};
    const auto parts = make_snapshot(state, "s", byte_count{1});
    REQUIRE(parts.size() == 3);

    SECTION("its parts give the same state in any order, withdrawals included")
    {
        configuration_state other;
        REQUIRE(replace_if_newer(other, whole_of({parts[2], parts[0], parts[0], parts[1]}), parser.function()));
        REQUIRE(model_of(other, "a") == "m1");
        REQUIRE(other.active_config_->fleet_.models_.contains(model_id{"m3"}));
        REQUIRE(other.active_config_->declarations_.at(service_id{"b"}).accepted_at_ == log_offset{2});
        REQUIRE(other.read_through_ == log_offset{7});
    }
    SECTION("parts of two snapshots are never mixed, also when two members append at the same time")
    {
        auto other = parts;
        std::ranges::for_each(other, [](snapshot_record& part) { part.snapshot_id_ = "other"; });
        REQUIRE(completing({parts[0], other[1], parts[2], other[0]}).empty());
        REQUIRE(completing({parts[0], other[1], parts[2], other[0], parts[1]}) == std::vector<std::size_t>{4});
        // Once a snapshot is complete, the parts of an older one are of no use.
        REQUIRE(completing({parts[0], other[1], parts[2], other[0], parts[1], other[2]}).size() == 1);
    }
    SECTION("a part that contradicts the others of its snapshot starts it anew")
    {
        auto contradicting = parts[1];
        contradicting.parts_ = 2;
        REQUIRE(completing({parts[0], contradicting}).empty());
    }
    SECTION("snapshots that are never completed do not fill the memory")
    {
        snapshot_assembly assembly;
        auto half = parts[0];
        for (int number = 0; number < 100; ++number)
        {
            half.snapshot_id_ = std::to_string(number);
            REQUIRE_FALSE(completes(assembly, half));
        }
        REQUIRE(assembly.snapshots_.size() <= max_open_snapshots);
    }
    SECTION("a reader whose next record is gone needs one")
    {
        REQUIRE(can_continue_reading(state, log_offset{8}));
        REQUIRE_FALSE(can_continue_reading(state, log_offset{9}));
    }
}

TEST_CASE("changes hold only what differs, on the bases in force")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{3}, record_of("p1", {change_of("a", 0, "m1"), change_of("b", 0, "m1")}),
                 parser.function());
    const auto changes = diff_declarations(*state.active_config_,
                                           {{service_id{"a"}, "m1"}, {service_id{"b"}, "m2"}, {service_id{"c"}, "m3"}});
    REQUIRE(changes.size() == 2);
    REQUIRE(changes[0].base_ == log_offset{3});
    REQUIRE(changes[1].base_ == log_offset{0});
}

TEST_CASE("readers agree whatever path they take to the same offset")
{
    // Random publishers with correct and stale bases; one reader applies all, one replays records, and one joins by a
    // peer's state at a random place.
    REQUIRE(rc::check([] {
        fake_parser parser;
        const auto parse = parser.function();
        configuration_state reader;
        configuration_state replaying;
        configuration_state joining;
        const auto join_at = *rc::gen::inRange<std::uint64_t>(1, 30);
        configuration_version highest;
        for (std::uint64_t offset = 1; offset <= 30; ++offset)
        {
            const auto service = std::to_string(*rc::gen::inRange(0, 3));
            const auto base = *rc::gen::element(std::uint64_t{0}, offset - 1, reader.active_config_->version_.get());
            const auto record = record_of("p", {change_of(service.c_str(), base, std::to_string(offset).c_str())});
            apply_change(reader, log_offset{offset}, record, parse);
            apply_change(replaying, log_offset{offset}, record, parse);
            apply_change(replaying, log_offset{*rc::gen::inRange<std::uint64_t>(1, offset + 1)}, record, parse);
            if (offset == join_at)
            {
                replace_if_newer(joining, whole_of(reader), parse);
            }
            else if (offset > join_at)
            {
                apply_change(joining, log_offset{offset}, record, parse);
            }
            RC_ASSERT(reader.active_config_->version_ >= highest);
            highest = reader.active_config_->version_;
        }
        const auto texts = [](const configuration_state& state) {
            std::vector<std::pair<log_offset, std::string>> all;
            std::ranges::transform(state.active_config_->declarations_, std::back_inserter(all), [](const auto& entry) {
                return std::pair(entry.second.accepted_at_, entry.second.text_);
            });
            return all;
        };
        RC_ASSERT(texts(reader) == texts(replaying));
        RC_ASSERT(texts(reader) == texts(joining));
        RC_ASSERT(reader.active_config_->version_ == joining.active_config_->version_);
    }));
}
