#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const time_point start{std::chrono::hours{1}};
constexpr milliseconds silence{1000};

load_report from(const std::string& vm, bool reaches)
{
    load_report report;
    report.vm_ = vm_id{vm};
    report.incarnation_ = incarnation{1};
    report.sequence_ = 1;
    report.log_update_.log_reachable_ = reaches;
    return report;
}

}  // namespace

TEST_CASE("VMs agree on who reads the log, and the silent and the cut off do not count")
{
    vm_peers peers;
    fleet_load load;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::vector<std::size_t> ranks;
    for (const auto& self : names)
    {
        vm_peers others;
        for (const auto& other : names)
        {
            if (other != self)
            {
                apply_report(others, load, from(other, true), start);
            }
        }
        ranks.push_back(log_reader_position(others, vm_id{self}, silence, start));
        CHECK(log_reader_position(others, vm_id{self}, silence, start + milliseconds{1500}) == 0);
    }
    std::ranges::sort(ranks);
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3});
    apply_report(peers, load, from("a", false), start);
    CHECK(log_reader_position(peers, vm_id{"b"}, silence, start) == 0);
}

TEST_CASE("a fleet whose readers are gone reads in time for the bounds and not all at once")
{
    constexpr milliseconds tightest_bound{2000};
    CHECK(log_poll_delay(0) < log_poll_delay(1));
    CHECK(log_poll_delay(1) < log_poll_delay(2));
    CHECK(log_poll_delay(100000) < tightest_bound);
}

TEST_CASE("parts of news join one another, and only the last one confirms the list")
{
    // A fleet that lost part of many changes at once went on sending to servers that had left.
    log_update news;
    news.server_list_age_ = milliseconds{20};
    news.changes_begin_ = log_offset{5};
    news.changes_end_ = log_offset{40};
    for (const std::uint64_t at : {10U, 20U, 30U})
    {
        server_list_change change;
        change.at_ = log_offset{at};
        news.changes_.push_back(change);
    }
    CHECK(split_log_update(news, 3).size() == 1);
    const auto parts = split_log_update(news, 2);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].changes_begin_ == log_offset{5});
    CHECK(parts[0].changes_end_ == log_offset{21});
    CHECK(parts[0].changes_.size() == 2);
    CHECK_FALSE(parts[0].server_list_age_);
    CHECK(parts[1].changes_begin_ == log_offset{21});
    CHECK(parts[1].changes_end_ == log_offset{40});
    REQUIRE(parts[1].changes_.size() == 1);
    CHECK(parts[1].server_list_age_ == milliseconds{20});
}

TEST_CASE("changes are told from where the VM that lags most lacks them")
{
    vm_peers peers;
    fleet_load load;
    auto report = from("a", true);
    report.log_update_.server_list_end_ = log_offset{7};
    apply_report(peers, load, report, start);
    report = from("b", true);
    apply_report(peers, load, report, start);
    CHECK(oldest_missing_offset(peers, log_offset{9}, silence, start) == log_offset{7});
    CHECK(oldest_missing_offset(peers, log_offset{6}, silence, start) == log_offset{6});
    CHECK(oldest_missing_offset(peers, log_offset{9}, silence, start + silence) == log_offset{9});
}

TEST_CASE("a report that only tells news leaves the work of its VM as it was")
{
    vm_peers peers;
    fleet_load load;
    auto report = from("a", true);
    report.work_.push_back({server_id{"s"}, engine_work{}});
    apply_report(peers, load, report, start);
    auto news = from("a", true);
    news.sequence_ = 2;
    news.log_update_only_ = true;
    CHECK(apply_report(peers, load, news, start));
    CHECK(load.engines_[server_id{"s"}].work_.size() == 1);
    CHECK_FALSE(apply_report(peers, load, news, start));
}

TEST_CASE("a server's pace follows the smallest of a few measured passes")
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
