#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

/// A fake parser that takes the text as the only model of the service, fails on the text `bad` and counts its calls.
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

/// Assembles a state from `parts`. Its version is 0 when parts are missing.
full_state full_state_of(const std::vector<snapshot_record>& parts)
{
    snapshot_assembly assembly;
    full_state full;
    for (const auto& part : parts)
    {
        if (auto found = assemble(assembly, part))
        {
            full = *found;
        }
    }
    return full;
}

full_state full_state_of(const configuration_state& state)
{
    return full_state_of(make_snapshot(state, "s", byte_count{1'000'000}));
}

// Accesses to std::optional are kept out of the test cases, where clang-tidy's check for them does not terminate.
bool completes(snapshot_assembly& assembly, const snapshot_record& part)
{
    return assemble(assembly, part).has_value();
}

/// Returns the indices of the parts that complete a snapshot.
std::vector<std::size_t> completing_positions(const std::vector<snapshot_record>& parts)
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

TEST_CASE("of two concurrent publications on the same base exactly one is accepted")
{
    fake_parser parser;
    configuration_state state;
    const auto apply = [&](std::uint64_t offset, const change_record& record) {
        return apply_change(state, log_offset{offset}, record, parser.function());
    };
    REQUIRE(apply(1, record_of("p1", {change_of("a", 0, "m1")})).status_ == change_status::accepted);

    SECTION("the later record is rejected with the version that it conflicts with")
    {
        REQUIRE(apply(4, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::accepted);
        const auto late = apply(5, record_of("p3", {change_of("a", 1, "m3")}));
        REQUIRE(late.status_ == change_status::rejected);
        REQUIRE(late.conflicting_version_ == configuration_version{4});
        REQUIRE(model_of(state, "a") == "m2");
        REQUIRE(state.active_config_->version_ == configuration_version{4});
    }
    SECTION("publications of different services do not conflict")
    {
        REQUIRE(apply(2, record_of("p2", {change_of("b", 0, "m2")})).status_ == change_status::accepted);
        REQUIRE(apply(3, record_of("p3", {change_of("a", 1, "m3")})).status_ == change_status::accepted);
        REQUIRE(model_of(state, "b") == "m2");
    }
    SECTION("a publication with one stale base is rejected as a whole")
    {
        // Otherwise one part of a publication would be active without the other.
        const auto partly_stale = apply(2, record_of("p2", {change_of("b", 0, "m2"), change_of("a", 0, "m2")}));
        REQUIRE(partly_stale.status_ == change_status::rejected);
        REQUIRE(model_of(state, "a") == "m1");
        REQUIRE(model_of(state, "b").empty());
    }
    SECTION("a withdrawn service is declared again only with its withdrawal as the base")
    {
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "")})).status_ == change_status::accepted);
        REQUIRE(model_of(state, "a").empty());
        REQUIRE(apply(3, record_of("p3", {change_of("a", 0, "m3")})).status_ == change_status::rejected);
        REQUIRE(apply(4, record_of("p4", {change_of("a", 2, "m4")})).status_ == change_status::accepted);
    }
    SECTION("a record that is applied again changes nothing")
    {
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::accepted);
        const auto before = state.active_config_;
        REQUIRE(apply(1, record_of("p1", {change_of("a", 0, "m1")})).status_ == change_status::already_applied);
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::already_applied);
        REQUIRE(state.active_config_ == before);
    }
    SECTION("a request that holds the previous version keeps it unchanged")
    {
        const auto held = state.active_config_;
        REQUIRE(apply(2, record_of("p2", {change_of("a", 1, "m2")})).status_ == change_status::accepted);
        REQUIRE(held->services_.at(service_id{"a"}).models_.front() == model_id{"m1"});
    }
}

TEST_CASE("only changed declarations are parsed, so that the cost of an update does not grow with the fleet")
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
    REQUIRE(replace_if_newer(state, full_state_of(peer), parser.function()));
    REQUIRE(parser.calls_ == 5);
    REQUIRE(model_of(state, "b") == "m3");
}

TEST_CASE("a declaration that cannot be parsed is accepted, and the last policy that could be parsed stays in use")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{1}, record_of("p1", {change_of("a", 0, "m1")}), parser.function());
    // If acceptance depended on the parser, VMs of different releases would disagree about all later bases.
    REQUIRE(
        apply_change(state, log_offset{2}, record_of("p2", {change_of("a", 1, "bad")}), parser.function()).status_ ==
        change_status::accepted);
    REQUIRE(model_of(state, "a") == "m1");
    REQUIRE(state.parse_errors_.contains(service_id{"a"}));
    apply_change(state, log_offset{3}, record_of("p3", {change_of("a", 2, "m3")}), parser.function());
    REQUIRE(model_of(state, "a") == "m3");
    REQUIRE(state.parse_errors_.empty());
}

