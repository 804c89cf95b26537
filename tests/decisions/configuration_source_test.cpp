#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const time_point now{std::chrono::hours{1}};

void add(vm_peers& peers, const std::string& name, std::uint64_t version, const std::string& data_centre,
         milliseconds silent = milliseconds{10})
{
    auto& peer = peers.peers_[vm_id{name}];
    peer.version_ = configuration_version{version};
    peer.data_centre_ = data_centre_id{data_centre};
    peer.heard_at_ = now - silent;
}

}  // namespace

TEST_CASE("a newer configuration is got from a VM of the own data centre when one has it")
{
    vm_peers peers;
    add(peers, "a", 7, "dc-1");
    add(peers, "b", 7, "dc-2");
    add(peers, "c", 6, "dc-1");
    const auto source = [&peers](std::uint64_t own, const std::string& data_centre) {
        return choose_configuration_source(peers, data_centre_id{data_centre}, configuration_version{own}, 0.99, now);
    };
    CHECK(source(6, "dc-1") == vm_id{"a"});
    CHECK(source(6, "dc-2") == vm_id{"b"});
    CHECK(source(6, "dc-3") == vm_id{"b"});
    CHECK(source(7, "dc-1") == std::nullopt);
}

TEST_CASE("a VM that has been silent is not asked for a configuration")
{
    vm_peers peers;
    add(peers, "a", 7, "dc-1", milliseconds{5000});
    CHECK(choose_configuration_source(peers, data_centre_id{"dc-1"}, configuration_version{6}, 0.0, now) ==
          std::nullopt);
}

TEST_CASE("transfers of documents keep to their budget, and one larger than it passes once a second")
{
    transfer_budget budget{byte_count{1000}, {}, {}};
    CHECK(take_transfer(budget, byte_count{400}, now));
    CHECK(take_transfer(budget, byte_count{600}, now));
    CHECK_FALSE(take_transfer(budget, byte_count{1}, now));
    CHECK(take_transfer(budget, byte_count{5000}, now + milliseconds{1000}));
    CHECK_FALSE(take_transfer(budget, byte_count{5000}, now + milliseconds{1500}));
}

TEST_CASE("a report of a process that started after its clock was set back is accepted once the VM was silent")
{
    vm_peers peers;
    fleet_load load;
    load_report report;
    report.vm_ = vm_id{"a"};
    report.incarnation_ = incarnation{2000};
    report.sequence_ = 50;
    REQUIRE(apply_report(peers, load, report, now));
    report.incarnation_ = incarnation{1000};
    report.sequence_ = 1;
    CHECK_FALSE(apply_report(peers, load, report, now + milliseconds{200}));
    CHECK(apply_report(peers, load, report, now + milliseconds{2000}));
}

TEST_CASE("VMs that cannot read the log come after all that can in the order of readers")
{
    vm_peers peers;
    for (const char* const name : {"a", "b", "c"})
    {
        add(peers, name, 1, "dc-1");
        peers.peers_[vm_id{name}].log_reachable_ = true;
    }
    constexpr milliseconds limit{1000};
    CHECK(log_reader_position(peers, vm_id{"x"}, false, limit, now) == 3);
    CHECK(log_reader_position(peers, vm_id{"x"}, true, limit, now) < 4);
    std::ranges::for_each(peers.peers_, [](auto& entry) { entry.second.log_reachable_ = false; });
    CHECK(log_reader_position(peers, vm_id{"x"}, true, limit, now) == 0);
}
