#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point start{std::chrono::hours{1}};
constexpr milliseconds silence_limit{1000};

load_report make_report(const std::string& vm, bool log_reachable)
{
    load_report report;
    report.vm_ = vm_id{vm};
    report.incarnation_ = incarnation{1};
    report.sequence_ = 1;
    report.log_update_.log_reachable_ = log_reachable;
    return report;
}

}  // namespace

TEST_CASE("VMs agree on the order of log readers, without VMs that are silent or cannot reach the log")
{
    vm_peers peers;
    fleet_load load;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::vector<std::size_t> positions;
    for (const auto& self : names)
    {
        vm_peers others;
        for (const auto& other : names)
        {
            if (other != self)
            {
                apply_report(others, load, make_report(other, true), start);
            }
        }
        positions.push_back(log_reader_position(others, vm_id{self}, true, silence_limit, start));
        CHECK(log_reader_position(others, vm_id{self}, true, silence_limit, start + milliseconds{1500}) == 0);
    }
    std::ranges::sort(positions);
    CHECK(positions == std::vector<std::size_t>{0, 1, 2, 3});
    apply_report(peers, load, make_report("a", false), start);
    CHECK(log_reader_position(peers, vm_id{"b"}, true, silence_limit, start) == 0);
}

// When the first readers are gone, the other VMs must read the log before their data is too old, and not all at once.
TEST_CASE("poll delays increase with the position and stay below the tightest staleness bound")
{
    const auto bound = GENERATE(milliseconds{2000}, milliseconds{3000}, milliseconds{4000});
    CHECK(log_poll_delay(0, bound) < log_poll_delay(1, bound));
    CHECK(log_poll_delay(1, bound) < log_poll_delay(2, bound));
    CHECK(log_poll_delay(100000, bound) < bound);
}

TEST_CASE("parts of a log update are contiguous, and only the last one has the age of the server list")
{
    // Guards against VMs that lose one part of many changes and go on sending to servers that have left.
    log_update update;
    update.server_list_age_ = milliseconds{20};
    update.changes_begin_ = at_offset(5);
    update.changes_end_ = at_offset(40);
    for (const std::uint64_t at : {10U, 20U, 30U})
    {
        server_list_change change;
        change.at_ = at_offset(at);
        update.changes_.push_back(change);
    }
    CHECK(split_log_update(update, 3).size() == 1);
    const auto parts = split_log_update(update, 2);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].changes_begin_ == at_offset(5));
    CHECK(parts[0].changes_end_ == at_offset(21));
    CHECK(parts[0].changes_.size() == 2);
    CHECK_FALSE(parts[0].server_list_age_);
    CHECK(parts[1].changes_begin_ == at_offset(21));
    CHECK(parts[1].changes_end_ == at_offset(40));
    REQUIRE(parts[1].changes_.size() == 1);
    CHECK(parts[1].server_list_age_ == milliseconds{20});
}

// Guards against VMs that apply a part of the difference of two lists and take themselves to be up to date.
TEST_CASE("the difference of two lists stays in one part of a log update, or is left out")
{
    log_update update;
    update.server_list_age_ = milliseconds{20};
    update.changes_begin_ = at_offset(5);
    update.changes_end_ = at_offset(40);
    update.unread_ = unread_span{at_offset(20), at_offset(35)};
    for (const std::uint64_t at : {10U, 20U, 30U, 36U})
    {
        server_list_change change;
        change.at_ = at_offset(at);
        update.changes_.push_back(change);
    }
    CHECK(can_follow(update, at_offset(20)));
    CHECK_FALSE(can_follow(update, at_offset(21)));
    CHECK_FALSE(can_follow(update, at_offset(34)));
    CHECK(can_follow(update, at_offset(35)));
    const auto parts = split_log_update(update, 2);
    REQUIRE(parts.size() == 3);
    CHECK(parts[0].changes_end_ == at_offset(11));
    CHECK_FALSE(parts[0].unread_);
    CHECK(parts[1].changes_.size() == 2);
    CHECK(parts[1].changes_end_ == at_offset(35));
    REQUIRE(parts[1].unread_);
    CHECK(parts[2].changes_begin_ == at_offset(35));
    CHECK_FALSE(parts[2].unread_);
    const auto without_difference = split_log_update(update, 1);
    REQUIRE(without_difference.size() == 1);
    CHECK(without_difference[0].changes_begin_ == at_offset(35));
    CHECK(without_difference[0].changes_.size() == 1);
}

