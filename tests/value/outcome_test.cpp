#include <algorithm>

#include <catch2/catch.hpp>

#include "cornelstall/value.hpp"

using namespace cornelstall;

TEST_CASE("names of ranks and outcomes survive a round trip")
{
    SECTION("a rank added without a name would be sent as 'invalid' and refused by its receiver")
    {
        REQUIRE(std::ranges::all_of(all_ranks, [](rank which) { return parse_rank(to_string(which)) == which; }));
    }
    SECTION("an outcome read back as another one would tell a caller that a call did not run")
    {
        REQUIRE(parse_outcome(to_string(outcome::ran)) == outcome::ran);
        REQUIRE(parse_outcome(to_string(outcome::did_not_run)) == outcome::did_not_run);
        REQUIRE(parse_outcome(to_string(outcome::unknown)) == outcome::unknown);
    }
}

TEST_CASE("an unknown rank is refused with the valid names")
{
    REQUIRE_THROWS_WITH(parse_rank("soon"), Catch::Contains("use urgent, standard or deferred"));
}

TEST_CASE("the duration of work at no rate never ends, so admission refuses it")
{
    REQUIRE(duration_of(token_count{10}, token_rate{0.0}) == milliseconds::max());
    REQUIRE(duration_of(token_count{0}, token_rate{0.0}) == milliseconds{0});
    REQUIRE(duration_of(token_count{1000}, token_rate{2000.0}) >= milliseconds{500});
}
