#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

// Guards against a late report that restores a request that has been removed meanwhile, also when the removal was only
// seen as a missing key.
TEST_CASE("a report or read from before a removal does not restore the evacuation")
{
    evacuations known;
    const data_centre_id evacuated{"dc-a"};
    CHECK(merge_reported(known, {at_offset(5), {{evacuated, at_offset(4), true}}}).size() == 1);
    CHECK(is_evacuated(known, evacuated));
    const auto removed = apply_full_evacuation_read(known, {at_offset(9), {}});
    REQUIRE(removed.size() == 1);
    CHECK_FALSE(removed.front().evacuated_);
    CHECK(removed.front().position_ == at_offset(8));
    CHECK(merge_reported(known, {at_offset(5), {{evacuated, at_offset(4), true}}}).empty());
    CHECK(apply_full_evacuation_read(known, {at_offset(7), {{evacuated, at_offset(4), true}}}).empty());
    CHECK_FALSE(apply_evacuation(known, evacuated, at_offset(4), true));
    CHECK_FALSE(is_evacuated(known, evacuated));
    CHECK(apply_evacuation(known, evacuated, at_offset(9), true));
    CHECK(merge_reported(known, {at_offset(9), {}}).empty());
    CHECK(is_evacuated(known, evacuated));
}

TEST_CASE("evacuations that do not fit a report are not reported in part")
{
    evacuations known;
    CHECK_FALSE(to_report(known, byte_count{512}));
    CHECK(apply_full_evacuation_read(known, {at_offset(3), {}}).empty());
    REQUIRE(to_report(known, byte_count{0}));
    CHECK(to_report(known, byte_count{0})->end_ == at_offset(3));
    for (std::uint64_t index = 0; index < 20; ++index)
    {
        CHECK(apply_evacuation(known, data_centre_id{"dc-" + std::to_string(index)}, at_offset(3 + index), true));
    }
    CHECK(count_evacuated(known) == 20);
    CHECK(to_report(known, byte_count{512})->entries_.size() == 20);
    CHECK_FALSE(to_report(known, byte_count{300}));
}

TEST_CASE("servers of an evacuated data centre accept no work and are counted apart")
{
    server_directory directory;
    const time_point now{std::chrono::hours{1}};
    for (const char* const zone : {"dc-a", "dc-b"})
    {
        listed_server entry;
        entry.id_ = server_id{std::string("server-") + zone};
        entry.service_ = service_id{"s"};
        entry.data_centre_ = data_centre_id{zone};
        upsert_listed_server(directory, entry, at_offset(1), now);
    }
    CHECK(apply_evacuation(directory.evacuations_, data_centre_id{"dc-a"}, at_offset(0), true));
    const auto ready = ready_servers(directory, service_id{"s"}, now);
    REQUIRE(ready.size() == 1);
    CHECK(ready.front()->listed_.data_centre_ == data_centre_id{"dc-b"});
    CHECK_FALSE(accepts_work(directory, server_id{"server-dc-a"}, 0, now));
    const auto paused = directory.servers_.at(server_id{"server-dc-a"}).listed_;
    record_pause(directory, paused, milliseconds{500}, now);
    // A pause of a server that gets nothing is nothing to wait for.
    CHECK_FALSE(time_until_pause_ends(directory, service_id{"s"}, {}, now));
    const auto counts = count_servers(directory, service_id{"s"}, now);
    CHECK(counts.accepting_ == 1);
    CHECK(counts.paused_ == 0);
    CHECK(counts.evacuated_ == 1);
    CHECK(apply_evacuation(directory.evacuations_, data_centre_id{"dc-a"}, at_offset(1), false));
    CHECK(ready_servers(directory, service_id{"s"}, now + milliseconds{500}).size() == 2);
}

namespace
{

constexpr log_era first_era{1};
constexpr log_era second_era{2};
const data_centre_id copied{"dc-a"};

/// Knows the request of `dc-a` in the first era, up to offset 9.
evacuations before_return()
{
    evacuations known;
    CHECK(apply_full_evacuation_read(known, {at_offset(9, first_era), {{copied, at_offset(4, first_era), true}}})
              .size() == 1);
    return known;
}

}  // namespace

