#include "cornelstall/runtime/request/plain_request.hpp"

#include <algorithm>

#include "cornelstall/runtime/request/model_request.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::string_view services_prefix = "/services/";

/// The service's name and the rest of a path `/services/{service}/{rest}`.
struct plain_path
{
    std::string service_;
    std::string rest_;
};

plain_path split_path(const std::string& path)
{
    const auto start = services_prefix.size();
    const auto slash = std::min(path.find('/', start), path.size());
    const auto query = std::min(path.find('?', start), slash);
    plain_path result{path.substr(start, query - start), path.substr(query)};
    if (!result.rest_.starts_with('/'))
    {
        result.rest_.insert(0, "/");
    }
    return result;
}

const plain_service_policy& find_service(const service_policy& service, const std::string& name)
{
    const auto found = std::ranges::find(service.plain_services_, name, &plain_service_policy::name_);
    if (found == service.plain_services_.end())
    {
        throw request_error(149, refusal_reason::malformed_request, outcome::did_not_run,
                            "service '" + service.name_.get() + "' declares no plain service '" + name +
                                "'; check the path or add it to the declaration");
    }
    return *found;
}

/// The declared call with the longest matching prefix: a call that is not declared might be one that must not be
/// repeated.
const plain_call_policy& find_call(const plain_service_policy& service, const std::string& method,
                                   const std::string& path)
{
    const plain_call_policy* best = nullptr;
    std::ranges::for_each(service.calls_, [&](const plain_call_policy& call) {
        const bool matches = call.method_ == method && path.starts_with(call.path_prefix_);
        if (matches && (best == nullptr || call.path_prefix_.size() > best->path_prefix_.size()))
        {
            best = &call;
        }
    });
    if (best == nullptr)
    {
        throw request_error(149, refusal_reason::malformed_request, outcome::did_not_run,
                            method + " " + path + " is not declared for plain service '" + service.name_ +
                                "'; declare the call and whether it is idempotent");
    }
    return *best;
}

std::vector<plain_server> servers_of(const entry_state& state, const std::string& service)
{
    std::vector<plain_server> servers;
    std::ranges::for_each(state.plain_servers_, [&](const listed_vm& vm) {
        const server_id id{vm.id_};
        if (vm.service_ == service && !vm.leaving_ && !state.draining_servers_.contains(id))
        {
            servers.push_back({id, vm.address_});
        }
    });
    if (!servers.empty())
    {
        // Each request begins with another server, so that the load spreads evenly.
        const auto first = static_cast<std::ptrdiff_t>(state.next_request_ % servers.size());
        std::ranges::rotate(servers, servers.begin() + first);
    }
    return servers;
}

task<plain_request> read_plain_request(entry_state& state, caller_connection& connection, request_id id)
{
    const auto arrived = clock::now();
    const auto version = state.version_;
    const auto caller = authenticate(version, connection.header("Authorization"));
    const auto path = split_path(connection.path_and_query());
    const auto& service = find_service(*caller.service_, path.service_);
    plain_request request;
    request.policy_ = find_call(service, connection.method(), path.rest_);
    request.service_ = service.name_;
    request.caller_ = caller_id{caller.service_->name_.get() + "/" + caller.caller_->name_.get()};
    request.key_ = idempotency_key{connection.header("Idempotency-Key")};
    request.deadline_ = arrived + request.policy_.timeout_ - answer_margin;
    request.call_.method_ = connection.method();
    request.call_.path_ = path.rest_;
    request.call_.headers_["X-Request-Id"] = id.get();
    if (!request.key_.empty())
    {
        request.call_.headers_["Idempotency-Key"] = request.key_.get();
    }
    const auto type = connection.header("Content-Type");
    if (!type.empty())
    {
        request.call_.content_type_ = type;
    }
    const auto limits = caller.service_->limits_;
    request.call_.body_ = co_await connection.read_body(limits.max_body_, limits.body_timeout_);
    co_return request;
}

}  // namespace

std::shared_ptr<plain_call_context> make_plain_context(entry_state& state)
{
    return std::make_shared<plain_call_context>(plain_call_context{
        state.executor_,
        machine_clock(),
        state.claims_,
        &state.retries_,
        &state.metrics_,
        [&state](const std::string& service) { return servers_of(state, service); },
        [](http_call call) { return make_call(std::move(call)); },
        [&state](const server_id& server) { state.draining_servers_.insert(server); },
    });
}

task<> serve_plain(entry_state& state, std::shared_ptr<plain_call_context> context,
                   std::shared_ptr<caller_connection> connection)
{
    const auto id = next_request_id(state);
    try
    {
        if (state.closed_)
        {
            throw request_error(122, refusal_reason::stopping, outcome::did_not_run, "this VM is stopping; retry",
                                milliseconds{1000});
        }
        auto request = co_await read_plain_request(state, *connection, id);
        const auto answer = co_await call_plain_service(std::move(context), std::move(request));
        const auto type = answer.headers_.find("content-type");
        connection->reply(answer.status_, answer.body_,
                          type == answer.headers_.end() ? "application/octet-stream" : type->second);
        state.metrics_.count("cornelstall_plain_calls_total");
    }
    catch (const request_error& problem)
    {
        refuse(state, *connection, id, problem);
    }
}

}  // namespace cornelstall
