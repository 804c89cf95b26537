#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point now{std::chrono::hours{1}};

server_directory directory_of(int servers)
{
    server_directory directory;
    for (int index = 0; index < servers; ++index)
    {
        listed_server entry;
        entry.id_ = server_id{"server-" + std::to_string(index)};
        entry.service_ = service_id{"s"};
        upsert_listed_server(directory, entry, at_offset(1), now);
    }
    return directory;
}

choice_request request_in_fleet_of(std::size_t vms)
{
    choice_request request;
    request.service_ = service_id{"s"};
    request.partition_ = partition_fleet(vms);
    request.vm_ = vm_id{"vm-1"};
    return request;
}

}  // namespace

TEST_CASE("a small fleet is one cell, and the cells of a large fleet stay small")
{
    // Without cells, each of 300 VMs received the reports of all others, 6.4 MB/s, and the fleet served a tenth of its
    // requests.
    CHECK(partition_fleet(76).bits_ == 0);
    CHECK(cell_of(partition_fleet(76), "any") == 0);
    for (const std::size_t vms : {100U, 300U, 2100U})
    {
        std::map<std::uint64_t, std::size_t> sizes;
        for (std::size_t index = 0; index < vms; ++index)
        {
            ++sizes[cell_of(partition_fleet(vms), "vm-" + std::to_string(index))];
        }
        CHECK(std::ranges::all_of(sizes, [](const auto& cell) { return cell.second <= 120; }));
    }
}

TEST_CASE("a finer partition only splits the cells of a coarser one, so VMs with different fleet sizes agree")
{
    const cell_partition coarse{1};
    const cell_partition fine{2};
    for (int index = 0; index < 100; ++index)
    {
        const auto id = "vm-" + std::to_string(index);
        CHECK(cell_of(fine, id) / 2 == cell_of(coarse, id));
    }
}

TEST_CASE("the servers of a small service are not partitioned")
{
    CHECK(partition_servers(cell_partition{2}, 3).bits_ == 0);
    CHECK(partition_servers(cell_partition{2}, 40).bits_ == 1);
    CHECK(partition_servers(cell_partition{2}, 3000).bits_ == 2);
}

TEST_CASE("a VM considers the servers of its cell, or all servers when those of its cell are in back-off")
{
    auto directory = directory_of(200);
    const auto request = request_in_fleet_of(300);
    const auto own = candidate_servers(directory, request, now);
    CHECK(own.size() > 20);
    CHECK(own.size() < 100);
    std::ranges::for_each(own, [&](const known_server* server) {
        CHECK(cell_of(request.partition_, server->listed_.id_.get()) == cell_of(request.partition_, "vm-1"));
    });
    std::ranges::for_each(own, [](known_server* server) { record_failure(*server, now); });
    CHECK(candidate_servers(directory, request, now).size() == 200);
}

TEST_CASE("a large set of servers is sampled, differently for each seed")
{
    auto directory = directory_of(2000);
    auto request = request_in_fleet_of(50);
    const auto first = candidate_servers(directory, request, now);
    CHECK(first.size() == 256);
    request.tie_break_seed_ = 0x9E3779B97F4A7C15ULL;
    const auto second = candidate_servers(directory, request, now);
    std::set<const known_server*> sampled(first.begin(), first.end());
    sampled.insert(second.begin(), second.end());
    CHECK(sampled.size() > 300);
}

TEST_CASE("the number of known VMs includes VMs of other cells that a peer reports")
{
    vm_peers peers;
    fleet_load load;
    load_report report;
    report.vm_ = vm_id{"vm-2"};
    report.sequence_ = 1;
    report.vms_known_ = 290;
    apply_report(peers, load, report, now);
    CHECK(known_vms(peers) == 290);
    CHECK(known_vms(vm_peers{}) == 1);
}