// Guards against servers of an evacuated data centre that get requests because the log lost the request of the
// operator.
TEST_CASE("an evacuation that the log lost in its return from a copy stays in force until it is removed")
{
    auto known = before_return();
    CHECK(apply_full_evacuation_read(known, {at_offset(3, second_era), {}}).empty());
    CHECK(merge_reported(known, {at_offset(4, second_era), {}}).empty());
    CHECK(is_evacuated(known, copied));
    const auto reported = to_report(known, byte_count{512});
    REQUIRE(reported);
    SECTION("by a record of the new era, which the other VMs are told")
    {
        auto other = before_return();
        CHECK(apply_full_evacuation_read(other, {at_offset(3, second_era), {}}).empty());
        CHECK(apply_evacuation(known, copied, at_offset(4, second_era), false));
        CHECK_FALSE(is_evacuated(known, copied));
        CHECK(merge_reported(other, *to_report(known, byte_count{512})).size() == 1);
        CHECK_FALSE(is_evacuated(other, copied));
        // The report of a VM that has not seen the removal does not restore the request.
        CHECK(merge_reported(known, *reported).empty());
        CHECK_FALSE(is_evacuated(known, copied));
    }
    SECTION("by its absence after it was written again")
    {
        CHECK_FALSE(apply_evacuation(known, copied, at_offset(4, second_era), true));
        CHECK(is_evacuated(known, copied));
        CHECK(apply_full_evacuation_read(known, {at_offset(7, second_era), {}}).size() == 1);
        CHECK_FALSE(is_evacuated(known, copied));
    }
    SECTION("also for a VM that starts in the new era")
    {
        evacuations started;
        CHECK(apply_full_evacuation_read(started, {at_offset(3, second_era), {}}).empty());
        CHECK(merge_reported(started, *reported).size() == 1);
        CHECK(is_evacuated(started, copied));
    }
}

// Guards against a data centre that is taken out of use again because the log came back from a copy with the request.
TEST_CASE("a request that a log has again after its return, although it was removed, is doubted")
{
    auto known = before_return();
    CHECK(apply_evacuation(known, copied, at_offset(9, first_era), false));
    confirm_evacuations(known, at_offset(10, first_era));
    const evacuation_snapshot copy{at_offset(5, second_era), {{copied, at_offset(4, second_era), true}}};
    CHECK(apply_full_evacuation_read(known, copy).empty());
    CHECK(merge_reported(known, copy).empty());
    CHECK_FALSE(is_evacuated(known, copied));
    SECTION("until the operator requests it again")
    {
        CHECK(apply_evacuation(known, copied, at_offset(6, second_era), true));
        CHECK(is_evacuated(known, copied));
    }
    SECTION("until its removal could have been written again")
    {
        CHECK(settle_evacuations(known).size() == 1);
        CHECK(is_evacuated(known, copied));
    }
    SECTION("also when another VM reports an earlier removal")
    {
        const evacuation_snapshot reported{at_offset(5, second_era), {{copied, at_offset(12, first_era), false}}};
        CHECK(merge_reported(known, reported).empty());
        CHECK(settle_evacuations(known).size() == 1);
    }
    SECTION("and forgotten when its removal is written again")
    {
        CHECK_FALSE(apply_evacuation(known, copied, at_offset(6, second_era), false));
        CHECK(settle_evacuations(known).empty());
        CHECK_FALSE(is_evacuated(known, copied));
    }
}

// Guards against a VM that was cut off during the return, whose reports are of the earlier era.
TEST_CASE("a report of an earlier era changes nothing that is known better")
{
    auto known = before_return();
    CHECK(apply_evacuation(known, copied, at_offset(9, first_era), false));
    confirm_evacuations(known, at_offset(10, first_era));
    CHECK(apply_full_evacuation_read(known, {at_offset(3, second_era), {}}).empty());
    CHECK(merge_reported(known, {at_offset(9, first_era), {{copied, at_offset(4, first_era), true}}}).empty());
    CHECK_FALSE(is_evacuated(known, copied));
    CHECK(known.known_end_ == at_offset(3, second_era));
}
