#include <algorithm>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "replay/replay.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

trace trace_named(const std::string& name)
{
    std::ifstream file(std::string(SOURCE_DIR) + "/tests/replay/traces/" + name + ".trace");
    REQUIRE(file.is_open());
    return read_trace(file);
}

}  // namespace

TEST_CASE("a recorded trace ends otherwise than the targets of the design page allow")
{
    const std::string name =
        GENERATE(as<std::string>{}, "drivers_morning", "court_session", "deferred_flood", "urgent_flood", "drain");
    CAPTURE(name);
    const trace recorded = trace_named(name);
    REQUIRE_FALSE(recorded.outcomes_.empty());
    const auto unmet = unmet_outcomes(recorded, left_out::nothing);
    CAPTURE(unmet);
    REQUIRE(unmet.empty());
}

TEST_CASE("the stated outcomes depend on the mechanisms; otherwise the traces would show nothing")
{
    const auto [name, mechanism, measure] = GENERATE(table<std::string, left_out, std::string>({
        {"drivers_morning", left_out::ranks, "first_token_p95"},
        {"court_session", left_out::placement, "slowdown"},
        {"deferred_flood", left_out::ranks, "slowdown"},
        {"urgent_flood", left_out::floors, "floor_kept"},
        {"urgent_flood", left_out::limits, "late"},
        {"drain", left_out::drains, "work_after_drain"},
    }));
    CAPTURE(name, measure);
    const std::string expected = measure;
    const auto unmet = unmet_outcomes(trace_named(name), mechanism);
    CAPTURE(unmet);
    REQUIRE(std::ranges::any_of(unmet, [&](const std::string& each) { return each.starts_with(expected); }));
}

TEST_CASE("a drain without waiting requests would not show that these are placed elsewhere")
{
    const replay_result result = replay(trace_named("drain"), left_out::nothing);
    const auto moved = std::ranges::count_if(result.requests_, [](const auto& each) { return each.attempts_ > 1; });
    CAPTURE(moved);
    REQUIRE(moved > 10);
}

TEST_CASE("a trace with a misspelt event or field is not read as a shorter trace")
{
    const std::string line =
        GENERATE(as<std::string>{}, "0 requests a urgent 1 1 1 1", "0 request a urgnt 1 1 1 1",
                 "0 request a urgent 1 1 1", "0 request a urgent 1 1 1 1 1", "0 every 0 10 a urgent 1 1 1 1", "x");
    std::istringstream input("# comment\n" + line + '\n');
    REQUIRE_THROWS_WITH(read_trace(input), Catch::Contains("line 2"));
}
