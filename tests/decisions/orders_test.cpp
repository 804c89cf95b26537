#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using std::chrono::seconds;

namespace
{

/// Engines that obey at once, with the planner that orders them.
struct fleet
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

    void obey(const planned_order& order, seconds now)
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

    /// Runs a round each second; engines report in each of them and obey at once.
    int run(seconds from, seconds until)
    {
        int orders = 0;
        for (seconds now = from; now < until; now += seconds{1})
        {
            std::ranges::for_each(engines_, [&](engine_state& engine) { engine.reported_at_ = time_point{} + now; });
            std::ranges::for_each(plan(now).orders_, [&](const planned_order& order) {
                obey(order, now);
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

TEST_CASE("min_ready is loaded without demand, and a round gives a bounded number of orders")
{
    fleet all;
    all.declare("m", "1", 6);
    std::ranges::for_each(std::vector{"a", "b", "c", "d", "e", "f", "g"}, [&](const char* id) { all.add(id); });
    REQUIRE(all.plan(seconds{0}).orders_.size() == max_orders_per_round);
    all.run(seconds{0}, seconds{5});
    REQUIRE(all.loaded("m") == 6);
    REQUIRE(all.run(seconds{5}, seconds{100}) == 0);
}

TEST_CASE("an order is not repeated before its effect is reported")
{
    fleet all;
    all.declare("m", "1", 1);
    all.add("a");
    const order_plan first = all.plan(seconds{0});
    REQUIRE(first.orders_.size() == 1);
    mark_order_sent(all.planner_, first.orders_.front(), time_point{});
    REQUIRE(all.plan(seconds{1}).orders_.empty());
    REQUIRE(all.plan(seconds{121}).orders_.size() == 1);
}

TEST_CASE("engines follow demand without oscillation")
{
    fleet all;
    all.declare("m", "1", 1);
    all.add("a", "m");
    all.add("b");
    all.add("c");
    all.demand("m", 0.79, seconds{0});
    REQUIRE(all.run(seconds{0}, seconds{100}) == 0);
    all.demand("m", 1.5, seconds{100});
    all.run(seconds{100}, seconds{110});
    REQUIRE(all.loaded("m") == 2);

    SECTION("a short dip must not unload weights that are needed again a moment later")
    {
        all.demand("m", 0.1, seconds{200});
        all.run(seconds{200}, seconds{255});
        all.demand("m", 1.5, seconds{300});
        all.run(seconds{300}, seconds{400});
        REQUIRE(all.loaded("m") == 2);
    }
    SECTION("after 60 s of low use one engine is drained and then unloaded")
    {
        all.demand("m", 0.1, seconds{200});
        std::ranges::for_each(all.engines_, [](engine_state& engine) { engine.load_.running_ = 1; });
        all.run(seconds{200}, seconds{300});
        REQUIRE(all.loaded("m") == 2);
        REQUIRE(all.plan(seconds{300}).drain_.size() == 1);
        std::ranges::for_each(all.engines_, [](engine_state& engine) { engine.load_.running_ = 0; });
        all.run(seconds{300}, seconds{500});
        REQUIRE(all.loaded("m") == 1);
    }
}

TEST_CASE("the demand of a single sample is smoothed")
{
    order_planner planner;
    add_demand_sample(planner, model_id{"m"}, {token_rate{0.0}, token_rate{100.0}}, time_point{});
    add_demand_sample(planner, model_id{"m"}, {token_rate{0.0}, token_rate{1100.0}}, time_point{} + seconds{1});
    const double smoothed = planner.demand_.at(model_id{"m"}).decode_.get();
    REQUIRE(smoothed > 100.0);
    REQUIRE(smoothed < 300.0);
}

TEST_CASE("scarce transfers go to the models where they are worth most")
{
    fleet all;
    all.declare("cheap", "1", 0);
    all.declare("dear", "1", 0);
    all.declare("needed", "1", 1);
    std::ranges::for_each(std::vector{"a", "b", "c", "d"}, [&](const char* id) { all.add(id); });
    all.demand("cheap", 2.0, seconds{0}, 1.0);
    all.demand("dear", 2.0, seconds{0}, 10.0);
    all.transfers_ = 2;
    const order_plan plan = all.plan(seconds{0});
    REQUIRE(plan.orders_.size() == 2);
    REQUIRE(plan.orders_[0].model_ == model_id{"needed"});
    REQUIRE(plan.orders_[1].model_ == model_id{"dear"});
}

TEST_CASE("a version change keeps min_ready in service at every moment")
{
    fleet all;
    all.declare("m", "2", 2);
    all.add("a", "m");
    all.add("b", "m");
    SECTION("with a spare engine it rolls through all engines")
    {
        all.add("c");
        for (seconds now{0}; now < seconds{60}; now += seconds{1})
        {
            all.run(now, now + seconds{1});
            const auto drained = static_cast<std::ptrdiff_t>(all.plan(now).drain_.size());
            REQUIRE(all.loaded("m", "1") + all.loaded("m", "2") - drained >= 2);
        }
        REQUIRE(all.loaded("m", "2") == 2);
        REQUIRE(all.loaded("m", "1") == 0);
    }
    SECTION("without a spare engine the old version stays and the plan says so")
    {
        REQUIRE(all.run(seconds{0}, seconds{60}) == 0);
        REQUIRE(all.plan(seconds{60}).outdated_ == std::vector{model_id{"m"}});
    }
}

TEST_CASE("a model below min_ready takes an engine from a model that has more")
{
    fleet all;
    all.declare("m", "1", 1);
    all.declare("n", "1", 1);
    all.add("a", "m");
    all.add("b", "m");
    all.demand("m", 1.5, seconds{0});
    REQUIRE(all.plan(seconds{0}).below_min_ready_ == std::vector{model_id{"n"}});
    all.run(seconds{0}, seconds{60});
    REQUIRE(all.loaded("n") == 1);
    REQUIRE(all.loaded("m") == 1);
}

TEST_CASE("adapters are loaded on engines that serve their model")
{
    fleet all;
    all.declare("m", "1", 1);
    all.policy_.models_.begin()->second.adapters_ = {adapter_id{"x"}};
    all.add("a", "m");
    const order_plan plan = all.plan(seconds{0});
    REQUIRE(plan.orders_.size() == 1);
    REQUIRE(plan.orders_.front().adapter_ == adapter_id{"x"});
    REQUIRE(plan.drain_.empty());
}

TEST_CASE("engines of a model with mostly prefill are split into roles and mixed again afterwards")
{
    fleet all;
    all.declare("m", "1", 1);
    std::ranges::for_each(std::vector{"a", "b", "c", "d"}, [&](const char* id) { all.add(id, "m"); });
    add_demand_sample(all.planner_, model_id{"m"}, {token_rate{2000.0}, token_rate{20.0}}, time_point{});
    all.run(seconds{0}, seconds{20});
    const auto prefilling = [&] {
        return std::ranges::count(all.engines_, engine_role::prefill,
                                  [](const engine_state& engine) { return engine.load_.role_; });
    };
    REQUIRE(prefilling() == 1);
    add_demand_sample(all.planner_, model_id{"m"}, {token_rate{0.0}, token_rate{200.0}}, time_point{} + seconds{100});
    all.run(seconds{100}, seconds{120});
    REQUIRE(prefilling() == 0);
}
