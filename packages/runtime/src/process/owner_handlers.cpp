#include <algorithm>

#include "cornelstall/runtime/process/peer_services.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

queue_entry to_entry(const reserve_request& request)
{
    queue_entry entry;
    entry.request_ = request.request_;
    entry.attempt_ = request.attempt_;
    entry.holder_ = request.holder_;
    entry.caller_ = request.caller_;
    entry.weight_ = request.weight_;
    entry.rank_ = request.rank_;
    entry.model_ = request.model_;
    entry.prompt_ = request.prompt_;
    entry.uncached_ = request.uncached_;
    entry.max_output_ = request.max_output_;
    entry.arrived_ = clock::now();
    entry.deadline_ = entry.arrived_ + request.remaining_;
    entry.no_wait_ = request.no_wait_;
    return entry;
}

reserve_reply to_reply(const reservation_result& result, const vm_id& owner, const engine_id& engine,
                       const socket_address& address)
{
    reserve_reply reply;
    reply.owner_ = owner;
    reply.engine_ = engine;
    reply.address_ = address;
    if (const auto* const given = std::get_if<grant>(&result))
    {
        reply.granted_ = true;
        reply.grant_ = given->id_;
        reply.priority_ = given->priority_;
        return reply;
    }
    const auto& refusal = std::get<queue_refusal>(result);
    reply.refusal_ = refusal.reason_;
    reply.message_ = refusal.message_;
    reply.retry_after_ = refusal.retry_after_;
    return reply;
}

reserve_reply not_owner(const entry_state& state, const engine_id& engine)
{
    reserve_reply reply;
    reply.not_owner_ = true;
    reply.owner_ = rendezvous_owner(engine.get(), owner_candidates(state)).value_or(vm_id{});
    return reply;
}

task<reserve_reply> serve_reserve(entry_state& state, reserve_request request, std::shared_ptr<peer_call> call)
{
    const auto found = state.engines_.find(request.engine_);
    if (found == state.engines_.end() || !owns(state, request.engine_))
    {
        co_return not_owner(state, request.engine_);
    }
    call->on_cancel_ = [&state, engine = request.engine_, id = request.request_, attempt = request.attempt_] {
        withdraw_reservation(state.owner_, engine, id, attempt);
    };
    auto entry = to_entry(request);
    const auto address = found->second.address_;
    const auto result = co_await reserve(state.owner_, found->second, std::move(entry), state.metrics_);
    call->on_cancel_ = {};
    const auto* const given = std::get_if<grant>(&result);
    if (given != nullptr && call->cancelled_)
    {
        // The caller left in the moment of the grant: nobody would release it.
        release(state.owner_.engines_[request.engine_].queue_, given->id_, token_count{0}, clock::now());
    }
    co_return to_reply(result, state.self_, request.engine_, address);
}

void pump_engine(entry_state& state, const engine_id& engine)
{
    if (const auto found = state.engines_.find(engine); found != state.engines_.end())
    {
        pump(state.owner_, found->second, state.metrics_);
    }
}

release_reply serve_release(entry_state& state, const release_request& request)
{
    const auto owned = state.owner_.engines_.find(request.engine_);
    if (owned == state.owner_.engines_.end())
    {
        return {false};
    }
    bool known = true;
    if (request.first_part_only_)
    {
        mark_prefill_finished(owned->second.queue_, request.grant_);
    }
    else
    {
        known = release(owned->second.queue_, request.grant_, request.used_output_, clock::now()).has_value();
    }
    pump_engine(state, request.engine_);
    return {known};
}

grant to_grant(const running_grant& announced)
{
    grant given;
    given.id_ = announced.grant_;
    given.entry_ = to_entry(announced.request_);
    given.granted_at_ = given.entry_.arrived_;
    given.prefilling_ = false;
    return given;
}

renew_reply serve_renew(entry_state& state, const renew_request& request)
{
    renew_reply reply;
    std::ranges::for_each(request.grants_, [&](const running_grant& announced) {
        if (!owns(state, announced.request_.engine_) || !state.engines_.contains(announced.request_.engine_))
        {
            reply.unknown_.push_back(announced.grant_);
            return;
        }
        auto& queue = state.owner_.engines_[announced.request_.engine_].queue_;
        if (!queue.grants_.contains(announced.grant_))
        {
            restore_grant(queue, to_grant(announced));
        }
    });
    return reply;
}

wanted_reply serve_wanted(const entry_state& state, const wanted_request& request)
{
    wanted_reply reply;
    std::ranges::copy_if(request.requests_, std::back_inserter(reply.wanted_),
                         [&state](const request_id& id) { return state.running_.contains(id); });
    return reply;
}

fetch_configuration_reply serve_fetch(const entry_state& state)
{
    fetch_configuration_reply reply;
    if (!state.version_)
    {
        return reply;
    }
    const auto& active_config = *state.version_->configuration_;
    reply.version_ = active_config.version_;
    std::ranges::transform(active_config.declarations_, std::back_inserter(reply.declarations_),
                           [](const auto& entry) { return entry.second; });
    return reply;
}

}  // namespace

void add_owner_handlers(peer_handlers& handlers, entry_state& state)
{
    handlers.reserve_ = [&state](reserve_request request, std::shared_ptr<peer_call> call) {
        return serve_reserve(state, std::move(request), std::move(call));
    };
    handlers.release_ = [&state](release_request request, std::shared_ptr<peer_call>) -> task<release_reply> {
        co_return serve_release(state, request);
    };
    handlers.renew_ = [&state](renew_request request, std::shared_ptr<peer_call>) -> task<renew_reply> {
        co_return serve_renew(state, request);
    };
    handlers.wanted_ = [&state](wanted_request request, std::shared_ptr<peer_call>) -> task<wanted_reply> {
        co_return serve_wanted(state, request);
    };
    handlers.fetch_configuration_ = [&state](fetch_configuration_request,
                                             std::shared_ptr<peer_call>) -> task<fetch_configuration_reply> {
        co_return serve_fetch(state);
    };
}

}  // namespace cornelstall
