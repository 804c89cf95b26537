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

TEST_CASE("replaying a recorded trace meets its expected outcomes")
{
    const std::string name =
        GENERATE(as<std::string>{}, "drivers_morning", "court_session", "deferred_flood", "urgent_flood", "drain");
    CAPTURE(name);
    const trace recorded = trace_named(name);
    REQUIRE_FALSE(recorded.outcomes_.empty());
    const auto unmet = unmet_outcomes(recorded, disabled_mechanism::none);
    CAPTURE(unmet);
    REQUIRE(unmet.empty());
}

// Shows that the traces detect a missing mechanism.
TEST_CASE("disabling a mechanism violates the outcome that depends on it")
{
    const auto [name, mechanism, measure] = GENERATE(table<std::string, disabled_mechanism, std::string>({
        {"drivers_morning", disabled_mechanism::ranks, "first_token_p95"},
        {"court_session", disabled_mechanism::placement, "slowdown"},
        {"deferred_flood", disabled_mechanism::ranks, "slowdown"},
        {"urgent_flood", disabled_mechanism::floors, "floor_kept"},
        {"urgent_flood", disabled_mechanism::limits, "late"},
        {"drain", disabled_mechanism::drains, "work_after_drain"},
    }));
    CAPTURE(name, measure);
    const std::string expected = measure;
    const auto unmet = unmet_outcomes(trace_named(name), mechanism);
    CAPTURE(unmet);
    REQUIRE(std::ranges::any_of(unmet, [&](const std::string& each) { return each.starts_with(expected); }));
}

TEST_CASE("a drain moves queued requests to other engines")
{
    const replay_result result = replay(trace_named("drain"), disabled_mechanism::none);
    const auto moved = std::ranges::count_if(result.requests_, [](const auto& each) { return each.attempts_ > 1; });
    // If no request were queued when the drain starts, the trace would not test this.
    CAPTURE(moved);
    REQUIRE(moved > 10);
}

TEST_CASE("a malformed trace line is rejected with its line number")
{
    // If a misspelt line were skipped, the trace would test less than it states.
    const std::string line =
        GENERATE(as<std::string>{}, "0 requests a urgent 1 1 1 1", "0 request a urgnt 1 1 1 1",
                 "0 request a urgent 1 1 1", "0 request a urgent 1 1 1 1 1", "0 every 0 10 a urgent 1 1 1 1", "x");
    std::istringstream input("# comment\n" + line + '\n');
    REQUIRE_THROWS_WITH(read_trace(input), Catch::Contains("line 2"));
}