// Changes before this offset are dropped. A later offset would leave a gap at the VM that lags most.
TEST_CASE("the oldest missing offset is that of the live VM that lags most")
{
    vm_peers peers;
    fleet_load load;
    auto report = make_report("a", true);
    report.log_update_.server_list_end_ = at_offset(7);
    apply_report(peers, load, report, start);
    report = make_report("b", true);
    apply_report(peers, load, report, start);
    CHECK(oldest_missing_position(peers, at_offset(9), silence_limit, start) == at_offset(7));
    CHECK(oldest_missing_position(peers, at_offset(6), silence_limit, start) == at_offset(6));
    CHECK(oldest_missing_position(peers, at_offset(9), silence_limit, start + silence_limit) == at_offset(9));
}

TEST_CASE("a report with only a log update keeps the work reported before, and a duplicate is ignored")
{
    vm_peers peers;
    fleet_load load;
    auto report = make_report("a", true);
    report.work_.push_back({server_id{"s"}, engine_work{}});
    apply_report(peers, load, report, start);
    auto update = make_report("a", true);
    update.sequence_ = 2;
    update.log_update_only_ = true;
    CHECK(apply_report(peers, load, update, start));
    CHECK(load.engines_[server_id{"s"}].work_.size() == 1);
    CHECK_FALSE(apply_report(peers, load, update, start));
}

// Requests of other VMs that are not known yet only make passes longer, so the smallest ratio is the most accurate.
TEST_CASE("the slowdown of a server is the smallest of four measured ratios, or 1 when that ratio is small")
{
    known_server server;
    record_pass_ratio(server, 9.0);
    record_pass_ratio(server, 4.0);
    record_pass_ratio(server, 5.0);
    CHECK(server.slowdown_ == 1.0);
    record_pass_ratio(server, 4.5);
    CHECK(server.slowdown_ == 4.0);
    for (int pass = 0; pass < 4; ++pass)
    {
        record_pass_ratio(server, 0.2);
    }
    CHECK(server.slowdown_ == 1.0);
}

// Guards against a VM that sleeps through the return of the log and serves old data for longer than its bound.
TEST_CASE("the delay between failed reads is shorter than the bound on the age of the data, for each reader")
{
    constexpr milliseconds reader_limit{500};
    for (const auto bound : {milliseconds{500}, milliseconds{2000}, milliseconds{4000}})
    {
        for (std::size_t position = 0; position < 300; ++position)
        {
            CHECK(max_failed_read_delay(position, reader_limit, bound) <= bound * 3 / 4);
        }
        CHECK(max_failed_read_delay(0, reader_limit, bound) <= reader_limit);
        CHECK(max_failed_read_delay(1, reader_limit, bound) <= reader_limit);
    }
}

// Guards against reports of a VM of a former release, which reads no eras, that nobody can follow.
TEST_CASE("an update without an era gets the era that is assumed, and loses its positions when the era is open")
{
    log_update update;
    update.log_reachable_ = true;
    update.server_list_age_ = milliseconds{5};
    update.server_list_end_ = at_offset(9);
    update.changes_begin_ = at_offset(4);
    update.changes_end_ = at_offset(9);
    update.changes_.resize(1);
    update.changes_[0].at_ = at_offset(8);
    update.evacuations_ = evacuation_snapshot{at_offset(5), {{data_centre_id{"a"}, at_offset(4), true}}};
    auto of_unknown_era = update;
    drop_positions(of_unknown_era);
    CHECK(of_unknown_era.log_reachable_);
    CHECK_FALSE(of_unknown_era.server_list_age_);
    CHECK(of_unknown_era.changes_.empty());
    CHECK(of_unknown_era.server_list_end_ == log_position{});
    const log_era era{6};
    assume_era(update, era);
    CHECK(update.server_list_end_ == at_offset(9, era));
    CHECK(update.changes_begin_ == at_offset(4, era));
    CHECK(update.changes_end_ == at_offset(9, era));
    CHECK(update.changes_[0].at_ == at_offset(8, era));
    CHECK(update.evacuations_->end_ == at_offset(5, era));
    CHECK(update.evacuations_->entries_[0].position_ == at_offset(4, era));
}
