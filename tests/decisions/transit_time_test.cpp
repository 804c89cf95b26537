
#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

using std::chrono::seconds;

load_report make_report(const std::string& vm, std::uint64_t sequence, bool log_update_only)
{
    load_report report;
    report.vm_ = vm_id{vm};
    report.incarnation_ = incarnation{1};
    report.sequence_ = sequence;
    report.log_update_only_ = log_update_only;
    return report;
}

}  // namespace

TEST_CASE("the delay of a message is counted from the fastest one, whatever the clocks show")
{
    const auto offset = GENERATE(milliseconds{-500'000}, milliseconds{0}, milliseconds{7'000'000});
    transit_clock clock;
    const auto handle = [&](milliseconds sent_at, milliseconds delay) {
        return record_transit(clock, sent_at - offset, sent_at + delay);
    };
    CHECK(handle(seconds{1000}, milliseconds{30}) == milliseconds{0});
    CHECK(handle(seconds{1001}, milliseconds{5}) == milliseconds{0});
    // A part of the delay may be drift of the clocks.
    CHECK(handle(seconds{1002}, milliseconds{2005}).count() == Approx(2000).margin(1).epsilon(0));
    CHECK(handle(seconds{1004}, milliseconds{55}).count() == Approx(50).margin(1).epsilon(0));
}

TEST_CASE("a delay is known for hours in which the clocks drift apart")
{
    const auto drift = GENERATE(-0.0001, 0.0001);
    const auto sender_clock = [drift](milliseconds now) {
        return milliseconds{1'000'000 + static_cast<std::int64_t>(static_cast<double>(now.count()) * (1 + drift))};
    };
    transit_clock clock;
    milliseconds longest{0};
    milliseconds now{0};
    for (int report = 0; report < 36'000; ++report)
    {
        now += milliseconds{300};
        longest = std::max(longest, record_transit(clock, sender_clock(now), now + milliseconds{2}));
    }
    CHECK(longest <= milliseconds{1});
    CHECK(record_transit(clock, sender_clock(now), now + seconds{3}) >= milliseconds{2900});
}

TEST_CASE("a message without a time has no known delay")
{
    transit_clock clock;
    CHECK(record_transit(clock, std::nullopt, seconds{5}) == milliseconds{0});
    CHECK_FALSE(clock.shortest_);
}

TEST_CASE("a process that has started again is judged by its new clock")
{
    vm_peers peers;
    auto report = make_report("vm-1", 1, false);
    report.sent_at_ = milliseconds{900'000};
    CHECK(time_in_transit(peers, report, seconds{10}) == milliseconds{0});
    peers.peers_[report.vm_].incarnation_ = report.incarnation_;
    report.incarnation_ = incarnation{2};
    report.sent_at_ = milliseconds{100};
    CHECK(time_in_transit(peers, report, seconds{11}) == milliseconds{0});
}

TEST_CASE("a late report of an earlier process does not change what is known about the clock of the later one")
{
    vm_peers peers;
    auto report = make_report("vm-1", 1, false);
    report.incarnation_ = incarnation{2};
    report.sent_at_ = milliseconds{100};
    CHECK(time_in_transit(peers, report, seconds{10}) == milliseconds{0});
    peers.peers_[report.vm_].incarnation_ = report.incarnation_;
    auto earlier = make_report("vm-1", 99, false);
    earlier.sent_at_ = milliseconds{900'000};
    CHECK(time_in_transit(peers, earlier, seconds{11}) == milliseconds{0});
    report.sent_at_ = milliseconds{2100};
    CHECK(time_in_transit(peers, report, seconds{12}) <= milliseconds{1});
}

TEST_CASE("of the load reports of a VM that wait together only the last is applied")
{
    std::vector<load_report> reports{make_report("a", 1, false), make_report("a", 2, true), make_report("b", 1, false),
                                     make_report("a", 3, false), make_report("a", 4, true)};
    drop_superseded(reports);
    REQUIRE(reports.size() == 4);
    CHECK(reports[0].sequence_ == 2);
    CHECK(reports[1].vm_ == vm_id{"b"});
    CHECK(reports[2].sequence_ == 3);
    CHECK(reports[3].sequence_ == 4);
}

TEST_CASE("the ages in a delayed report grow by its delay")
{
    auto report = make_report("a", 1, false);
    report.log_update_.server_list_age_ = milliseconds{100};
    report.leaving_servers_ = {{server_id{"s"}, 1, milliseconds{20}}};
    add_delay(report, milliseconds{700});
    CHECK(report.log_update_.server_list_age_ == milliseconds{800});
    CHECK_FALSE(report.log_update_.routing_table_age_);
    CHECK(report.leaving_servers_.front().age_ == milliseconds{720});
}
