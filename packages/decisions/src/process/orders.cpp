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

struct round
{
    order_planner* planner_ = nullptr;
    const order_planning_input* situation_ = nullptr;
    std::vector<model_view> views_;
    std::vector<const engine_state*> empty_;
    int transfers_ = 0;
    order_plan plan_;

    [[nodiscard]] bool is_full() const
    {
        return plan_.orders_.size() >= max_orders_per_round;
    }
};

void start_drain(round& now, const engine_state& engine, planned_order order)
{
    order.engine_ = engine.id_;
    now.planner_->draining_[engine.id_] = {std::move(order), now.situation_->now_};
}

planned_order unload_of(const loaded_model& model)
{
    return {order_kind::unload_model, {}, model.name_, model.version_, {}, engine_role::mixed};
}

/// Gives the orders whose engines have become idle.
void order_drained(round& now)
{
    std::ranges::for_each(now.situation_->engines_, [&](const engine_state* engine) {
        const auto found = now.planner_->draining_.find(engine->id_);
        if (found == now.planner_->draining_.end() || now.is_full())
        {
            return;
        }
        const bool idle = engine->load_.running_ == 0 && engine->load_.waiting_ == 0 &&
                          found->second.since_ + drain_settling_time <= engine->reported_at_;
        if (idle)
        {
            now.plan_.orders_.push_back(found->second.order_);
        }
    });
}

/// The view that gains most from one more engine, or null when no model wants one.
model_view* most_wanting(round& now)
{
    const auto wants = [](const model_view& view) {
        return view.serving_or_loading() < view.target_engines_;
    };
    const auto by_value = [](const model_view& view) {
        return std::pair{view.serving_or_loading() < view.min_ready(), view.marginal_value()};
    };
    auto wanting = now.views_ | std::views::filter(wants);
    const auto best = std::ranges::max_element(wanting, {}, by_value);
    return best == std::ranges::end(wanting) ? nullptr : &*best;
}

void load_empty_engines(round& now)
{
    while (!now.is_full() && now.transfers_ > 0 && !now.empty_.empty())
    {
        model_view* const view = most_wanting(now);
        if (view == nullptr)
        {
            return;
        }
        const engine_state* const engine = now.empty_.back();
        now.empty_.pop_back();
        now.plan_.orders_.push_back({order_kind::load_model,
                                     engine->id_,
                                     view->policy_->name_,
                                     view->policy_->version_,
                                     {},
                                     engine_role::mixed});
        ++view->loading_engines_;
        --now.transfers_;
    }
}

/// An engine that @a view can spare, outdated ones first.
const engine_state* spare_engine(const round& now, const model_view& view)
{
    const auto is_spare = [&](const engine_state* engine) {
        return is_free(*now.planner_, *engine) && view.can_remove(*engine);
    };
    auto spare = view.serving_ | std::views::filter(is_spare);
    const auto best = std::ranges::max_element(spare, {}, [&](const engine_state* engine) {
        return std::pair{view.is_outdated(*engine), -engine->load_.running_};
    });
    return best == std::ranges::end(spare) ? nullptr : *best;
}

bool reclaim_from(round& now, model_view& view)
{
    const engine_state* const engine = spare_engine(now, view);
    if (engine == nullptr)
    {
        return false;
    }
    const auto loaded = std::ranges::find(engine->load_.models_, view.policy_->name_, &loaded_model::name_);
    start_drain(now, *engine, unload_of(*loaded));
    std::erase(view.serving_, engine);
    return true;
}

bool reclaim_undeclared(round& now)
{
    const auto is_undeclared = [&](const engine_state* engine) {
        return is_free(*now.planner_, *engine) && !engine->load_.models_.empty() &&
               std::ranges::none_of(engine->load_.models_, [&](const loaded_model& model) {
                   return now.situation_->fleet_->models_.contains(model.name_);
               });
    };
    const auto found = std::ranges::find_if(now.situation_->engines_, is_undeclared);
    if (found == now.situation_->engines_.end())
    {
        return false;
    }
    start_drain(now, **found, unload_of((*found)->load_.models_.front()));
    return true;
}

/// Takes an engine from the model whose loss weighs least, for a model below `min_ready`.
bool reclaim_for_minimum(round& now)
{
    const auto has_more = [](const model_view& view) {
        return view.standalone_engines() > view.min_ready();
    };
    auto rich = now.views_ | std::views::filter(has_more);
    const auto poorest = std::ranges::min_element(rich, {}, &model_view::work_value_per_engine);
    return poorest != std::ranges::end(rich) && reclaim_from(now, *poorest);
}

bool reclaim_surplus(round& now)
{
    const auto found = std::ranges::find_if(now.views_, &model_view::has_surplus_);
    if (found == now.views_.end() || !reclaim_from(now, *found))
    {
        return false;
    }
    found->has_surplus_ = false;
    found->demand_->low_since_ = now.situation_->now_;
    return true;
}

/// Engines that will become empty without a further decision.
std::size_t engines_to_come(const order_planner& planner)
{
    const auto empties = [](const auto& entry) {
        return entry.second.order_.kind_ == order_kind::unload_model;
    };
    return static_cast<std::size_t>(std::ranges::count_if(planner.draining_, empties) +
                                    std::ranges::count_if(planner.pending_, empties));
}

