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
