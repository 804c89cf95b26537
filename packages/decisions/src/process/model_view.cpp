#include "process/model_view.hpp"

#include <cmath>
#include <ranges>

namespace cornelstall
{

namespace
{

const loaded_model* find_model(const engine_load& load, const model_id& model)
{
    const auto found = std::ranges::find(load.models_, model, &loaded_model::name_);
    return found == load.models_.end() ? nullptr : &*found;
}

bool has_taken_effect(const planned_order& order, const engine_load& load)
{
    const loaded_model* const loaded = find_model(load, order.model_);
    switch (order.kind_)
    {
        case order_kind::load_model:
            return loaded != nullptr && loaded->version_ == order.version_;
        case order_kind::unload_model:
            return loaded == nullptr || loaded->version_ != order.version_;
        case order_kind::load_adapter:
            return loaded != nullptr && loaded->adapters_.contains(order.adapter_);
        case order_kind::set_role:
            return load.role_ == order.role_;
    }
    return false;
}

const engine_state* find_engine(const order_planning_input& input, const engine_id& id)
{
    const auto found = std::ranges::find(input.engines_, id, [](const engine_state* engine) { return engine->id_; });
    return found == input.engines_.end() ? nullptr : *found;
}

/// Exponential smoothing weight of a sample that covers the time since the previous one.
double smoothing_weight(milliseconds elapsed) noexcept
{
    return 1.0 - std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(demand_time_constant.count()));
}

double interpolate(double previous, double sample, double weight) noexcept
{
    return previous + weight * (sample - previous);
}

double ratio_or_zero(double rate, double capacity) noexcept
{
    return rate > 0.0 && capacity > 0.0 ? rate / capacity : 0.0;
}

std::size_t engines_at_high_utilization(double needed_engines)
{
    // The tolerance prevents a rounding error from adding an engine.
    return static_cast<std::size_t>(std::ceil(needed_engines / high_utilization - 1e-9));
}

/// Returns an engine that serves the model or, if there is none, any engine that reports its decode rate.
const engine_state* reference_engine(const detail::model_view& view, const order_planning_input& input)
{
    if (!view.serving_.empty())
    {
        return view.serving_.front();
    }
    const auto found = std::ranges::find_if(
        input.engines_, [](const engine_state* engine) { return engine->load_.decode_rate_.get() > 0.0; });
    return found == input.engines_.end() ? nullptr : *found;
}

void set_target(detail::model_view& view, time_point now)
{
    const std::size_t minimum = std::max(view.min_ready(), engines_at_high_utilization(view.needed_engines_));
    const double utilization = view.serving_or_loading() == 0
                                   ? view.needed_engines_
                                   : view.needed_engines_ / static_cast<double>(view.serving_or_loading());
    view.target_engines_ = utilization > high_utilization || view.serving_or_loading() == 0
                               ? std::max(view.serving_or_loading(), minimum)
                               : std::max(view.serving_or_loading(), view.min_ready());
    if (utilization >= low_utilization || view.standalone_engines() <= minimum)
    {
        view.demand_->low_since_.reset();
        return;
    }
    view.demand_->low_since_ = view.demand_->low_since_.value_or(now);
    view.has_surplus_ = *view.demand_->low_since_ + low_utilization_duration <= now;
}

void count_pending_orders(detail::model_view& view, const order_planner& planner)
{
    const auto count = [&](const auto& entry) {
        const planned_order& order = entry.second.order_;
        if (order.model_ == view.policy_->name_)
        {
            view.loading_engines_ += order.kind_ == order_kind::load_model ? 1U : 0U;
            view.changing_engines_ +=
                order.kind_ == order_kind::unload_model || order.kind_ == order_kind::set_role ? 1U : 0U;
        }
    };
    std::ranges::for_each(planner.pending_, count);
    std::ranges::for_each(planner.draining_, count);
}

detail::model_view make_view(order_planner& planner, const order_planning_input& input, const model_policy& policy)
{
    detail::model_view view;
    view.policy_ = &policy;
    view.demand_ = &planner.demand_[policy.name_];
    count_pending_orders(view, planner);
    const auto serves = [&](const engine_state* engine) {
        const auto pending = planner.pending_.find(engine->id_);
        const bool is_reassigned =
            pending != planner.pending_.end() && pending->second.order_.kind_ != order_kind::load_adapter;
        return engine->condition_ == engine_condition::ready && !is_reassigned &&
               !planner.draining_.contains(engine->id_) && find_model(engine->load_, policy.name_) != nullptr;
    };
    std::ranges::copy_if(input.engines_, std::back_inserter(view.serving_), serves);
    if (const engine_state* const reference = reference_engine(view, input); reference != nullptr)
    {
        view.needed_engines_ = engines_needed(*view.demand_, reference->load_);
        const double prefill = ratio_or_zero(view.demand_->prefill_.get(), reference->load_.prefill_rate_.get());
        view.prefill_share_ = ratio_or_zero(prefill, view.needed_engines_);
    }
    set_target(view, input.now_);
    return view;
}

}  // namespace

