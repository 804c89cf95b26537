#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

part_header make_header(const char* request, std::uint32_t attempt, std::uint64_t part, bool last = false)
{
    return {request_id{request}, attempt_number{attempt}, part_number{part}, last};
}

}  // namespace

TEST_CASE("only the next part of the current attempt is delivered")
{
    stream_progress progress{request_id{"a"}, attempt_number{2}};
    REQUIRE(accept_part(progress, make_header("a", 2, 0)) == part_check_result::deliver);

    SECTION("a part of another request is dropped")
    {
        // Otherwise the text of another caller's response would appear in this response.
        REQUIRE(accept_part(progress, make_header("b", 2, 1)) == part_check_result::wrong_request);
    }
    SECTION("a late part of an earlier attempt is dropped")
    {
        // Otherwise text of the response would be repeated or mixed with that of another attempt.
        REQUIRE(accept_part(progress, make_header("a", 1, 1)) == part_check_result::wrong_attempt);
    }
    SECTION("a part that a resumed stream repeats is dropped")
    {
        // The caller has already received this part.
        REQUIRE(accept_part(progress, make_header("a", 2, 0)) == part_check_result::duplicate);
    }
    SECTION("a part after a gap is not delivered, and the missing part still is")
    {
        REQUIRE(accept_part(progress, make_header("a", 2, 2)) == part_check_result::gap);
        REQUIRE(accept_part(progress, make_header("a", 2, 1)) == part_check_result::deliver);
    }
    SECTION("the last part ends the answer, and a later one is dropped")
    {
        REQUIRE(accept_part(progress, make_header("a", 2, 1, true)) == part_check_result::deliver);
        REQUIRE(progress.ended_);
        REQUIRE(accept_part(progress, make_header("a", 2, 2, true)) == part_check_result::after_end);
    }
}
