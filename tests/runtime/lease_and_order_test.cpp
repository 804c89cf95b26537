#include <catch2/catch.hpp>

#include "runtime/fake_world.hpp"

using namespace cornelstall;
using namespace std::chrono_literals;

namespace
{

/// Two VMs that compete for the lease and order one engine.
struct world
{
    testing::fake_clock clock_;
    testing::fake_log log_{clock_};
    metrics metrics_;
    engine_state engine_;
    std::shared_ptr<configuration> configuration_ = std::make_shared<configuration>();
    std::vector<std::shared_ptr<lease_keeper>> keepers_;
    std::vector<std::shared_ptr<order_giver>> givers_;
    std::vector<std::pair<std::size_t, given_order>> orders_;  ///< by giver
    std::vector<time_point> ordered_at_;
    int read_backs_ = 0;
    order_answer answer_ = order_answer::taken;

    explicit world(bool checks_fencing)
    {
        engine_.id_ = engine_id{"e"};
        engine_.condition_ = engine_condition::ready;
        engine_.checks_fencing_ = checks_fencing;
        configuration_->fleet_.models_[model_id{"m"}] = {model_id{"m"}, model_version{"1"}, {}, token_count{1}, 1};
        add_vm("a");
        add_vm("b");
    }

    void add_vm(const char* name)
    {
        const std::size_t index = keepers_.size();
        keepers_.push_back(
            make_lease_keeper(log_.stream(), clock_.clock(), metrics_, vm_id{name}, data_centre_id{"dc"}));
        auto giver = std::make_shared<order_giver>();
        giver->lease_ = keepers_.back();
        giver->clock_ = clock_.clock();
        giver->metrics_ = &metrics_;
        giver->calls_.engines_ = [this] {
            return std::vector{engine_};
        };
        giver->calls_.configuration_ = [this] {
            return configuration_;
        };
        giver->calls_.demand_ = [] {
            return std::map<model_id, demand_sample>{};
        };
        giver->calls_.free_transfers_ = []() -> task<std::optional<int>> {
            co_return 1;
        };
        giver->calls_.read_back_ = [this](const engine_id&) {
            return read_back();
        };
        giver->calls_.send_ = [this, index](given_order order) {
            return obey(index, std::move(order));
        };
        giver->calls_.set_drained_ = [](const std::vector<engine_id>&) {
        };
        givers_.push_back(giver);
        clock_.start(keep_lease(keepers_.back()));
        clock_.start(give_orders(giver));
    }

    task<std::optional<engine_load>> read_back()
    {
        ++read_backs_;
        co_return engine_.load_;
    }

    task<order_answer> obey(std::size_t giver, given_order order)
    {
        orders_.emplace_back(giver, std::move(order));
        ordered_at_.push_back(clock_.now());
        co_return answer_;
    }

    [[nodiscard]] std::size_t holders() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            keepers_, [](const auto& keeper) { return permission(*keeper, true, {}) == order_permission::allowed; }));
    }

    [[nodiscard]] std::size_t holder() const
    {
        return permission(*keepers_[0], true, {}) == order_permission::allowed ? 0 : 1;
    }
};

}  // namespace

TEST_CASE("one VM gets the lease, keeps it by renewals and gives each order once")
{
    world all(true);
    all.clock_.advance(30s);
    REQUIRE(all.holders() == 1);
    const std::size_t first = all.holder();
    all.clock_.advance(60s);
    REQUIRE(all.holder() == first);
    REQUIRE(all.orders_.size() == 1);
    REQUIRE(all.orders_.front().second.fencing_.get() > 0);
}

TEST_CASE("without the log the lease runs out, and nobody gives orders until the log is back")
{
    world all(true);
    all.clock_.advance(10s);
    REQUIRE(all.holders() == 1);
    all.log_.down_ = true;
    all.clock_.advance(15s);
    REQUIRE(all.holders() == 0);
    all.clock_.advance(100s);
    REQUIRE(all.holders() == 0);
    all.log_.down_ = false;
    all.clock_.advance(30s);
    REQUIRE(all.holders() == 1);
}

