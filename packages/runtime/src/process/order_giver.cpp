#include "cornelstall/runtime/process/order_giver.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelstall/runtime/process/log_event.hpp"

namespace cornelstall
{

namespace
{

using shared_giver = std::shared_ptr<order_giver>;

constexpr event_kind order_was_given{4501, "order_given"};
constexpr event_kind model_is_short{4502, "model_short"};

std::string_view name_of(order_answer answer)
{
    switch (answer)
    {
        case order_answer::taken:
            return "taken";
        case order_answer::refused:
            return "refused";
        case order_answer::stale:
            return "stale";
        case order_answer::unknown:
            break;
    }
    return "unknown";
}

/// Without the lease, this VM drains nothing and knows nothing about orders in progress.
void start_again(order_giver& giver)
{
    giver.planner_ = {};
    giver.read_back_at_.clear();
    giver.calls_.set_drained_({});
}

time_point read_back_time(const order_giver& giver, const engine_id& engine)
{
    const auto found = giver.read_back_at_.find(engine);
    return found == giver.read_back_at_.end() ? time_point::min() : found->second;
}

/// Reads the engines that ignore fencing numbers and whose state may come from before the former holder's last order.
/// @return false for an engine that gets no order in this round
task<bool> prepare_engine(shared_giver giver, engine_state* engine)
{
    const auto allowed = permission(*giver->lease_, engine->checks_fencing_, read_back_time(*giver, engine->id_));
    if (allowed != order_permission::read_state_first)
    {
        co_return allowed == order_permission::allowed;
    }
    const time_point asked = giver->clock_.now_();
    auto load = co_await giver->calls_.read_back_(engine->id_);
    if (!load)
    {
        co_return false;
    }
    engine->load_ = std::move(*load);
    giver->read_back_at_[engine->id_] = asked;
    co_return true;
}

/// The engines that may get an order now, as plan_orders sees them; others only count as they are.
task<std::vector<engine_state>> prepare_engines(shared_giver giver)
{
    auto engines = giver->calls_.engines_();
    for (engine_state& engine : engines)
    {
        if (!co_await prepare_engine(giver, &engine))
        {
            giver->metrics_->count("orders_engines_waiting_total");
        }
    }
    co_return engines;
}

void note_answer(order_giver& giver, const given_order& given, order_answer answer)
{
    // An order without an answer may be in execution, so the engine gets no other one for a while.
    if (answer == order_answer::taken || answer == order_answer::unknown)
    {
        mark_order_sent(giver.planner_, given.order_, giver.clock_.now_());
    }
    else
    {
        mark_order_refused(giver.planner_, given.order_.engine_);
    }
    giver.metrics_->count("orders_total", {{"answer", name_of(answer)}});
    log_event(severity::info, order_was_given, "an engine got an order",
              {{"engine", given.order_.engine_.get()},
               {"model", given.order_.model_.get()},
               {"version", given.order_.version_.get()},
               {"answer", std::string(name_of(answer))}});
}

task<> send_orders(shared_giver giver, std::vector<planned_order> orders, std::map<engine_id, bool> fencing)
{
    for (planned_order& order : orders)
    {
        // The lease may have ended while earlier orders were sent.
        const time_point read_back = read_back_time(*giver, order.engine_);
        if (permission(*giver->lease_, fencing[order.engine_], read_back) != order_permission::allowed)
        {
            continue;
        }
        given_order given{
            order_id{giver->lease_->participant_.self_.get() + "/" + std::to_string(++giver->orders_given_)},
            fencing_number_of(giver->lease_->view_), std::move(order)};
        const auto answer = co_await giver->calls_.send_(given);
        note_answer(*giver, given, answer);
    }
}

void note_demands(order_giver& giver)
{
    const time_point now = giver.clock_.now_();
    std::ranges::for_each(giver.calls_.demand_(), [&](const auto& sample) {
        add_demand_sample(giver.planner_, sample.first, sample.second, now);
    });
}

}  // namespace

task<> give_orders_once(std::shared_ptr<order_giver> giver)
{
    const bool holds = permission(*giver->lease_, true, {}) == order_permission::allowed;
    if (holds != std::exchange(giver->held_, holds))
    {
        start_again(*giver);
    }
    const auto active_config = giver->calls_.configuration_();
    if (!holds || !active_config)
    {
        co_return;
    }
    note_demands(*giver);
    const auto transfers = co_await giver->calls_.free_transfers_();
    const auto engines = co_await prepare_engines(giver);
    std::vector<const engine_state*> views;
    std::ranges::transform(engines, std::back_inserter(views), [](const engine_state& engine) { return &engine; });
    auto plan =
        plan_orders(giver->planner_, {views, &active_config->fleet_, transfers.value_or(0), giver->clock_.now_()});
    giver->calls_.set_drained_(plan.drain_);
    std::ranges::for_each(plan.below_min_ready_, [](const model_id& model) {
        log_event(severity::warning, model_is_short, "no engine is free for a model below min_ready",
                  {{"model", model.get()}});
    });
    std::map<engine_id, bool> fencing;
    std::ranges::transform(engines, std::inserter(fencing, fencing.end()), [](const engine_state& engine) {
        return std::pair{engine.id_, engine.checks_fencing_};
    });
    co_await send_orders(giver, std::move(plan.orders_), std::move(fencing));
}

task<> give_orders(std::shared_ptr<order_giver> giver)
{
    while (!giver->stopping_)
    {
        co_await give_orders_once(giver);
        co_await sleep_for(giver->clock_, giver->period_);
    }
    start_again(*giver);
}

}  // namespace cornelstall
