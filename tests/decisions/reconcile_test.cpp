#include <algorithm>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using std::chrono::seconds;

namespace
{

const time_point start{};

holding make_holding(holding_kind kind, const char* id, const char* request, const char* holder)
{
    return {{kind, id}, request_id{request}, attempt_number{1}, vm_id{holder}, token_count{100}, milliseconds{0}};
}

holder_condition condition_of(const vm_id& holder)
{
    if (holder == vm_id{"dead"})
    {
        return holder_condition::dead;
    }
    return holder == vm_id{"remote"} ? holder_condition::remote : holder_condition::live;
}

std::map<grant_id, grant> grants_of(const char* request, const char* holder)
{
    grant entry;
    entry.id_ = grant_id{"g"};
    entry.entry_.request_ = request_id{request};
    entry.entry_.holder_ = vm_id{holder};
    entry.granted_at_ = start;
    return {{entry.id_, entry}};
}

struct owner
{
    reconcile_state state_ = make_reconcile_state(start);
    std::vector<holding> held_;
    std::map<grant_id, grant> grants_;

    reconcile_plan round(seconds now)
    {
        return reconcile(state_, held_, grants_, condition_of, start + now);
    }
};

}  // namespace

TEST_CASE("a new owner releases nothing before the grace period for re-announcements has passed")
{
    owner self;
    self.held_ = {make_holding(holding_kind::request, "r", "r", "dead")};
    REQUIRE(self.round(seconds{1}).release_.empty());
    REQUIRE(self.round(seconds{2}).release_.size() == 1);
}

TEST_CASE("releases of resources of a dead VM are repeated until the engine acknowledges them")
{
    owner self;
    self.held_ = {make_holding(holding_kind::reservation, "v", "r", "dead"),
                  make_holding(holding_kind::kv_export, "e", "r", "dead")};
    REQUIRE(self.round(seconds{2}).release_.size() == 2);
    REQUIRE(self.round(seconds{4}).release_.size() == 2);
    mark_released(self.state_, {holding_kind::reservation, "v"});
    self.held_.erase(self.held_.begin());
    const reconcile_plan plan = self.round(seconds{6});
    REQUIRE(plan.release_.size() == 1);
    REQUIRE(plan.release_.front().key_.id_ == "e");
    self.held_.clear();
    REQUIRE(self.round(seconds{8}).release_.empty());
    REQUIRE(self.state_.releasing_.empty());
}

TEST_CASE("a resource without a grant is kept until its live holder says that it does not want it")
{
    owner self;
    const std::vector asked{request_id{"r"}};
    self.held_ = {make_holding(holding_kind::request, "r", "r", "live")};
    reconcile_plan plan = self.round(seconds{2});
    REQUIRE(plan.release_.empty());
    REQUIRE(plan.ask_.at(vm_id{"live"}) == asked);
    REQUIRE(self.round(seconds{3}).ask_.empty());

    SECTION("a request that its holder still wants is not released, and the holder is asked again")
    {
        // Otherwise a running request would be cut off.
        apply_wanted_reply(self.state_, asked, {request_id{"r"}}, start + seconds{3});
        plan = self.round(seconds{4});
        REQUIRE(plan.release_.empty());
        REQUIRE(plan.ask_.size() == 1);
    }
    SECTION("a request that its holder does not want is released, so that its memory is freed")
    {
        apply_wanted_reply(self.state_, asked, {}, start + seconds{3});
        REQUIRE(self.round(seconds{4}).release_.size() == 1);
    }
}

TEST_CASE("a resource of a remote VM is released when its grant has ended")
{
    owner self;
    self.held_ = {make_holding(holding_kind::request, "r", "r", "remote")};
    self.grants_ = grants_of("r", "remote");
    REQUIRE(self.round(seconds{2}).release_.empty());
    self.grants_.clear();
    REQUIRE(self.round(seconds{4}).release_.size() == 1);
}

TEST_CASE("a grant whose release was lost is ended, so that its capacity is freed")
{
    owner self;
    SECTION("if the holder is dead, the grant is ended at once")
    {
        self.grants_ = grants_of("r", "dead");
        REQUIRE(self.round(seconds{2}).end_grants_.size() == 1);
    }
    SECTION("if the holder is live, it is asked before the grant is ended")
    {
        self.grants_ = grants_of("r", "live");
        reconcile_plan plan = self.round(seconds{2});
        REQUIRE(plan.end_grants_.empty());
        apply_wanted_reply(self.state_, plan.ask_.at(vm_id{"live"}), {}, start + seconds{3});
        REQUIRE(self.round(seconds{4}).end_grants_.size() == 1);
    }
    SECTION("a new grant whose request has not reached the engine yet is kept without asking")
    {
        self.grants_ = grants_of("r", "live");
        self.grants_.begin()->second.granted_at_ = start + seconds{1};
        REQUIRE(self.round(seconds{2}).ask_.empty());
    }
}
