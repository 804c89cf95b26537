#include "cornelstall/runtime/process/engine_memory.hpp"

#include <algorithm>

#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/runtime/process/peer_services.hpp"

namespace cornelstall
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;

task<std::optional<http_answer>> call_engine(entry_state& state, engine_id engine, std::string method, std::string path,
                                             std::string body)
{
    const auto found = state.engines_.find(engine);
    if (found == state.engines_.end())
    {
        co_return std::nullopt;
    }
    http_call call;
    call.method_ = std::move(method);
    call.base_url_ = "http://" + found->second.address_.get();
    call.path_ = std::move(path);
    call.body_ = std::move(body);
    call.timeout_ = milliseconds{1000};
    std::optional<http_answer> answer;
    try
    {
        answer = co_await make_call(std::move(call));
    }
    catch (const connection_error&)
    {
        // The next round tries again; a dead engine holds nothing.
    }
    co_return answer;
}

task<std::optional<std::vector<holding>>> list_holdings(entry_state& state, engine_id engine)
{
    std::string path{"/v1/requests"};
    std::string method{"GET"};
    const auto answer = co_await call_engine(state, engine, std::move(method), std::move(path), std::string{});
    if (!answer || answer->status_ != status_ok)
    {
        co_return std::nullopt;
    }
    try
    {
        co_return decode_holdings(answer->body_);
    }
    catch (const connection_error&)
    {
        co_return std::nullopt;
    }
}

std::string release_path(const holding& entry)
{
    switch (entry.key_.kind_)
    {
        case holding_kind::request:
            return "/v1/requests/" + entry.key_.id_ + "/cancel";
        case holding_kind::reservation:
            return "/v1/kv/reservations/" + entry.key_.id_;
        case holding_kind::kv_export:
            break;
    }
    return "/v1/kv/exports/" + entry.key_.id_;
}

task<bool> release_holding(entry_state& state, engine_id engine, holding entry)
{
    const bool request = entry.key_.kind_ == holding_kind::request;
    std::string method{request ? "POST" : "DELETE"};
    std::string body;
    if (request)
    {
        body = "{\"attempt\":" + std::to_string(entry.attempt_.get()) + "}";
    }
    auto path = release_path(entry);
    const auto answer = co_await call_engine(state, engine, std::move(method), std::move(path), std::move(body));
    state.metrics_.count("cornelstall_holdings_released_total");
    co_return answer &&
        (answer->status_ == status_ok || answer->status_ == status_no_content || answer->status_ == status_not_found);
}

std::set<request_id> wanted_here(const entry_state& state, const std::vector<request_id>& requests)
{
    std::set<request_id> wanted;
    std::ranges::copy_if(requests, std::inserter(wanted, wanted.end()),
                         [&state](const request_id& id) { return state.running_.contains(id); });
    return wanted;
}

task<std::optional<std::set<request_id>>> ask_holder(entry_state& state, vm_id holder, std::vector<request_id> requests)
{
    if (holder == state.self_)
    {
        co_return wanted_here(state, requests);
    }
    const auto channel = state.loop_ ? channel_to(*state.loop_, holder) : nullptr;
    if (!channel)
    {
        co_return std::nullopt;
    }
    std::optional<std::set<request_id>> wanted;
    try
    {
        wanted_request question;
        question.requests_ = std::move(requests);
        const auto reply = co_await channel->wanted(question, peer_call_limit);
        wanted.emplace(reply.wanted_.begin(), reply.wanted_.end());
    }
    catch (const connection_error&)
    {
        // Membership judges whether the holder is dead.
    }
    co_return wanted;
}

/// A holder that is not in the table any more died long ago; the table forgets dead members after a minute.
holder_condition condition_of(const entry_state& state, const vm_id& holder)
{
    return is_present(members_of(state), holder) ? holder_condition::live : holder_condition::dead;
}

}  // namespace

std::shared_ptr<reconciler> make_engine_reconciler(entry_state& state, const engine_id& engine)
{
    reconciler_calls calls;
    calls.list_ = [&state, engine] {
        return list_holdings(state, engine);
    };
    calls.release_ = [&state, engine](holding entry) {
        return release_holding(state, engine, std::move(entry));
    };
    calls.ask_ = [&state](vm_id holder, std::vector<request_id> requests) {
        return ask_holder(state, std::move(holder), std::move(requests));
    };
    calls.grants_ = [&state, engine] {
        return state.owner_.engines_[engine].queue_.grants_;
    };
    calls.end_grant_ = [&state, engine](const grant_id& given) {
        release(state.owner_.engines_[engine].queue_, given, token_count{0}, std::chrono::steady_clock::now());
    };
    calls.condition_of_ = [&state](const vm_id& holder) {
        return condition_of(state, holder);
    };
    return make_reconciler(std::move(calls), machine_clock(), state.metrics_);
}

}  // namespace cornelstall
