#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

part_header part_of(const char* request, std::uint32_t attempt, std::uint64_t part, bool last = false)
{
    return {request_id{request}, attempt_number{attempt}, part_number{part}, last};
}

}  // namespace

TEST_CASE("only the next part of the current attempt is delivered")
{
    stream_progress progress{request_id{"a"}, attempt_number{2}};
    REQUIRE(accept_part(progress, part_of("a", 2, 0)) == part_check_result::deliver);

    SECTION("a crossed answer would put another caller's text into this answer")
    {
        REQUIRE(accept_part(progress, part_of("b", 2, 1)) == part_check_result::wrong_request);
    }
    SECTION("a late part of an earlier attempt would repeat or mix text")
    {
        REQUIRE(accept_part(progress, part_of("a", 1, 1)) == part_check_result::wrong_attempt);
    }
    SECTION("a resumed stream may repeat parts that the caller has already seen")
    {
        REQUIRE(accept_part(progress, part_of("a", 2, 0)) == part_check_result::duplicate);
    }
    SECTION("a missing part must not be skipped")
    {
        REQUIRE(accept_part(progress, part_of("a", 2, 2)) == part_check_result::gap);
        REQUIRE(accept_part(progress, part_of("a", 2, 1)) == part_check_result::deliver);
    }
    SECTION("the end mark ends the answer once")
    {
        REQUIRE(accept_part(progress, part_of("a", 2, 1, true)) == part_check_result::deliver);
        REQUIRE(progress.ended_);
        REQUIRE(accept_part(progress, part_of("a", 2, 2, true)) == part_check_result::after_end);
    }
}
