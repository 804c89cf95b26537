#include <algorithm>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using std::chrono::seconds;

namespace
{

const time_point start{};

holding held(holding_kind kind, const char* id, const char* request, const char* holder)
{
    return {{kind, id}, request_id{request}, attempt_number{1}, vm_id{holder}, token_count{100}, milliseconds{0}};
}

holder_condition condition_of(const vm_id& holder)
{
    if (holder == vm_id{"dead"})
    {
        return holder_condition::dead;
    }
    return holder == vm_id{"far"} ? holder_condition::remote : holder_condition::live;
}

std::map<grant_id, grant> grants_of(const char* request, const char* holder)
{
    grant given;
    given.id_ = grant_id{"g"};
    given.entry_.request_ = request_id{request};
    given.entry_.holder_ = vm_id{holder};
    given.granted_at_ = start;
    return {{given.id_, given}};
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

TEST_CASE("a new owner cancels nothing before the re-announcements have arrived")
{
    owner self;
    self.held_ = {held(holding_kind::request, "r", "r", "dead")};
    REQUIRE(self.round(seconds{1}).release_.empty());
    REQUIRE(self.round(seconds{2}).release_.size() == 1);
}

TEST_CASE("memory that is held for a dead VM is released until the engine acknowledges")
{
    owner self;
    self.held_ = {held(holding_kind::reservation, "v", "r", "dead"), held(holding_kind::kv_export, "e", "r", "dead")};
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

TEST_CASE("a holding without a grant is kept only as long as its live holder wants it")
{
    owner self;
    const std::vector asked{request_id{"r"}};
    self.held_ = {held(holding_kind::request, "r", "r", "live")};
    reconcile_plan plan = self.round(seconds{2});
    REQUIRE(plan.release_.empty());
    REQUIRE(plan.ask_.at(vm_id{"live"}) == asked);
    REQUIRE(self.round(seconds{3}).ask_.empty());

    SECTION("a request that its holder still wants must not be cut off")
    {
        apply_wanted_reply(self.state_, asked, {request_id{"r"}}, start + seconds{3});
        plan = self.round(seconds{4});
        REQUIRE(plan.release_.empty());
        REQUIRE(plan.ask_.size() == 1);
    }
    SECTION("an unwanted one would occupy memory for ever")
    {
        apply_wanted_reply(self.state_, asked, {}, start + seconds{3});
        REQUIRE(self.round(seconds{4}).release_.size() == 1);
    }
}

TEST_CASE("a holding of a VM elsewhere lasts as long as its grant")
{
    owner self;
    self.held_ = {held(holding_kind::request, "r", "r", "far")};
    self.grants_ = grants_of("r", "far");
    REQUIRE(self.round(seconds{2}).release_.empty());
    self.grants_.clear();
    REQUIRE(self.round(seconds{4}).release_.size() == 1);
}

TEST_CASE("a grant whose release was lost would take capacity for ever")
{
    owner self;
    SECTION("holder dead")
    {
        self.grants_ = grants_of("r", "dead");
        REQUIRE(self.round(seconds{2}).end_grants_.size() == 1);
    }
    SECTION("holder live: it is asked first")
    {
        self.grants_ = grants_of("r", "live");
        reconcile_plan plan = self.round(seconds{2});
        REQUIRE(plan.end_grants_.empty());
        apply_wanted_reply(self.state_, plan.ask_.at(vm_id{"live"}), {}, start + seconds{3});
        REQUIRE(self.round(seconds{4}).end_grants_.size() == 1);
    }
    SECTION("a grant just given whose request has not reached the engine is left alone")
    {
        self.grants_ = grants_of("r", "live");
        self.grants_.begin()->second.granted_at_ = start + seconds{1};
        REQUIRE(self.round(seconds{2}).ask_.empty());
    }
}
