#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using std::chrono::seconds;

namespace
{

/// A fleet of engines that execute orders immediately, with the planner for it.
struct engine_fleet
{
    order_planner planner_;
    fleet_policy policy_;
    std::deque<engine_state> engines_;
    int transfers_ = 10;

    void declare(const char* model, const char* version, int min_ready)
    {
        policy_.models_[model_id{model}] = {
            model_id{model}, model_version{version}, {}, token_count{1'000'000}, min_ready};
    }

    engine_state& add(const char* id, const char* model = nullptr, const char* version = "1")
    {
        engine_state& engine = engines_.emplace_back();
        engine.id_ = engine_id{id};
        engine.condition_ = engine_condition::ready;
        engine.load_.slots_ = 10;
        engine.load_.decode_rate_ = token_rate{10.0};
        engine.load_.prefill_rate_ = token_rate{1000.0};
        if (model != nullptr)
        {
            engine.load_.models_ = {{model_id{model}, model_version{version}, {}}};
        }
        return engine;
    }

    void demand(const char* model, double engines, seconds now, double worth = 1.0)
    {
        add_demand_sample(planner_, model_id{model}, {token_rate{0.0}, token_rate{engines * 100.0}, worth},
                          time_point{} + now);
    }

    order_plan plan(seconds now)
    {
        std::vector<const engine_state*> engines;
        std::ranges::transform(engines_, std::back_inserter(engines),
                               [](const engine_state& engine) { return &engine; });
        return plan_orders(planner_, {engines, &policy_, transfers_, time_point{} + now});
    }

    void execute(const planned_order& order, seconds now)
    {
        mark_order_sent(planner_, order, time_point{} + now);
        engine_state& engine = *std::ranges::find(engines_, order.engine_, &engine_state::id_);
        if (order.kind_ == order_kind::load_model)
        {
            engine.load_.models_.push_back({order.model_, order.version_, {}});
        }
        else if (order.kind_ == order_kind::unload_model)
        {
            engine.load_.models_.clear();
        }
        else if (order.kind_ == order_kind::load_adapter)
        {
            engine.load_.models_.front().adapters_.insert(order.adapter_);
        }
        else
        {
            engine.load_.role_ = order.role_;
        }
    }

    /// Runs one round per second. In each round all engines report and execute their orders immediately.
    /// @return the number of orders
    int run(seconds from, seconds until)
    {
        int orders = 0;
        for (seconds now = from; now < until; now += seconds{1})
        {
            std::ranges::for_each(engines_, [&](engine_state& engine) { engine.reported_at_ = time_point{} + now; });
            std::ranges::for_each(plan(now).orders_, [&](const planned_order& order) {
                execute(order, now);
                ++orders;
            });
        }
        return orders;
    }

    [[nodiscard]] std::ptrdiff_t loaded(const char* model, const char* version = "1") const
    {
        return std::ranges::count_if(engines_, [&](const engine_state& engine) {
            return std::ranges::any_of(engine.load_.models_, [&](const loaded_model& loaded) {
                return loaded.name_ == model_id{model} && loaded.version_ == model_version{version};
            });
        });
    }
};

}  // namespace

TEST_CASE("without demand, min_ready engines are loaded, with a limited number of orders per round")
{
    engine_fleet fleet;
    fleet.declare("m", "1", 6);
    std::ranges::for_each(std::vector{"a", "b", "c", "d", "e", "f", "g"}, [&](const char* id) { fleet.add(id); });
    REQUIRE(fleet.plan(seconds{0}).orders_.size() == max_orders_per_round);
    fleet.run(seconds{0}, seconds{5});
    REQUIRE(fleet.loaded("m") == 6);
    REQUIRE(fleet.run(seconds{5}, seconds{100}) == 0);
}

TEST_CASE("an order whose effect is not reported is repeated only after the timeout")
{
    engine_fleet fleet;
    fleet.declare("m", "1", 1);
    fleet.add("a");
    const order_plan first = fleet.plan(seconds{0});
    REQUIRE(first.orders_.size() == 1);
    mark_order_sent(fleet.planner_, first.orders_.front(), time_point{});
    REQUIRE(fleet.plan(seconds{1}).orders_.empty());
    REQUIRE(fleet.plan(seconds{121}).orders_.size() == 1);
}

TEST_CASE("the number of engines follows the demand without oscillation")
{
    engine_fleet fleet;
    fleet.declare("m", "1", 1);
    fleet.add("a", "m");
    fleet.add("b");
    fleet.add("c");
    fleet.demand("m", 0.79, seconds{0});
    REQUIRE(fleet.run(seconds{0}, seconds{100}) == 0);
    fleet.demand("m", 1.5, seconds{100});
    fleet.run(seconds{100}, seconds{110});
    REQUIRE(fleet.loaded("m") == 2);

    SECTION("after less than 60 s of low utilization, no engine is unloaded")
    {
        // Otherwise a short dip in demand would unload weights that are needed again a moment later.
        fleet.demand("m", 0.1, seconds{200});
        fleet.run(seconds{200}, seconds{255});
        fleet.demand("m", 1.5, seconds{300});
        fleet.run(seconds{300}, seconds{400});
        REQUIRE(fleet.loaded("m") == 2);
    }
    SECTION("after 60 s of low utilization, one engine is drained and then unloaded")
    {
        fleet.demand("m", 0.1, seconds{200});
        std::ranges::for_each(fleet.engines_, [](engine_state& engine) { engine.load_.running_ = 1; });
        fleet.run(seconds{200}, seconds{300});
        REQUIRE(fleet.loaded("m") == 2);
        REQUIRE(fleet.plan(seconds{300}).drain_.size() == 1);
        std::ranges::for_each(fleet.engines_, [](engine_state& engine) { engine.load_.running_ = 0; });
        fleet.run(seconds{300}, seconds{500});
        REQUIRE(fleet.loaded("m") == 1);
    }
}

