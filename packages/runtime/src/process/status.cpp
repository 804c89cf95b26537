#include "cornelstall/runtime/process/status.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cornelstall
{

namespace
{

using nlohmann::json;

std::string_view name_of(member_state state) noexcept
{
    switch (state)
    {
        case member_state::alive:
            return "alive";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            break;
    }
    return "dead";
}

std::string_view name_of(engine_condition condition) noexcept
{
    switch (condition)
    {
        case engine_condition::ready:
            return "ready";
        case engine_condition::draining:
            return "draining";
        case engine_condition::unreachable:
            break;
    }
    return "unreachable";
}

json describe_members(const entry_state& state)
{
    json members = json::array();
    std::ranges::transform(members_of(state).members_, std::back_inserter(members), [](const auto& entry) {
        const auto& known = entry.second.member_;
        return json{{"id", known.id_.get()},
                    {"address", known.peer_address_.get()},
                    {"data_centre", known.data_centre_.get()},
                    {"incarnation", known.incarnation_.get()},
                    {"state", name_of(known.state_)}};
    });
    return members;
}

json engine_of(const entry_state& state, const engine_state& engine)
{
    json value{{"id", engine.id_.get()},
               {"address", engine.address_.get()},
               {"condition", name_of(engine.condition_)},
               {"running", engine.load_.running_},
               {"waiting", engine.load_.waiting_},
               {"slots", engine.load_.slots_},
               {"kv_tokens_used", engine.load_.kv_used_.get()},
               {"kv_tokens_total", engine.load_.kv_total_.get()},
               {"owned", owns(state, engine.id_)}};
    json models = json::array();
    std::ranges::transform(engine.load_.models_, std::back_inserter(models),
                           [](const loaded_model& model) { return model.name_.get(); });
    value["models"] = std::move(models);
    if (const auto found = state.owner_.engines_.find(engine.id_); found != state.owner_.engines_.end())
    {
        value["grants"] = found->second.queue_.grants_.size();
        std::ranges::for_each(all_ranks, [&](rank which) {
            value["queued"][std::string(to_string(which))] = queue_length(found->second.queue_, which);
        });
    }
    return value;
}

}  // namespace

std::string encode_status(const entry_state& state)
{
    json status{{"vm", state.self_.get()},
                {"data_centre", state.settings_.data_centre_.get()},
                {"configuration_version", state.version_ ? state.version_->configuration_->version_.get() : 0},
                {"stopping", state.stopping_},
                {"open_requests", state.open_requests_},
                {"members", describe_members(state)}};
    json services = json::array();
    if (state.version_)
    {
        std::ranges::transform(state.version_->configuration_->services_, std::back_inserter(services),
                               [](const auto& entry) { return entry.first.get(); });
    }
    status["services"] = std::move(services);
    json engines = json::array();
    std::ranges::transform(known_engines(state), std::back_inserter(engines),
                           [&state](const engine_state* engine) { return engine_of(state, *engine); });
    status["engines"] = std::move(engines);
    return status.dump();
}

std::optional<std::string> encode_explanation(const entry_state& state, const request_id& request)
{
    const auto found = std::ranges::find(state.explanations_, request, &explained_request::request_);
    if (found == state.explanations_.end())
    {
        return std::nullopt;
    }
    return json{{"request_id", request.get()}, {"explanation", found->text_}}.dump();
}

std::string encode_models(const service_policy& service)
{
    json models = json::array();
    std::ranges::transform(service.models_, std::back_inserter(models), [](const model_id& model) {
        return json{{"id", model.get()}, {"object", "model"}, {"owned_by", "cornelstall"}};
    });
    return json{{"object", "list"}, {"data", std::move(models)}}.dump();
}

void update_gauges(entry_state& state)
{
    state.metrics_.set("cornelstall_open_requests", {}, state.open_requests_);
    state.metrics_.set("cornelstall_configuration_version", {},
                       state.version_ ? static_cast<double>(state.version_->configuration_->version_.get()) : 0.0);
    std::ranges::for_each(all_ranks, [&state](rank which) {
        int waiting = 0;
        std::ranges::for_each(state.owner_.engines_, [&waiting, which](const auto& entry) {
            waiting += queue_length(entry.second.queue_, which);
        });
        state.metrics_.set("cornelstall_queued_requests", {{"rank", to_string(which)}}, waiting);
    });
}

}  // namespace cornelstall
