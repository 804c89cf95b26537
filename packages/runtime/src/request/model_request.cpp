#include "cornelstall/runtime/request/model_request.hpp"

#include <algorithm>

#include "cornelstall/declarations.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind request_refused{1001, "request_refused"};
constexpr std::string_view bearer_prefix = "Bearer ";

rank rank_of(const service_policy& service, const std::string& name)
{
    if (service.ranks_.empty())
    {
        throw request_error(104, refusal_reason::rank_not_allowed, outcome::did_not_run,
                            "service '" + service.name_.get() + "' declares no rank; ask its operators to declare one");
    }
    const rank which = name.empty() ? service.ranks_.front() : parse_rank(name);
    if (std::ranges::find(service.ranks_, which) == service.ranks_.end())
    {
        throw request_error(104, refusal_reason::rank_not_allowed, outcome::did_not_run,
                            "service '" + service.name_.get() + "' does not carry rank " +
                                std::string(to_string(which)) + "; use one of its declared ranks");
    }
    return which;
}

void check_model(const configuration& active_config, const service_policy& service, const completion_call& call)
{
    const auto known = active_config.fleet_.models_.find(call.model_);
    if (known == active_config.fleet_.models_.end())
    {
        throw request_error(102, refusal_reason::unknown_model, outcome::did_not_run,
                            "model '" + call.model_.get() + "' is not declared; see GET /v1/models");
    }
    if (std::ranges::find(service.models_, call.model_) == service.models_.end())
    {
        throw request_error(103, refusal_reason::model_not_allowed, outcome::did_not_run,
                            "service '" + service.name_.get() + "' may not call model '" + call.model_.get() +
                                "'; add it to the service's models");
    }
}

void check_lengths(const configuration& active_config, const service_policy& service, const completion_call& call,
                   token_count prompt)
{
    const auto& model = active_config.fleet_.models_.at(call.model_);
    if (prompt > service.limits_.max_prompt_ || prompt + call.max_output_ > model.context_limit_)
    {
        throw request_error(105, refusal_reason::prompt_too_long, outcome::did_not_run,
                            "the prompt has about " + std::to_string(prompt.get()) +
                                " tokens; shorten it to the service's or the model's limit");
    }
    if (call.max_output_ > service.limits_.max_output_)
    {
        throw request_error(106, refusal_reason::output_too_long, outcome::did_not_run,
                            "max_tokens is above " + std::to_string(service.limits_.max_output_.get()) +
                                "; lower it or ask the operators to raise limits.max_output_tokens");
    }
}

}  // namespace

authenticated_caller authenticate(const std::shared_ptr<const version_state>& version, const std::string& authorization)
{
    if (!version)
    {
        throw request_error(100, refusal_reason::no_configuration, outcome::did_not_run,
                            "no configuration is in force on this VM yet; retry", milliseconds{1000});
    }
    const auto key = authorization.starts_with(bearer_prefix) ? authorization.substr(bearer_prefix.size()) : "";
    const auto found = version->callers_.find(hash_key(key));
    if (key.empty() || found == version->callers_.end())
    {
        throw request_error(101, refusal_reason::unknown_key, outcome::did_not_run,
                            "the key is not known; send 'Authorization: Bearer KEY' with a declared caller's key");
    }
    return found->second;
}

model_request make_model_request(entry_state& state, std::shared_ptr<const version_state> version,
                                 const authenticated_caller& caller, completion_call call, const std::string& rank_name,
                                 time_point arrived)
{
    const auto& active_config = *version->configuration_;
    model_request request;
    request.id_ = next_request_id(state);
    request.caller_ = caller;
    request.rank_ = rank_of(*caller.service_, rank_name);
    check_model(active_config, *caller.service_, call);
    request.prompt_ = estimate_tokens(call.prompt_);
    check_lengths(active_config, *caller.service_, call, request.prompt_);
    const auto policy = rank_policy_for(active_config, request.rank_);
    const auto limit = time_limit({policy.time_limit_, policy.time_per_1k_prompt_tokens_}, request.prompt_);
    request.arrived_ = arrived;
    request.deadline_ = arrived + limit - answer_margin;
    request.prefix_keys_ = prefix_keys(call.prompt_);
    request.call_ = std::move(call);
    request.progress_.request_ = request.id_;
    request.version_ = std::move(version);
    return request;
}

void refuse(entry_state& state, caller_connection& connection, const request_id& request, const request_error& problem)
{
    state.metrics_.count("cornelstall_refusals_total", {{"reason", to_string(problem.reason())}});
    log_event(severity::info, request_refused, problem.what(),
              {{"request", request.get()}, {"reason", std::string(to_string(problem.reason()))}});
    explain(state, request, problem.what());
    connection.reply(status_of(problem.reason()), encode_error(problem, request), "application/json",
                     problem.retry_after());
}

std::string_view length_class(token_count prompt) noexcept
{
    if (prompt <= token_count{1'024})
    {
        return "1k";
    }
    if (prompt <= token_count{10'240})
    {
        return "10k";
    }
    return prompt <= token_count{102'400} ? "100k" : "1m";
}

}  // namespace cornelstall
