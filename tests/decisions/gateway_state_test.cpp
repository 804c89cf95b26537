#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const time_point start{std::chrono::hours{1}};

listed_server entry(const std::string& id, std::uint64_t born, server_state state = server_state::ready)
{
    listed_server made;
    made.id_ = server_id{id};
    made.service_ = service_id{"s"};
    made.address_ = socket_address{"10.0.0.1:80"};
    made.started_at_ms_ = born;
    made.state_ = state;
    return made;
}

load_report report(std::uint64_t sequence, std::vector<reported_work> work)
{
    load_report made;
    made.vm_ = vm_id{"vm-2"};
    made.incarnation_ = incarnation{5};
    made.sequence_ = sequence;
    made.address_ = socket_address{"10.0.0.2:7340"};
    made.work_ = std::move(work);
    return made;
}

reported_work running(std::uint64_t key)
{
    engine_work work;
    work.key_ = execution_id{key};
    work.prompt_ = token_count{5000};
    work.prefill_left_ = work.prompt_;
    return {server_id{"a"}, work};
}

}  // namespace

TEST_CASE("the longest prefix that ends at a slash selects the route")
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

TEST_CASE("requests are divided among services by weight")
{
    route split;
    split.services_ = {{service_id{"s1"}, 90}, {service_id{"s2"}, 10}};
    CHECK(*pick_service(split, 0.0) == service_id{"s1"});
    CHECK(*pick_service(split, 0.89) == service_id{"s1"});
    CHECK(*pick_service(split, 0.91) == service_id{"s2"});
    CHECK(pick_service(route{}, 0.5) == nullptr);
}

TEST_CASE("a server that starts again under its id is not blamed for what was before")
{
    server_directory directory;
    CHECK(upsert_listed_server(directory, entry("a", 1), log_offset{1}, start));
    auto& server = directory.servers_.at(server_id{"a"});
    record_failure(server, start);
    CHECK_FALSE(upsert_listed_server(directory, entry("a", 1), log_offset{2}, start));
    CHECK(server.avoid_until_ > start);
    CHECK(upsert_listed_server(directory, entry("a", 2), log_offset{3}, start));
    CHECK(server.avoid_until_ <= start);
}

TEST_CASE("an entry from before a removal does not bring the server back")
{
    server_directory directory;
    upsert_listed_server(directory, entry("a", 1), log_offset{5}, start);
    CHECK_FALSE(remove_listed_server(directory, server_id{"a"}, log_offset{4}));
    CHECK(remove_listed_server(directory, server_id{"a"}, log_offset{6}));
    CHECK_FALSE(upsert_listed_server(directory, entry("a", 1), log_offset{5}, start));
    CHECK_FALSE(any_ready(directory));
    CHECK(upsert_listed_server(directory, entry("a", 1), log_offset{7}, start));
    CHECK(any_ready(directory));
}

TEST_CASE("a draining server gets no new work")
{
    server_directory directory;
    upsert_listed_server(directory, entry("a", 1), log_offset{1}, start);
    CHECK(upsert_listed_server(directory, entry("a", 1, server_state::draining), log_offset{2}, start));
    CHECK(ready_servers(directory, service_id{"s"}).empty());
}

TEST_CASE("repeats of all VMs together stay within the budget while none hears of another")
{
    constexpr std::size_t vms = 9;
    constexpr int requests = 20;
    std::size_t repeats = 0;
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
            ++repeats;
        }
        CHECK_FALSE(can_retry(budget, service_id{"s"}, start));
        CHECK(can_retry(budget, service_id{"s"}, start + budget.bound_.window_ + milliseconds{1}));
    }
    CHECK(static_cast<double>(repeats) <= 0.2 * requests * vms + 100);
    CHECK(repeats > 0);
}

TEST_CASE("a fleet larger than the settings expect divides the budget among all its VMs")
{
    // The budget was divided by twelve on deployments of 73 VMs, which allowed six times the bound.
    constexpr std::size_t running = 97;
    std::size_t repeats = 0;
    for (std::size_t vm = 0; vm < running; ++vm)
    {
        shared_retry_budget budget;
        budget.bound_.extra_ = 222;
        budget.vms_ = 12;
        update_fleet_size(budget, 73);
        update_fleet_size(budget, 5);
        while (take_retry(budget, service_id{"s"}, start))
        {
            ++repeats;
        }
    }
    CHECK(repeats <= 222);
    CHECK(repeats > 0);
}

TEST_CASE("a report replaces what its VM reported before, and an older one changes nothing")
{
    vm_peers peers;
    fleet_load load;
    CHECK(apply_report(peers, load, report(1, {running(1), running(2)}), start));
    CHECK(load.engines_.at(server_id{"a"}).work_.size() == 2);
    CHECK(apply_report(peers, load, report(3, {running(2)}), start));
    REQUIRE(load.engines_.at(server_id{"a"}).work_.size() == 1);
    CHECK(load.engines_.at(server_id{"a"}).work_.front().key_ == execution_id{2});
    CHECK_FALSE(apply_report(peers, load, report(2, {running(1)}), start));
    CHECK(load.engines_.at(server_id{"a"}).work_.size() == 1);
}

TEST_CASE("the load of a VM that fell silent is dropped once")
{
    vm_peers peers;
    fleet_load load;
    apply_report(peers, load, report(1, {running(1)}), start);
    CHECK(drop_load_of_silent_peers(peers, load, milliseconds{1500}, start + milliseconds{1000}).empty());
    CHECK(drop_load_of_silent_peers(peers, load, milliseconds{1500}, start + milliseconds{1600}).size() == 1);
    CHECK(load.engines_.at(server_id{"a"}).work_.empty());
    CHECK(drop_load_of_silent_peers(peers, load, milliseconds{1500}, start + milliseconds{1700}).empty());
}