TEST_CASE("a holder that stops releases the lease, so that orders do not pause for its whole time")
{
    world all(true);
    all.clock_.advance(10s);
    const std::size_t first = all.holder();
    stop(*all.keepers_[first]);
    REQUIRE(all.holders() == 0);
    all.clock_.advance(8s);
    REQUIRE(all.holders() == 1);
    REQUIRE(all.holder() != first);
}

TEST_CASE("an engine that ignores fencing numbers gets orders of a new holder only after a wait and a read-back")
{
    world all(false);
    all.clock_.advance(5s);
    REQUIRE(all.orders_.empty());
    all.clock_.advance(10s);
    REQUIRE(all.orders_.size() == 1);
    REQUIRE(all.read_backs_ >= 1);
    all.answer_ = order_answer::refused;
    all.givers_[all.holder()]->planner_.pending_.clear();
    const std::size_t first = all.holder();
    all.clock_.advance(5s);
    stop(*all.keepers_[first]);
    all.clock_.advance(30s);
    const auto next = std::ranges::find_if(all.orders_, [&](const auto& order) { return order.first != first; });
    REQUIRE(next != all.orders_.end());
    const auto index = static_cast<std::size_t>(std::distance(all.orders_.begin(), next));
    REQUIRE(all.ordered_at_[index] - all.ordered_at_[index - 1] >= max_order_execution_time);
    REQUIRE(next->second.fencing_ > all.orders_.front().second.fencing_);
}

TEST_CASE("an order without an answer may be in execution and is not repeated at once")
{
    world all(true);
    all.answer_ = order_answer::unknown;
    all.clock_.advance(60s);
    REQUIRE(all.orders_.size() == 1);
    all.answer_ = order_answer::taken;
    all.clock_.advance(120s);
    REQUIRE(all.orders_.size() == 2);
}

TEST_CASE("releases are repeated until the engine acknowledges, and unwanted memory goes in the same round")
{
    testing::fake_clock clock;
    metrics counters;
    bool acknowledges = false;
    std::vector<holding> held{
        {{holding_kind::reservation, "v"}, request_id{"r"}, {}, vm_id{"dead"}, token_count{1}, 0ms},
        {{holding_kind::request, "s"}, request_id{"s"}, {}, vm_id{"live"}, token_count{1}, 0ms}};
    std::vector<std::string> released;
    reconciler_calls calls;
    calls.list_ = [&]() -> task<std::optional<std::vector<holding>>> {
        co_return held;
    };
    calls.release_ = [&](holding entry) -> task<bool> {
        released.push_back(entry.key_.id_);
        if (acknowledges)
        {
            std::erase_if(held, [&](const holding& other) { return other.key_ == entry.key_; });
        }
        co_return acknowledges;
    };
    calls.ask_ = [](const vm_id&, const std::vector<request_id>&) -> task<std::optional<std::set<request_id>>> {
        co_return std::set<request_id>{};
    };
    calls.grants_ = [] {
        return std::map<grant_id, grant>{};
    };
    calls.end_grant_ = [](const grant_id&) {
    };
    calls.condition_of_ = [](const vm_id& holder) {
        return holder == vm_id{"dead"} ? holder_condition::dead : holder_condition::live;
    };
    const auto self = make_reconciler(calls, clock.clock(), counters);
    clock.start(reconcile_engine(self));
    clock.advance(1'900ms);
    REQUIRE(released.empty());
    clock.advance(200ms);
    REQUIRE(std::ranges::count(released, "s") == 1);
    REQUIRE(std::ranges::count(released, "v") >= 1);
    acknowledges = true;
    clock.advance(2s);
    REQUIRE(held.empty());
    const auto count = released.size();
    clock.advance(10s);
    REQUIRE(released.size() == count);
}