TEST_CASE("a single high sample raises the smoothed demand only partly")
{
    order_planner planner;
    add_demand_sample(planner, model_id{"m"}, {token_rate{0.0}, token_rate{100.0}}, time_point{});
    add_demand_sample(planner, model_id{"m"}, {token_rate{0.0}, token_rate{1100.0}}, time_point{} + seconds{1});
    const double smoothed = planner.demand_.at(model_id{"m"}).decode_.get();
    REQUIRE(smoothed > 100.0);
    REQUIRE(smoothed < 300.0);
}

TEST_CASE("with few free transfers, models below min_ready come first, then those of the highest worth")
{
    engine_fleet fleet;
    fleet.declare("cheap", "1", 0);
    fleet.declare("dear", "1", 0);
    fleet.declare("needed", "1", 1);
    std::ranges::for_each(std::vector{"a", "b", "c", "d"}, [&](const char* id) { fleet.add(id); });
    fleet.demand("cheap", 2.0, seconds{0}, 1.0);
    fleet.demand("dear", 2.0, seconds{0}, 10.0);
    fleet.transfers_ = 2;
    const order_plan plan = fleet.plan(seconds{0});
    REQUIRE(plan.orders_.size() == 2);
    REQUIRE(plan.orders_[0].model_ == model_id{"needed"});
    REQUIRE(plan.orders_[1].model_ == model_id{"dear"});
}

TEST_CASE("during a version change, at least min_ready engines stay in service")
{
    engine_fleet fleet;
    fleet.declare("m", "2", 2);
    fleet.add("a", "m");
    fleet.add("b", "m");
    SECTION("with a spare engine, all engines are updated one after another")
    {
        fleet.add("c");
        for (seconds now{0}; now < seconds{60}; now += seconds{1})
        {
            fleet.run(now, now + seconds{1});
            const auto drained = static_cast<std::ptrdiff_t>(fleet.plan(now).drain_.size());
            REQUIRE(fleet.loaded("m", "1") + fleet.loaded("m", "2") - drained >= 2);
        }
        REQUIRE(fleet.loaded("m", "2") == 2);
        REQUIRE(fleet.loaded("m", "1") == 0);
    }
    SECTION("without a spare engine, the old version stays and the plan lists the model as outdated")
    {
        REQUIRE(fleet.run(seconds{0}, seconds{60}) == 0);
        REQUIRE(fleet.plan(seconds{60}).outdated_ == std::vector{model_id{"m"}});
    }
}

TEST_CASE("a model below min_ready takes an engine from a model that has more")
{
    engine_fleet fleet;
    fleet.declare("m", "1", 1);
    fleet.declare("n", "1", 1);
    fleet.add("a", "m");
    fleet.add("b", "m");
    fleet.demand("m", 1.5, seconds{0});
    REQUIRE(fleet.plan(seconds{0}).below_min_ready_ == std::vector{model_id{"n"}});
    fleet.run(seconds{0}, seconds{60});
    REQUIRE(fleet.loaded("n") == 1);
    REQUIRE(fleet.loaded("m") == 1);
}

TEST_CASE("a declared adapter is loaded on an engine that serves its model, without a drain")
{
    engine_fleet fleet;
    fleet.declare("m", "1", 1);
    fleet.policy_.models_.begin()->second.adapters_ = {adapter_id{"x"}};
    fleet.add("a", "m");
    const order_plan plan = fleet.plan(seconds{0});
    REQUIRE(plan.orders_.size() == 1);
    REQUIRE(plan.orders_.front().adapter_ == adapter_id{"x"});
    REQUIRE(plan.drain_.empty());
}

TEST_CASE("with a high share of prefill, an engine gets the prefill role, and with a low share all are mixed again")
{
    engine_fleet fleet;
    fleet.declare("m", "1", 1);
    std::ranges::for_each(std::vector{"a", "b", "c", "d"}, [&](const char* id) { fleet.add(id, "m"); });
    add_demand_sample(fleet.planner_, model_id{"m"}, {token_rate{2000.0}, token_rate{20.0}}, time_point{});
    fleet.run(seconds{0}, seconds{20});
    const auto prefilling = [&] {
        return std::ranges::count(fleet.engines_, engine_role::prefill,
                                  [](const engine_state& engine) { return engine.load_.role_; });
    };
    REQUIRE(prefilling() == 1);
    add_demand_sample(fleet.planner_, model_id{"m"}, {token_rate{0.0}, token_rate{200.0}}, time_point{} + seconds{100});
    fleet.run(seconds{100}, seconds{120});
    REQUIRE(prefilling() == 0);
}