void reclaim_engines(round& now)
{
    const auto missing = [](std::size_t sum, const model_view& view) {
        return sum + view.missing_engines();
    };
    const std::size_t wanted = std::accumulate(now.views_.begin(), now.views_.end(), std::size_t{0}, missing);
    if (now.empty_.size() + engines_to_come(*now.planner_) < wanted)
    {
        const bool below_minimum = std::ranges::any_of(now.views_, &model_view::is_below_minimum);
        if (!reclaim_undeclared(now) && !reclaim_surplus(now) && below_minimum)
        {
            reclaim_for_minimum(now);
        }
        return;
    }
    reclaim_surplus(now);
}

void change_versions(round& now)
{
    std::ranges::for_each(now.views_, [&](model_view& view) {
        const auto old = std::ranges::find_if(view.serving_, [&](const engine_state* engine) {
            return view.is_outdated(*engine) && is_free(*now.planner_, *engine);
        });
        // One engine of a model at a time, so that a bad version meets little load.
        if (old == view.serving_.end() || view.changing_engines_ > 0)
        {
            return;
        }
        if (view.can_remove(**old))
        {
            const engine_state* const engine = *old;
            const auto loaded = std::ranges::find(engine->load_.models_, view.policy_->name_, &loaded_model::name_);
            start_drain(now, *engine, unload_of(*loaded));
            std::erase(view.serving_, engine);
            ++view.changing_engines_;
        }
        else if (!now.empty_.empty() || view.loading_engines_ > 0)
        {
            // The new version first comes up beside the old one.
            view.target_engines_ = std::max(view.target_engines_, view.serving_.size() + 1);
        }
        else
        {
            now.plan_.outdated_.push_back(view.policy_->name_);
        }
    });
}

void load_adapters(round& now)
{
    std::ranges::for_each(now.views_, [&](const model_view& view) {
        std::ranges::for_each(view.serving_, [&](const engine_state* engine) {
            const auto is_missing = [&](const adapter_id& adapter) {
                return !has_model(*engine, view.policy_->name_, adapter);
            };
            const auto adapter = std::ranges::find_if(view.policy_->adapters_, is_missing);
            if (adapter == view.policy_->adapters_.end() || now.is_full() || now.transfers_ <= 0 ||
                view.is_outdated(*engine) || !is_free(*now.planner_, *engine))
            {
                return;
            }
            now.plan_.orders_.push_back({order_kind::load_adapter, engine->id_, view.policy_->name_,
                                         view.policy_->version_, *adapter, engine_role::mixed});
            --now.transfers_;
        });
    });
}

void change_roles(round& now)
{
    std::ranges::for_each(now.views_, [&](model_view& view) {
        const auto prefilling = view.count_role(engine_role::prefill);
        const auto wanted = view.target_prefill_engines(prefilling);
        if (view.changing_engines_ > 0 || wanted == prefilling)
        {
            return;
        }
        const engine_role to = wanted > prefilling ? engine_role::prefill : engine_role::mixed;
        const auto engine = std::ranges::find_if(view.serving_, [&](const engine_state* candidate) {
            return (candidate->load_.role_ == engine_role::prefill) == (to == engine_role::mixed) &&
                   is_free(*now.planner_, *candidate) && view.can_remove(*candidate);
        });
        if (engine != view.serving_.end())
        {
            start_drain(now, **engine, {order_kind::set_role, {}, view.policy_->name_, {}, {}, to});
        }
    });
}

round start_round(order_planner& planner, const order_planning_input& situation)
{
    round now{&planner, &situation, detail::make_views(planner, situation), {}, situation.free_transfers_, {}};
    const auto is_empty = [&](const engine_state* engine) {
        return is_free(planner, *engine) && engine->load_.models_.empty();
    };
    std::ranges::copy_if(situation.engines_, std::back_inserter(now.empty_), is_empty);
    return now;
}

}  // namespace

order_plan plan_orders(order_planner& planner, const order_planning_input& situation)
{
    detail::drop_finished_orders(planner, situation);
    round now = start_round(planner, situation);
    order_drained(now);
    change_versions(now);
    load_empty_engines(now);
    load_adapters(now);
    reclaim_engines(now);
    change_roles(now);
    const auto is_short = [](const model_view& view) {
        return view.is_below_minimum();
    };
    std::ranges::transform(now.views_ | std::views::filter(is_short), std::back_inserter(now.plan_.below_min_ready_),
                           [](const model_view& view) { return view.policy_->name_; });
    std::ranges::copy(planner.draining_ | std::views::keys, std::back_inserter(now.plan_.drain_));
    const auto empties = [](const auto& entry) {
        return entry.second.order_.kind_ == order_kind::unload_model ||
               entry.second.order_.kind_ == order_kind::set_role;
    };
    std::ranges::copy(planner.pending_ | std::views::filter(empties) | std::views::keys,
                      std::back_inserter(now.plan_.drain_));
    return std::move(now.plan_);
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
