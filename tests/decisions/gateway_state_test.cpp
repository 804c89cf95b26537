#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point start{std::chrono::hours{1}};

listed_server make_server(const std::string& id, std::uint64_t started_at_ms, server_state state = server_state::ready)
{
    listed_server result;
    result.id_ = server_id{id};
    result.service_ = service_id{"s"};
    result.address_ = socket_address{"10.0.0.1:80"};
    result.started_at_ms_ = started_at_ms;
    result.state_ = state;
    return result;
}

load_report make_report(std::uint64_t sequence, std::vector<reported_work> work)
{
    load_report result;
    result.vm_ = vm_id{"vm-2"};
    result.incarnation_ = incarnation{5};
    result.sequence_ = sequence;
    result.address_ = socket_address{"10.0.0.2:7340"};
    result.work_ = std::move(work);
    return result;
}

reported_work make_work(std::uint64_t key)
{
    engine_work work;
    work.key_ = execution_id{key};
    work.prompt_ = token_count{5000};
    work.prefill_left_ = work.prompt_;
    return {server_id{"a"}, work};
}

}  // namespace

TEST_CASE("the route with the longest matching path prefix that ends at a slash is selected")
{
    routing_table table;
    const auto add = [&table](const std::string& prefix) {
        route added;
        added.host_ = "h";
        added.path_prefix_ = prefix;
        add_route(table, added);
    };
    add("/a/");
    add("/a/b/");
    CHECK(find_route(table, "h", "/a/b/c")->path_prefix_ == "/a/b/");
    CHECK(find_route(table, "h", "/a/b")->path_prefix_ == "/a/");
    CHECK(find_route(table, "h", "/a/")->path_prefix_ == "/a/");
    CHECK(find_route(table, "h", "/ab/") == nullptr);
    CHECK(find_route(table, "h", "") == nullptr);
    CHECK(find_route(table, "other", "/a/") == nullptr);
}

TEST_CASE("requests are distributed among services by weight")
{
    route split;
    split.services_ = {{service_id{"s1"}, 90}, {service_id{"s2"}, 10}};
    CHECK(*pick_service(split, 0.0) == service_id{"s1"});
    CHECK(*pick_service(split, 0.89) == service_id{"s1"});
    CHECK(*pick_service(split, 0.91) == service_id{"s2"});
    CHECK(pick_service(route{}, 0.5) == nullptr);
}

TEST_CASE("a server that restarts under the same id has no back-off from earlier failures")
{
    server_directory directory;
    CHECK(upsert_listed_server(directory, make_server("a", 1), at_offset(1), start));
    auto& server = directory.servers_.at(server_id{"a"});
    record_failure(server, start);
    CHECK_FALSE(upsert_listed_server(directory, make_server("a", 1), at_offset(2), start));
    CHECK(server.avoid_until_ > start);
    CHECK(upsert_listed_server(directory, make_server("a", 2), at_offset(3), start));
    CHECK(server.avoid_until_ <= start);
}

TEST_CASE("an entry older than the removal of a server does not restore the server")
{
    server_directory directory;
    upsert_listed_server(directory, make_server("a", 1), at_offset(5), start);
    CHECK_FALSE(remove_listed_server(directory, server_id{"a"}, at_offset(4)));
    CHECK(remove_listed_server(directory, server_id{"a"}, at_offset(6)));
    CHECK_FALSE(upsert_listed_server(directory, make_server("a", 1), at_offset(5), start));
    CHECK_FALSE(any_ready(directory));
    CHECK(upsert_listed_server(directory, make_server("a", 1), at_offset(7), start));
    CHECK(any_ready(directory));
}

// Otherwise a draining server would get new requests.
TEST_CASE("a draining server is not among the ready servers")
{
    server_directory directory;
    upsert_listed_server(directory, make_server("a", 1), at_offset(1), start);
    CHECK(upsert_listed_server(directory, make_server("a", 1, server_state::draining), at_offset(2), start));
    CHECK(ready_servers(directory, service_id{"s"}, start).empty());
}

TEST_CASE("retries of all VMs together stay within the bound without communication between the VMs")
{
    constexpr std::size_t vms = 9;
    constexpr int requests = 20;
    std::size_t retries = 0;
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        shared_retry_budget budget;
        budget.bound_.extra_ = 100;
        budget.vms_ = vms;
        for (int request = 0; request < requests; ++request)
        {
            record_request(budget, service_id{"s"}, start);
        }
        while (take_retry(budget, service_id{"s"}, start))
        {
            ++retries;
        }
        CHECK_FALSE(can_retry(budget, service_id{"s"}, start));
        CHECK(can_retry(budget, service_id{"s"}, start + budget.bound_.window_ + milliseconds{1}));
    }
    CHECK(static_cast<double>(retries) <= 0.2 * requests * vms + 100);
    CHECK(retries > 0);
}

TEST_CASE("a fleet larger than configured divides the retry budget among all its VMs")
{
    // Guards against dividing by the configured 12 VMs in a deployment of 73, which allowed six times the bound.
    constexpr std::size_t running_vms = 97;
    std::size_t retries = 0;
    for (std::size_t vm = 0; vm < running_vms; ++vm)
    {
        shared_retry_budget budget;
        budget.bound_.extra_ = 222;
        budget.vms_ = 12;
        update_fleet_size(budget, 73);
        update_fleet_size(budget, 5);
        while (take_retry(budget, service_id{"s"}, start))
        {
            ++retries;
        }
    }
    CHECK(retries <= 222);
    CHECK(retries > 0);
}

TEST_CASE("a load report replaces the previous one of its VM, and an older report is ignored")
{
    vm_peers peers;
    fleet_load load;
    CHECK(apply_report(peers, load, make_report(1, {make_work(1), make_work(2)}), start));
    CHECK(load.engines_.at(server_id{"a"}).work_.size() == 2);
    CHECK(apply_report(peers, load, make_report(3, {make_work(2)}), start));
    REQUIRE(load.engines_.at(server_id{"a"}).work_.size() == 1);
    CHECK(load.engines_.at(server_id{"a"}).work_.front().key_ == execution_id{2});
    CHECK_FALSE(apply_report(peers, load, make_report(2, {make_work(1)}), start));
    CHECK(load.engines_.at(server_id{"a"}).work_.size() == 1);
}

TEST_CASE("the load of a VM that stops reporting is dropped once")
{
    vm_peers peers;
    fleet_load load;
    apply_report(peers, load, make_report(1, {make_work(1)}), start);
    CHECK(drop_load_of_silent_peers(peers, load, milliseconds{1500}, start + milliseconds{1000}).empty());
    CHECK(drop_load_of_silent_peers(peers, load, milliseconds{1500}, start + milliseconds{1600}).size() == 1);
    CHECK(load.engines_.at(server_id{"a"}).work_.empty());
    CHECK(drop_load_of_silent_peers(peers, load, milliseconds{1500}, start + milliseconds{1700}).empty());
}
