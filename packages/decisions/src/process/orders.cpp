#include "cornelstall/decisions/process/orders.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

#include "process/model_view.hpp"

namespace cornelstall
{

using detail::model_view;

namespace
{

bool is_free(const order_planner& planner, const engine_state& engine)
{
    return engine.condition_ == engine_condition::ready && !planner.pending_.contains(engine.id_) &&
           !planner.draining_.contains(engine.id_);
}

struct planning_round
{
    order_planner* planner_ = nullptr;
    const order_planning_input* input_ = nullptr;
    std::vector<model_view> views_;
    std::vector<const engine_state*> empty_engines_;  ///< ready engines without a model or an order
    int free_transfers_ = 0;
    order_plan plan_;

    [[nodiscard]] bool is_full() const
    {
        return plan_.orders_.size() >= max_orders_per_round;
    }
};

void start_drain(planning_round& round, const engine_state& engine, planned_order order)
{
    order.engine_ = engine.id_;
    round.planner_->draining_[engine.id_] = {std::move(order), round.input_->now_};
}

planned_order unload_of(const loaded_model& model)
{
    return {order_kind::unload_model, {}, model.name_, model.version_, {}, engine_role::mixed};
}

/// Adds the orders of drained engines that have become idle.
void add_drained_orders(planning_round& round)
{
    std::ranges::for_each(round.input_->engines_, [&](const engine_state* engine) {
        const auto found = round.planner_->draining_.find(engine->id_);
        if (found == round.planner_->draining_.end() || round.is_full())
        {
            return;
        }
        const bool idle = engine->load_.running_ == 0 && engine->load_.waiting_ == 0 &&
                          found->second.since_ + drain_propagation_time <= engine->reported_at_;
        if (idle)
        {
            round.plan_.orders_.push_back(found->second.order_);
        }
    });
}

/// The model that gains most from one more engine, or null if no model needs one.
model_view* highest_value_model(planning_round& round)
{
    const auto lacks_engine = [](const model_view& view) {
        return view.serving_or_loading() < view.target_engines_;
    };
    const auto by_value = [](const model_view& view) {
        return std::pair{view.serving_or_loading() < view.min_ready(), view.marginal_value()};
    };
    auto lacking = round.views_ | std::views::filter(lacks_engine);
    const auto best = std::ranges::max_element(lacking, {}, by_value);
    return best == std::ranges::end(lacking) ? nullptr : &*best;
}

void load_empty_engines(planning_round& round)
{
    while (!round.is_full() && round.free_transfers_ > 0 && !round.empty_engines_.empty())
    {
        model_view* const view = highest_value_model(round);
        if (view == nullptr)
        {
            return;
        }
        const engine_state* const engine = round.empty_engines_.back();
        round.empty_engines_.pop_back();
        round.plan_.orders_.push_back({order_kind::load_model,
                                       engine->id_,
                                       view->policy_->name_,
                                       view->policy_->version_,
                                       {},
                                       engine_role::mixed});
        ++view->loading_engines_;
        --round.free_transfers_;
    }
}

/// An engine that the model of @a view can lose, engines with an outdated version first.
const engine_state* spare_engine(const planning_round& round, const model_view& view)
{
    const auto is_spare = [&](const engine_state* engine) {
        return is_free(*round.planner_, *engine) && view.can_remove(*engine);
    };
    auto spare = view.serving_ | std::views::filter(is_spare);
    const auto best = std::ranges::max_element(spare, {}, [&](const engine_state* engine) {
        return std::pair{view.is_outdated(*engine), -engine->load_.running_};
    });
    return best == std::ranges::end(spare) ? nullptr : *best;
}

bool reclaim_from(planning_round& round, model_view& view)
{
    const engine_state* const engine = spare_engine(round, view);
    if (engine == nullptr)
    {
        return false;
    }
    const auto loaded = std::ranges::find(engine->load_.models_, view.policy_->name_, &loaded_model::name_);
    start_drain(round, *engine, unload_of(*loaded));
    std::erase(view.serving_, engine);
    return true;
}

bool reclaim_undeclared(planning_round& round)
{
    const auto is_undeclared = [&](const engine_state* engine) {
        return is_free(*round.planner_, *engine) && !engine->load_.models_.empty() &&
               std::ranges::none_of(engine->load_.models_, [&](const loaded_model& model) {
                   return round.input_->fleet_->models_.contains(model.name_);
               });
    };
    const auto found = std::ranges::find_if(round.input_->engines_, is_undeclared);
    if (found == round.input_->engines_.end())
    {
        return false;
    }
    start_drain(round, **found, unload_of((*found)->load_.models_.front()));
    return true;
}

/// Takes an engine from the model whose engines carry the least work, weighted by worth, for a model below `min_ready`.
bool reclaim_for_minimum(planning_round& round)
{
    const auto can_give = [](const model_view& view) {
        return view.standalone_engines() > view.min_ready();
    };
    auto reducible = round.views_ | std::views::filter(can_give);
    const auto lightest = std::ranges::min_element(reducible, {}, &model_view::work_value_per_engine);
    return lightest != std::ranges::end(reducible) && reclaim_from(round, *lightest);
}

bool reclaim_surplus(planning_round& round)
{
    const auto found = std::ranges::find_if(round.views_, &model_view::has_surplus_);
    if (found == round.views_.end() || !reclaim_from(round, *found))
    {
        return false;
    }
    found->has_surplus_ = false;
    found->demand_->low_since_ = round.input_->now_;
    return true;
}

/// Number of engines that will become empty without a further decision.
std::size_t engines_becoming_empty(const order_planner& planner)
{
    const auto empties_engine = [](const auto& entry) {
        return entry.second.order_.kind_ == order_kind::unload_model;
    };
    return static_cast<std::size_t>(std::ranges::count_if(planner.draining_, empties_engine) +
                                    std::ranges::count_if(planner.pending_, empties_engine));
}

void reclaim_engines(planning_round& round)
{
    const auto missing = [](std::size_t sum, const model_view& view) {
        return sum + view.missing_engines();
    };
    const std::size_t needed = std::accumulate(round.views_.begin(), round.views_.end(), std::size_t{0}, missing);
    if (round.empty_engines_.size() + engines_becoming_empty(*round.planner_) < needed)
    {
        const bool below_minimum = std::ranges::any_of(round.views_, &model_view::is_below_minimum);
        if (!reclaim_undeclared(round) && !reclaim_surplus(round) && below_minimum)
        {
            reclaim_for_minimum(round);
        }
        return;
    }
    reclaim_surplus(round);
}

void change_versions(planning_round& round)
{
    std::ranges::for_each(round.views_, [&](model_view& view) {
        const auto old = std::ranges::find_if(view.serving_, [&](const engine_state* engine) {
            return view.is_outdated(*engine) && is_free(*round.planner_, *engine);
        });
        // Only one engine of a model at a time, so that a faulty version affects little load.
        if (old == view.serving_.end() || view.changing_engines_ > 0)
        {
            return;
        }
        if (view.can_remove(**old))
        {
            const engine_state* const engine = *old;
            const auto loaded = std::ranges::find(engine->load_.models_, view.policy_->name_, &loaded_model::name_);
            start_drain(round, *engine, unload_of(*loaded));
            std::erase(view.serving_, engine);
            ++view.changing_engines_;
        }
        else if (!round.empty_engines_.empty() || view.loading_engines_ > 0)
        {
            // The new version is first loaded on a further engine.
            view.target_engines_ = std::max(view.target_engines_, view.serving_.size() + 1);
        }
        else
        {
            round.plan_.outdated_.push_back(view.policy_->name_);
        }
    });
}

void load_adapters(planning_round& round)
{
    std::ranges::for_each(round.views_, [&](const model_view& view) {
        std::ranges::for_each(view.serving_, [&](const engine_state* engine) {
            const auto is_missing = [&](const adapter_id& adapter) {
                return !has_model(*engine, view.policy_->name_, adapter);
            };
            const auto adapter = std::ranges::find_if(view.policy_->adapters_, is_missing);
            if (adapter == view.policy_->adapters_.end() || round.is_full() || round.free_transfers_ <= 0 ||
                view.is_outdated(*engine) || !is_free(*round.planner_, *engine))
            {
                return;
            }
            round.plan_.orders_.push_back({order_kind::load_adapter, engine->id_, view.policy_->name_,
                                           view.policy_->version_, *adapter, engine_role::mixed});
            --round.free_transfers_;
        });
    });
}

void change_roles(planning_round& round)
{
    std::ranges::for_each(round.views_, [&](model_view& view) {
        const auto prefilling = view.count_role(engine_role::prefill);
        const auto wanted = view.target_prefill_engines(prefilling);
        if (view.changing_engines_ > 0 || wanted == prefilling)
        {
            return;
        }
        const engine_role to = wanted > prefilling ? engine_role::prefill : engine_role::mixed;
        const auto engine = std::ranges::find_if(view.serving_, [&](const engine_state* candidate) {
            return (candidate->load_.role_ == engine_role::prefill) == (to == engine_role::mixed) &&
                   is_free(*round.planner_, *candidate) && view.can_remove(*candidate);
        });
        if (engine != view.serving_.end())
        {
            start_drain(round, **engine, {order_kind::set_role, {}, view.policy_->name_, {}, {}, to});
        }
    });
}

planning_round start_round(order_planner& planner, const order_planning_input& input)
{
    planning_round round{&planner, &input, detail::make_views(planner, input), {}, input.free_transfers_, {}};
    const auto is_empty = [&](const engine_state* engine) {
        return is_free(planner, *engine) && engine->load_.models_.empty();
    };
    std::ranges::copy_if(input.engines_, std::back_inserter(round.empty_engines_), is_empty);
    return round;
}

}  // namespace

order_plan plan_orders(order_planner& planner, const order_planning_input& input)
{
    detail::drop_finished_orders(planner, input);
    planning_round round = start_round(planner, input);
    add_drained_orders(round);
    change_versions(round);
    load_empty_engines(round);
    load_adapters(round);
    reclaim_engines(round);
    change_roles(round);
    const auto is_below_min_ready = [](const model_view& view) {
        return view.is_below_minimum();
    };
    std::ranges::transform(round.views_ | std::views::filter(is_below_min_ready),
                           std::back_inserter(round.plan_.below_min_ready_),
                           [](const model_view& view) { return view.policy_->name_; });
    std::ranges::copy(planner.draining_ | std::views::keys, std::back_inserter(round.plan_.drain_));
    const auto changes_engine = [](const auto& entry) {
        return entry.second.order_.kind_ == order_kind::unload_model ||
               entry.second.order_.kind_ == order_kind::set_role;
    };
    std::ranges::copy(planner.pending_ | std::views::filter(changes_engine) | std::views::keys,
                      std::back_inserter(round.plan_.drain_));
    return std::move(round.plan_);
}

void mark_order_sent(order_planner& planner, const planned_order& order, time_point now)
{
    planner.draining_.erase(order.engine_);
    planner.pending_[order.engine_] = {order, now};
}

void mark_order_refused(order_planner& planner, const engine_id& engine)
{
    planner.draining_.erase(engine);
    planner.pending_.erase(engine);
}

}  // namespace cornelstall
