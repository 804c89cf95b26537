#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const time_point start{std::chrono::hours{1}};
const prompt_part_id deadly{1};
const prompt_part_id common{2};
const prompt_part_id other{3};

time_point at(int ms)
{
    return start + milliseconds{ms};
}

/// A crash of server @a id at @a ms of a request sent 100 ms before.
part_crash crash(std::uint32_t id, int ms)
{
    return {crash_id{id}, at(ms - 100), at(ms)};
}

bool is_blocked(const suspect_parts& suspects, prompt_part_id part)
{
    return !blocked_parts(suspects, {part}).empty();
}

/// A VM that has blocked `deadly` after three crashes.
suspect_parts with_blocked_part()
{
    suspect_parts suspects;
    for (const std::uint32_t id : {1U, 2U, 3U})
    {
        (void)record_crash(suspects, {deadly}, crash(id, static_cast<int>(id) * 1000));
    }
    return suspects;
}

}  // namespace

TEST_CASE("a part is blocked after three crashes in succession, and repeats end after two")
{
    suspect_parts suspects;
    (void)record_crash(suspects, {deadly}, crash(1, 1000));
    CHECK_FALSE(may_crash_again(suspects, {deadly}));
    (void)record_crash(suspects, {deadly}, crash(2, 2000));
    CHECK(may_crash_again(suspects, {deadly}));
    CHECK_FALSE(is_blocked(suspects, deadly));
    CHECK(record_crash(suspects, {deadly}, crash(2, 2010)).blocked_.empty());
    const auto changes = record_crash(suspects, {deadly}, crash(3, 3000));
    CHECK(changes.blocked_ == std::vector{deadly});
    CHECK(changes.news_);
    CHECK(is_blocked(suspects, deadly));
}

TEST_CASE("servers that end at the same moment count as one crash")
{
    suspect_parts suspects;
    for (std::uint32_t id = 1; id <= 8; ++id)
    {
        (void)record_crash(suspects, {common}, crash(id, 1000 + static_cast<int>(id) * 10));
    }
    CHECK_FALSE(is_blocked(suspects, common));
}

TEST_CASE("a part on which answers begin is not blamed for the crashes of a request beside it")
{
    suspect_parts suspects;
    for (std::uint32_t id = 1; id <= 3; ++id)
    {
        const int ms = static_cast<int>(id) * 1000;
        (void)record_begun(suspects, {common}, at(ms - 300));
        (void)record_crash(suspects, {deadly, common}, crash(id, ms));
    }
    CHECK(is_blocked(suspects, deadly));
    CHECK_FALSE(is_blocked(suspects, common));
}

TEST_CASE("an answer that begins clears a part that was blocked by mistake, here and at other VMs")
{
    auto first = with_blocked_part();
    suspect_parts second;
    (void)merge_reported_parts(second, parts_to_report(first, at(3010)), at(3010));
    REQUIRE(is_blocked(second, deadly));
    CHECK(record_begun(first, {deadly}, at(3100)).cleared_ == std::vector{deadly});
    const auto changes = merge_reported_parts(second, parts_to_report(first, at(3110)), at(3110));
    CHECK(changes.cleared_ == std::vector{deadly});
    CHECK_FALSE(is_blocked(second, deadly));
}

TEST_CASE("a VM that has seen an answer to a part refutes what another one is about to block")
{
    suspect_parts first;
    suspect_parts second;
    (void)record_begun(second, {common}, at(1900));
    (void)record_crash(first, {common}, crash(1, 1000));
    (void)record_crash(first, {common}, crash(2, 2000));
    (void)merge_reported_parts(second, parts_to_report(first, at(2010)), at(2010));
    (void)merge_reported_parts(first, parts_to_report(second, at(2020)), at(2020));
    (void)record_crash(first, {common}, crash(3, 3000));
    CHECK_FALSE(is_blocked(first, common));
}

TEST_CASE("crashes that different VMs see add up, in any order and any number of times")
{
    suspect_parts first;
    suspect_parts second;
    (void)record_crash(first, {deadly}, crash(1, 1000));
    (void)record_crash(second, {deadly}, crash(2, 2000));
    (void)record_crash(first, {deadly}, crash(3, 3000));
    for (int repeat = 0; repeat < 2; ++repeat)
    {
        (void)merge_reported_parts(second, parts_to_report(first, at(3010)), at(3010));
        (void)merge_reported_parts(first, parts_to_report(second, at(3020)), at(3020));
    }
    CHECK(is_blocked(first, deadly));
    CHECK(is_blocked(second, deadly));
}

TEST_CASE("of two parts in the same crashes the one with a further crash of its own is blocked")
{
    suspect_parts suspects;
    for (std::uint32_t id = 1; id <= 3; ++id)
    {
        (void)record_crash(suspects, {deadly, common}, crash(id, static_cast<int>(id) * 1000));
    }
    REQUIRE(blocked_parts(suspects, {deadly, common}).size() == 2);
    // The two are told apart soon: a request with one of them is let through.
    CHECK(time_until_trial(suspects, deadly, at(3000)) <= std::chrono::seconds{1});
    REQUIRE(take_trial(suspects, deadly, at(4100)));
    const auto changes = record_crash(suspects, {deadly, other}, crash(4, 4200));
    CHECK(changes.cleared_ == std::vector{common});
    CHECK(is_blocked(suspects, deadly));
    CHECK(suspects.parts_.count(other) == 0);
}

TEST_CASE("trials of a blocked part become rarer")
{
    auto suspects = with_blocked_part();
    CHECK_FALSE(take_trial(suspects, deadly, at(20'000)));
    CHECK(take_trial(suspects, deadly, at(34'000)));
    CHECK_FALSE(take_trial(suspects, deadly, at(80'000)));
    CHECK(take_trial(suspects, deadly, at(95'000)));
    CHECK_FALSE(take_trial(suspects, deadly, at(200'000)));
}

TEST_CASE("a part stays blocked as long as requests with it come")
{
    auto suspects = with_blocked_part();
    for (int minute = 1; minute < 20; ++minute)
    {
        record_refusal(suspects, deadly, at(minute * 60'000));
        CHECK(drop_old_parts(suspects, at(minute * 60'000 + 30'000)).empty());
        CHECK_FALSE(parts_to_report(suspects, at(minute * 60'000 + 5000)).empty());
    }
    CHECK(is_blocked(suspects, deadly));
    CHECK(drop_old_parts(suspects, at(26 * 60'000)) == std::vector{deadly});
    CHECK_FALSE(is_blocked(suspects, deadly));
}

TEST_CASE("a caller with many parts does not displace a blocked part")
{
    auto suspects = with_blocked_part();
    for (std::uint64_t part = 100; part < 5000; ++part)
    {
        (void)record_crash(suspects, {prompt_part_id{part}}, crash(10, 4000));
        (void)record_begun(suspects, {prompt_part_id{part + 10'000}}, at(4000));
    }
    CHECK(is_blocked(suspects, deadly));
    CHECK(suspects.parts_.size() <= 512);
    CHECK(suspects.begun_.size() <= 4096);
}
