#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const time_point now{std::chrono::hours{1}};
constexpr std::size_t work_per_part = 14;
const server_id engine{"engine"};

/// A report of requests with the keys @a first to @a last.
load_report report_of(std::uint64_t sequence, std::uint64_t first, std::uint64_t last)
{
    load_report report;
    report.vm_ = vm_id{"vm-1"};
    report.incarnation_ = incarnation{1};
    report.sequence_ = sequence;
    report.address_ = socket_address{"10.0.0.1:7340"};
    for (std::uint64_t key = first; key <= last; ++key)
    {
        engine_work work;
        work.key_ = execution_id{key};
        work.prompt_ = token_count{5000};
        report.work_.push_back({engine, work});
    }
    return report;
}

struct receiver
{
    vm_peers peers_;
    fleet_load load_;

    bool apply(const load_report& report)
    {
        return apply_report(peers_, load_, report, now);
    }

    void apply_all(const std::vector<load_report>& parts)
    {
        std::ranges::for_each(parts, [this](const load_report& part) { CHECK(apply(part)); });
    }

    std::size_t known()
    {
        return load_.engines_[engine].work_.size();
    }
};

}  // namespace

// Guards against a VM with many requests, the newest of which other VMs do not see: they take the places for free.
TEST_CASE("all requests of a VM are known to others, however many they are")
{
    const auto requests = GENERATE(0U, 1U, 14U, 15U, 60U);
    const auto parts = split_work(report_of(5, 1, requests), work_per_part);
    CHECK(parts.size() == std::max<std::size_t>(1, (requests + work_per_part - 1) / work_per_part));
    CHECK(std::ranges::all_of(parts, [](const load_report& part) { return part.work_.size() <= work_per_part; }));
    receiver other;
    other.apply_all(parts);
    CHECK(other.known() == requests);
    CHECK(other.peers_.peers_.at(vm_id{"vm-1"}).work_.size() == requests);
}

TEST_CASE("requests that have ended are removed with the last part of the next report")
{
    receiver other;
    other.apply_all(split_work(report_of(1, 1, 40), work_per_part));
    const auto next = split_work(report_of(4, 21, 50), work_per_part);
    REQUIRE(next.size() == 3);
    CHECK(other.apply(next[0]));
    CHECK(other.apply(next[1]));
    CHECK(other.known() == 48);
    CHECK(other.apply(next[2]));
    CHECK(other.known() == 30);
}

TEST_CASE("a lost part leaves the earlier requests until the next whole report")
{
    receiver other;
    other.apply_all(split_work(report_of(1, 1, 40), work_per_part));
    const auto lossy = split_work(report_of(4, 31, 70), work_per_part);
    CHECK(other.apply(lossy[0]));
    CHECK_FALSE(other.apply(lossy[2]));
    CHECK(other.known() >= 40);
    other.apply_all(split_work(report_of(7, 31, 70), work_per_part));
    CHECK(other.known() == 40);
    // Neither a repeated nor a late part changes anything.
    CHECK_FALSE(other.apply(lossy[1]));
    CHECK(other.known() == 40);
}

TEST_CASE("a report replaces one whose parts have not all arrived")
{
    receiver other;
    const auto first = split_work(report_of(1, 1, 40), work_per_part);
    CHECK(other.apply(first[0]));
    other.apply_all(split_work(report_of(4, 100, 104), work_per_part));
    CHECK(other.known() == 5);
    CHECK_FALSE(other.apply(first[1]));
    CHECK(other.known() == 5);
}

TEST_CASE("the parts of a report that waited to be read stay together")
{
    auto reports = split_work(report_of(1, 1, 20), work_per_part);
    const auto later = split_work(report_of(3, 1, 40), work_per_part);
    reports.insert(reports.end(), later.begin(), later.end());
    drop_superseded(reports);
    receiver other;
    std::ranges::for_each(reports, [&other](const load_report& report) { (void)other.apply(report); });
    CHECK(other.known() == 40);
}
