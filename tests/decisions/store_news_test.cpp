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
    report.news_.reached_ = reaches;
    return report;
}

}  // namespace

TEST_CASE("VMs agree on who reads the log, and the silent and the cut off do not count")
{
    load_peers peers;
    fleet_load load;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::vector<std::size_t> ranks;
    for (const auto& self : names)
    {
        load_peers others;
        for (const auto& other : names)
        {
            if (other != self)
            {
                apply_report(others, load, from(other, true), start);
            }
        }
        ranks.push_back(reader_rank(others, vm_id{self}, silence, start));
        CHECK(reader_rank(others, vm_id{self}, silence, start + milliseconds{1500}) == 0);
    }
    std::ranges::sort(ranks);
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3});
    apply_report(peers, load, from("a", false), start);
    CHECK(reader_rank(peers, vm_id{"b"}, silence, start) == 0);
}

TEST_CASE("a fleet whose readers are gone reads in time for the bounds and not all at once")
{
    constexpr milliseconds tightest_bound{2000};
    CHECK(read_after(0) < read_after(1));
    CHECK(read_after(1) < read_after(2));
    CHECK(read_after(100000) < tightest_bound);
}

TEST_CASE("parts of news join one another, and only the last one confirms the list")
{
    // A fleet that lost part of many changes at once went on sending to servers that had left.
    store_news news;
    news.list_age_ = milliseconds{20};
    news.list_from_ = log_offset{5};
    news.list_next_ = log_offset{40};
    for (const std::uint64_t at : {10U, 20U, 30U})
    {
        server_change change;
        change.at_ = log_offset{at};
        news.changes_.push_back(change);
    }
    CHECK(split_news(news, 3).size() == 1);
    const auto parts = split_news(news, 2);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].list_from_ == log_offset{5});
    CHECK(parts[0].list_next_ == log_offset{21});
    CHECK(parts[0].changes_.size() == 2);
    CHECK_FALSE(parts[0].list_age_);
    CHECK(parts[1].list_from_ == log_offset{21});
    CHECK(parts[1].list_next_ == log_offset{40});
    REQUIRE(parts[1].changes_.size() == 1);
    CHECK(parts[1].list_age_ == milliseconds{20});
}

TEST_CASE("changes are told from where the VM that lags most lacks them")
{
    load_peers peers;
    fleet_load load;
    auto report = from("a", true);
    report.news_.list_known_ = log_offset{7};
    apply_report(peers, load, report, start);
    report = from("b", true);
    apply_report(peers, load, report, start);
    CHECK(first_lacking(peers, log_offset{9}, silence, start) == log_offset{7});
    CHECK(first_lacking(peers, log_offset{6}, silence, start) == log_offset{6});
    CHECK(first_lacking(peers, log_offset{9}, silence, start + silence) == log_offset{9});
}

TEST_CASE("a report that only tells news leaves the work of its VM as it was")
{
    load_peers peers;
    fleet_load load;
    auto report = from("a", true);
    report.work_.push_back({server_id{"s"}, engine_work{}});
    apply_report(peers, load, report, start);
    auto news = from("a", true);
    news.sequence_ = 2;
    news.only_news_ = true;
    CHECK(apply_report(peers, load, news, start));
    CHECK(load.engines_[server_id{"s"}].work_.size() == 1);
    CHECK_FALSE(apply_report(peers, load, news, start));
}

TEST_CASE("a server's pace follows the smallest of a few measured passes")
{
    known_server server;
    note_pass(server, 9.0);
    note_pass(server, 4.0);
    note_pass(server, 5.0);
    CHECK(server.pace_ == 1.0);
    note_pass(server, 4.5);
    CHECK(server.pace_ == 4.0);
    for (int pass = 0; pass < 4; ++pass)
    {
        note_pass(server, 0.2);
    }
    CHECK(server.pace_ == 1.0);
}
