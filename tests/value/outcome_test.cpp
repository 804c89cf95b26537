#include <algorithm>

#include <catch2/catch.hpp>

#include "cornelstall/value.hpp"

using namespace cornelstall;

TEST_CASE("ranks and outcomes are unchanged after conversion to text and back")
{
    SECTION("every rank has a name; without one it would be sent as 'invalid' and rejected by the receiver")
    {
        REQUIRE(std::ranges::all_of(all_ranks, [](rank which) { return parse_rank(to_string(which)) == which; }));
    }
    SECTION("every outcome is parsed as itself; otherwise a caller could be told that an executed call did not run")
    {
        REQUIRE(parse_outcome(to_string(outcome::ran)) == outcome::ran);
        REQUIRE(parse_outcome(to_string(outcome::did_not_run)) == outcome::did_not_run);
        REQUIRE(parse_outcome(to_string(outcome::unknown)) == outcome::unknown);
    }
}

TEST_CASE("an unknown rank is rejected with a message that lists the valid names")
{
    REQUIRE_THROWS_WITH(parse_rank("soon"), Catch::Contains("use urgent, standard or deferred"));
}

TEST_CASE("the duration at a rate of zero is the maximum, so that admission refuses the request")
{
    REQUIRE(duration_of(token_count{10}, token_rate{0.0}) == milliseconds::max());
    REQUIRE(duration_of(token_count{0}, token_rate{0.0}) == milliseconds{0});
    REQUIRE(duration_of(token_count{1000}, token_rate{2000.0}) >= milliseconds{500});
}