double engines_needed(const smoothed_demand& demand, const engine_load& engine) noexcept
{
    const double decode_capacity = engine.decode_rate_.get() * static_cast<double>(engine.slots_);
    return ratio_or_zero(demand.prefill_.get(), engine.prefill_rate_.get()) +
           ratio_or_zero(demand.decode_.get(), decode_capacity);
}

void add_demand_sample(order_planner& planner, const model_id& model, const demand_sample& sample, time_point now)
{
    smoothed_demand& demand = planner.demand_[model];
    const double weight =
        demand.has_sample_ ? smoothing_weight(std::chrono::duration_cast<milliseconds>(now - demand.sampled_at_)) : 1.0;
    demand.prefill_ = token_rate{interpolate(demand.prefill_.get(), sample.prefill_.get(), weight)};
    demand.decode_ = token_rate{interpolate(demand.decode_.get(), sample.decode_.get(), weight)};
    demand.worth_ = interpolate(demand.worth_, sample.worth_, weight);
    demand.has_sample_ = true;
    demand.sampled_at_ = now;
}

namespace detail
{

std::size_t model_view::serving_or_loading() const noexcept
{
    return serving_.size() + loading_engines_;
}

std::size_t model_view::min_ready() const noexcept
{
    return static_cast<std::size_t>(std::max(policy_->min_ready_, 0));
}

std::size_t model_view::standalone_engines() const
{
    return serving_.size() - count_role(engine_role::prefill);
}

std::size_t model_view::missing_engines() const noexcept
{
    return target_engines_ > serving_or_loading() ? target_engines_ - serving_or_loading() : 0;
}

bool model_view::is_below_minimum() const
{
    return standalone_engines() + loading_engines_ < min_ready();
}

bool model_view::is_outdated(const engine_state& engine) const
{
    const loaded_model* const loaded = find_model(engine.load_, policy_->name_);
    return loaded != nullptr && loaded->version_ != policy_->version_;
}

bool model_view::can_remove(const engine_state& engine) const
{
    const std::size_t removed = engine.load_.role_ == engine_role::prefill ? 0 : 1;
    return standalone_engines() >= min_ready() + removed;
}

std::size_t model_view::count_role(engine_role role) const
{
    return static_cast<std::size_t>(
        std::ranges::count(serving_, role, [](const engine_state* engine) { return engine->load_.role_; }));
}

std::size_t model_view::target_prefill_engines(std::size_t current) const noexcept
{
    if (serving_.size() < min_engines_for_roles || prefill_share_ <= mixed_role_share)
    {
        return 0;
    }
    return prefill_share_ >= prefill_role_share ? serving_.size() / min_engines_for_roles : current;
}

double model_view::marginal_value() const noexcept
{
    const double unmet = std::max(needed_engines_ - high_utilization * static_cast<double>(serving_.size()), 0.0);
    return demand_->worth_ * unmet / static_cast<double>(1 + loading_engines_);
}

double model_view::work_value_per_engine() const noexcept
{
    return demand_->worth_ * needed_engines_ / static_cast<double>(std::max(serving_or_loading(), std::size_t{1}));
}

void drop_finished_orders(order_planner& planner, const order_planning_input& input)
{
    std::erase_if(planner.pending_, [&](const auto& entry) {
        const engine_state* const engine = find_engine(input, entry.first);
        return engine == nullptr || entry.second.since_ + order_effect_timeout <= input.now_ ||
               has_taken_effect(entry.second.order_, engine->load_);
    });
    std::erase_if(planner.draining_, [&](const auto& entry) { return find_engine(input, entry.first) == nullptr; });
}

std::vector<model_view> make_views(order_planner& planner, const order_planning_input& input)
{
    std::vector<model_view> views;
    std::ranges::transform(input.fleet_->models_ | std::views::values, std::back_inserter(views),
                           [&](const model_policy& policy) { return make_view(planner, input, policy); });
    return views;
}

}  // namespace detail

}  // namespace cornelstall