TEST_CASE("a peer's state replaces the local one only when its version is higher")
{
    fake_parser parser;
    configuration_state state;
    apply_change(state, log_offset{1}, record_of("p1", {change_of("a", 0, "m1")}), parser.function());
    const auto older = full_state_of(state);
    apply_change(state, log_offset{2}, record_of("p2", {change_of("a", 1, "m2"), change_of("b", 0, "x")}),
                 parser.function());

    SECTION("a lower version does not revert the active configuration")
    {
        // A peer that lags behind sends such a state.
        REQUIRE_FALSE(replace_if_newer(state, older, parser.function()));
        REQUIRE(model_of(state, "a") == "m2");
        REQUIRE(state.read_through_ == log_offset{2});
    }
    SECTION("an equal version only advances the offset read")
    {
        auto same = full_state_of(state);
        same.read_through_ = log_offset{9};
        REQUIRE_FALSE(replace_if_newer(state, same, parser.function()));
        REQUIRE(state.read_through_ == log_offset{9});
    }
    SECTION("a higher version replaces the state, and records that it includes are not applied again")
    {
        configuration_state behind;
        REQUIRE(replace_if_newer(behind, older, parser.function()));
        REQUIRE(replace_if_newer(behind, full_state_of(state), parser.function()));
        REQUIRE(behind.active_config_->declarations_.size() == 2);
        REQUIRE(apply_change(behind, log_offset{2}, record_of("p2", {change_of("a", 1, "m2")}), parser.function())
                    .status_ == change_status::already_applied);
    }
    SECTION("a service that the higher version does not contain is removed")
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

    SECTION("accepted once, although a repeated append added it twice")
    {
        const auto result = find({{log_offset{1}, first}, {log_offset{2}, first}});
        REQUIRE(result.status_ == publication_status::accepted);
        REQUIRE(result.version_ == configuration_version{1});
    }
    SECTION("rejected, with the version that it conflicts with")
    {
        const auto result = find({{log_offset{3}, rival}, {log_offset{4}, first}});
        REQUIRE(result.status_ == publication_status::rejected);
        REQUIRE(result.version_ == configuration_version{3});
    }
    SECTION("not found when the append has had no effect so far")
    {
        REQUIRE(find({{log_offset{3}, rival}, {log_offset{4}, malformed_record{"x"}}}).status_ ==
                publication_status::not_found);
        REQUIRE(state.read_through_ == log_offset{4});
    }
}

TEST_CASE("a snapshot contains the full state")
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

    SECTION("parts in any order give the same state, including withdrawn services")
    {
        configuration_state other;
        REQUIRE(replace_if_newer(other, full_state_of({parts[2], parts[0], parts[0], parts[1]}), parser.function()));
        REQUIRE(model_of(other, "a") == "m1");
        REQUIRE(other.active_config_->fleet_.models_.contains(model_id{"m3"}));
        REQUIRE(other.active_config_->declarations_.at(service_id{"b"}).accepted_at_ == log_offset{2});
        REQUIRE(other.read_through_ == log_offset{7});
    }
    SECTION("parts of two snapshots appended at the same time are not mixed")
    {
        auto other = parts;
        std::ranges::for_each(other, [](snapshot_record& part) { part.snapshot_id_ = "other"; });
        REQUIRE(completing_positions({parts[0], other[1], parts[2], other[0]}).empty());
        REQUIRE(completing_positions({parts[0], other[1], parts[2], other[0], parts[1]}) ==
                std::vector<std::size_t>{4});
        // Once a snapshot is complete, the parts of snapshots that are no newer are discarded.
        REQUIRE(completing_positions({parts[0], other[1], parts[2], other[0], parts[1], other[2]}).size() == 1);
    }
    SECTION("a part that is inconsistent with the earlier parts of its snapshot replaces them")
    {
        auto contradicting = parts[1];
        contradicting.parts_ = 2;
        REQUIRE(completing_positions({parts[0], contradicting}).empty());
    }
    SECTION("the number of incomplete snapshots kept in memory is bounded")
    {
        // Otherwise snapshots that are never completed would fill the memory.
        snapshot_assembly assembly;
        auto incomplete = parts[0];
        for (int number = 0; number < 100; ++number)
        {
            incomplete.snapshot_id_ = std::to_string(number);
            REQUIRE_FALSE(completes(assembly, incomplete));
        }
        REQUIRE(assembly.snapshots_.size() <= max_incomplete_snapshots);
    }
    SECTION("a reader whose next record has been deleted cannot continue without a snapshot")
    {
        REQUIRE(can_continue_reading(state, log_offset{8}));
        REQUIRE_FALSE(can_continue_reading(state, log_offset{9}));
    }
}

TEST_CASE("the diff contains only the services that differ, with the active declarations as bases")
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

TEST_CASE("readers reach the same state at an offset whether by records, replayed records or a peer's state")
{
    // Random publications with current and stale bases. One reader applies each record once, one also applies earlier
    // records again, and one starts from a peer's state at a random offset.
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
                replace_if_newer(joining, full_state_of(reader), parse);
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
