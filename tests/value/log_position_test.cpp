#include <catch2/catch.hpp>

#include <concepts>

#include "cornelstall/value.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

// An offset alone says nothing about the order of records: a log that comes back from a copy gives offsets out again.
static_assert(!std::three_way_comparable<record_offset>);
static_assert(!std::equality_comparable<record_offset>);
static_assert(!std::convertible_to<std::uint64_t, record_offset>);
static_assert(!std::convertible_to<log_position, std::uint64_t>);

// Guards against records after a return of the log that count as older than those before it.
TEST_CASE("positions in a log are ordered by era before offset")
{
    const auto before_return = at_offset(9, log_era{1});
    const auto after_return = at_offset(2, log_era{2});
    CHECK(before_return < after_return);
    CHECK(before_return < before_return.next());
    CHECK(before_return.next().previous() == before_return);
    CHECK(at_offset(0, log_era{2}).previous() == at_offset(0, log_era{2}));
    CHECK(to_text(after_return) == "2:2");
}

// Guards against a reader that takes a record which the copy lacks for one that it knows to be removed.
TEST_CASE("a position covers only records of its own era")
{
    const auto end = at_offset(5, log_era{2});
    CHECK(covers(end, at_offset(4, log_era{2})));
    CHECK_FALSE(covers(end, end));
    CHECK_FALSE(covers(end, at_offset(4, log_era{1})));
    CHECK_FALSE(covers(end, at_offset(4, log_era{3})));
}
