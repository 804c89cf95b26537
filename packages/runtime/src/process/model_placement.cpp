#include "cornelstall/runtime/process/model_placement.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cornelstall/runtime/connection/http_call.hpp"

namespace cornelstall
{

namespace
{

using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;
constexpr milliseconds demand_interval{5000};
constexpr double ms_per_second = 1000.0;

/// Calls another system; nothing when it does not answer.
task<std::optional<http_answer>> try_call(http_call call)
{
    std::optional<http_answer> answer;
    try
    {
        answer = co_await make_call(std::move(call));
    }
    catch (const connection_error&)
    {
        // The caller decides what silence means.
    }
    co_return answer;
}

std::string_view name_of(order_kind kind) noexcept
{
    switch (kind)
    {
        case order_kind::load_model:
            return "load_model";
        case order_kind::unload_model:
            return "unload_model";
        case order_kind::load_adapter:
            return "load_adapter";
        case order_kind::set_role:
            break;
    }
    return "set_role";
}

std::string_view name_of(engine_role role) noexcept
{
    switch (role)
    {
        case engine_role::prefill:
            return "prefill";
        case engine_role::decode:
            return "decode";
        case engine_role::mixed:
            break;
    }
    return "mixed";
}

std::string encode_order(const given_order& order)
{
    return json{{"order_id", order.id_.get()},
                {"fencing_number", order.fencing_.get()},
                {"kind", name_of(order.order_.kind_)},
                {"model", order.order_.model_.get()},
                {"version", order.order_.version_.get()},
                {"adapter", order.order_.adapter_.get()},
                {"role", name_of(order.order_.role_)}}
        .dump();
}

std::string engine_url(const entry_state& state, const engine_id& engine)
{
    const auto found = state.engines_.find(engine);
    return found == state.engines_.end() ? std::string{} : "http://" + found->second.address_.get();
}

task<std::optional<int>> read_free_transfers(entry_state& state)
{
    http_call call;
    call.base_url_ = state.settings_.weight_store_url_;
    call.path_ = "/status";
    if (call.base_url_.empty())
    {
        co_return std::nullopt;
    }
    const auto answer = co_await try_call(std::move(call));
    if (!answer || answer->status_ != status_ok)
    {
        co_return std::nullopt;
    }
    const auto parsed = json::parse(answer->body_, nullptr, false);
    if (!parsed.is_object())
    {
        co_return std::nullopt;
    }
    co_return std::max(0, parsed.value("concurrent_limit", 0) - parsed.value("in_progress", 0));
}

task<std::optional<engine_load>> read_back(entry_state& state, engine_id engine)
{
    http_call call;
    call.base_url_ = engine_url(state, engine);
    call.path_ = "/v1/load";
    if (call.base_url_.empty())
    {
        co_return std::nullopt;
    }
    const auto answer = co_await try_call(std::move(call));
    if (!answer || answer->status_ != status_ok)
    {
        co_return std::nullopt;
    }
    try
    {
        co_return decode_engine_load(answer->body_);
    }
    catch (const connection_error&)
    {
        co_return std::nullopt;
    }
}

task<order_answer> send_order(entry_state& state, given_order order)
{
    http_call call;
    call.method_ = "POST";
    call.base_url_ = engine_url(state, order.order_.engine_);
    call.path_ = "/v1/orders";
    call.body_ = encode_order(order);
    if (call.base_url_.empty())
    {
        co_return order_answer::refused;
    }
    const auto answer = co_await try_call(std::move(call));
    if (!answer)
    {
        co_return order_answer::unknown;
    }
    if (answer->status_ == status_ok || answer->status_ == status_accepted)
    {
        co_return order_answer::taken;
    }
    co_return answer->status_ == status_conflict ? order_answer::stale : order_answer::refused;
}

/// Demand of all live members. Members report prompt tokens; an engine's prefill rate is what they use up.
std::map<model_id, demand_sample> sample_demand(const entry_state& state)
{
    std::map<model_id, demand_sample> samples;
    if (!state.version_)
    {
        return samples;
    }
    const auto total =
        state.loop_ ? total_demand(state.loop_->view_, clock::now()) : std::map<model_id, model_demand>{};
    std::ranges::for_each(state.version_->configuration_->fleet_.models_, [&](const auto& declared) {
        const auto found = total.find(declared.first);
        demand_sample sample;
        if (found != total.end())
        {
            sample.prefill_ = found->second.served_ + found->second.refused_;
        }
        samples.emplace(declared.first, sample);
    });
    return samples;
}

/// All engines, the drained ones included: the planner waits until those are idle.
std::vector<engine_state> copy_engines(const entry_state& state)
{
    std::vector<engine_state> engines;
    std::ranges::for_each(state.engines_, [&](const auto& entry) {
        if (state.watched_.contains(entry.first))
        {
            engines.push_back(entry.second);
        }
        else if (const auto* const summary = summary_of(state, entry.first); summary != nullptr)
        {
            engines.push_back(*summary);
        }
    });
    return engines;
}

}  // namespace

std::shared_ptr<order_giver> make_order_giver(entry_state& state, std::shared_ptr<lease_keeper> lease)
{
    auto giver = std::make_shared<order_giver>();
    giver->lease_ = std::move(lease);
    giver->clock_ = machine_clock();
    giver->metrics_ = &state.metrics_;
    auto& calls = giver->calls_;
    calls.engines_ = [&state] {
        return copy_engines(state);
    };
    calls.configuration_ = [&state] {
        return state.version_ ? state.version_->configuration_ : std::make_shared<const configuration>();
    };
    calls.demand_ = [&state] {
        return sample_demand(state);
    };
    calls.free_transfers_ = [&state] {
        return read_free_transfers(state);
    };
    calls.read_back_ = [&state](engine_id engine) {
        return read_back(state, std::move(engine));
    };
    calls.send_ = [&state](given_order order) {
        return send_order(state, std::move(order));
    };
    calls.set_drained_ = [&state](const std::vector<engine_id>& engines) {
        state.drained_for_orders_ = {engines.begin(), engines.end()};
    };
    return giver;
}

task<> publish_demand(entry_state& state)
{
    for (;;)
    {
        co_await sleep_for(demand_interval);
        std::vector<model_demand> demand;
        std::ranges::transform(state.asked_, std::back_inserter(demand), [](const auto& entry) {
            const auto tokens = static_cast<double>(entry.second.get());
            const auto seconds = static_cast<double>(demand_interval.count()) / ms_per_second;
            return model_demand{entry.first, token_rate{tokens / seconds}, token_rate{0.0}};
        });
        std::ranges::for_each(state.asked_, [](auto& entry) { entry.second = token_count{0}; });
        if (state.loop_)
        {
            update_own_demand(state.loop_->view_, std::move(demand), clock::now());
        }
    }
}

}  // namespace cornelstall
