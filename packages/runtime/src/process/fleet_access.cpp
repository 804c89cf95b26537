#include <algorithm>

#include "cornelstall/runtime/process/peer_services.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr milliseconds release_pause{200};
/// Releases are repeated this long; afterwards the owner's reconciliation ends the grant.
constexpr milliseconds release_limit{30'000};

reserve_request to_request(const engine_id& engine, const queue_entry& entry)
{
    reserve_request request;
    request.engine_ = engine;
    request.request_ = entry.request_;
    request.attempt_ = entry.attempt_;
    request.holder_ = entry.holder_;
    request.caller_ = entry.caller_;
    request.weight_ = entry.weight_;
    request.rank_ = entry.rank_;
    request.model_ = entry.model_;
    request.prompt_ = entry.prompt_;
    request.uncached_ = entry.uncached_;
    request.max_output_ = entry.max_output_;
    request.remaining_ = remaining_until(entry.deadline_, clock::now());
    request.no_wait_ = entry.no_wait_;
    return request;
}

queue_refusal try_elsewhere(entry_state& state, retry_reason reason, const std::string& message)
{
    state.metrics_.count("cornelstall_retries_total", {{"reason", to_string(reason)}});
    return {refusal_reason::no_engine_ready, message, std::nullopt};
}

reservation_result to_result(entry_state& state, const reserve_reply& reply, queue_entry entry)
{
    if (reply.not_owner_)
    {
        return try_elsewhere(state, retry_reason::owner_changed, "the engine has another owner");
    }
    if (!reply.granted_)
    {
        return queue_refusal{reply.refusal_.value_or(refusal_reason::no_engine_ready), reply.message_,
                             reply.retry_after_};
    }
    grant given;
    given.id_ = reply.grant_;
    given.priority_ = reply.priority_;
    given.entry_ = std::move(entry);
    given.granted_at_ = clock::now();
    return given;
}

task<reservation_result> reserve_at(entry_state& state, vm_id owner, engine_id engine, queue_entry entry)
{
    const auto channel = channel_to(*state.loop_, owner);
    if (!channel)
    {
        co_return try_elsewhere(state, retry_reason::owner_unreachable, "the engine's owner is not reachable");
    }
    auto control = std::make_shared<call_control>();
    state.waiting_calls_[entry.request_] = control;
    std::optional<reserve_reply> reply;
    auto request = to_request(engine, entry);
    const auto limit = request.remaining_;
    const auto id = entry.request_;
    try
    {
        reply = co_await channel->reserve(request, limit, control);
    }
    catch (const connection_error&)
    {
        // Whether the owner is gone or only silent, another engine or the next owner serves this request.
    }
    state.waiting_calls_.erase(id);
    if (!reply)
    {
        co_return try_elsewhere(state, retry_reason::owner_unreachable, "the engine's owner did not answer");
    }
    auto result = to_result(state, *reply, std::move(entry));
    if (const auto* const given = std::get_if<grant>(&result))
    {
        state.granted_by_[given->id_] = reply->owner_;
    }
    co_return result;
}

/// Repeats a release until the member that gave the grant acknowledges or is gone.
task<> release_at(entry_state& state, engine_id engine, grant_id given, token_count used, bool first_part_only)
{
    const auto deadline = clock::now() + release_limit;
    while (clock::now() < deadline)
    {
        const auto found = state.granted_by_.find(given);
        if (found == state.granted_by_.end() || !is_present(members_of(state), found->second))
        {
            break;
        }
        const auto channel = channel_to(*state.loop_, found->second);
        bool acknowledged = false;
        try
        {
            if (channel)
            {
                release_request request{engine, given, used, first_part_only, true};
                (void)co_await channel->release(request, peer_call_limit);
                acknowledged = true;
            }
        }
        catch (const connection_error&)
        {
            acknowledged = false;
        }
        if (acknowledged || first_part_only)
        {
            break;
        }
        co_await sleep_for(release_pause);
    }
    if (!first_part_only)
    {
        state.granted_by_.erase(given);
    }
}

vm_id giver_of(const entry_state& state, const grant_id& given)
{
    const auto found = state.granted_by_.find(given);
    return found == state.granted_by_.end() ? state.self_ : found->second;
}

task<> announce(entry_state& state, vm_id owner, renew_request request)
{
    const auto channel = channel_to(*state.loop_, owner);
    if (!channel)
    {
        co_return;
    }
    auto grants = request.grants_;
    try
    {
        const auto reply = co_await channel->renew(request, peer_call_limit);
        std::ranges::for_each(grants, [&](const running_grant& announced) {
            if (std::ranges::find(reply.unknown_, announced.grant_) == reply.unknown_.end())
            {
                state.granted_by_[announced.grant_] = owner;
            }
        });
    }
    catch (const connection_error&)
    {
        // The owner asks for requests that it finds at the engine without a grant.
    }
}

}  // namespace

owner_access make_fleet_access(entry_state& state)
{
    const auto local = make_local_access(state);
    owner_access access;
    access.reserve_ = [&state, local](engine_id engine, queue_entry entry) -> task<reservation_result> {
        const auto owner = rendezvous_owner(engine.get(), owner_candidates(state));
        if (!owner || owner == state.self_)
        {
            co_return co_await local.reserve_(engine, std::move(entry));
        }
        co_return co_await reserve_at(state, *owner, engine, std::move(entry));
    };
    access.first_part_ = [&state, local](const engine_id& engine, const grant_id& given) {
        if (giver_of(state, given) == state.self_)
        {
            local.first_part_(engine, given);
            return;
        }
        spawn(state.executor_, "first_part", release_at(state, engine, given, token_count{0}, true));
    };
    access.release_ = [&state, local](const engine_id& engine, const grant_id& given, token_count used) {
        if (giver_of(state, given) == state.self_)
        {
            state.granted_by_.erase(given);
            local.release_(engine, given, used);
            return;
        }
        spawn(state.executor_, "release", release_at(state, engine, given, used, false));
    };
    access.withdraw_ = [&state, local](const engine_id& engine, const request_id& request, attempt_number attempt) {
        const auto call = state.waiting_calls_.find(request);
        if (call != state.waiting_calls_.end() && call->second->cancel_)
        {
            call->second->cancel_();
            return;
        }
        local.withdraw_(engine, request, attempt);
    };
    return access;
}

void announce_grants(entry_state& state)
{
    std::map<vm_id, renew_request> requests;
    for (const auto& [id, running] : state.running_)
    {
        const auto owner = rendezvous_owner(running.engine_.get(), owner_candidates(state));
        if (running.grant_.empty() || !owner || *owner == giver_of(state, running.grant_))
        {
            continue;
        }
        if (*owner == state.self_)
        {
            grant given;
            given.id_ = running.grant_;
            given.entry_ = running.entry_;
            given.granted_at_ = clock::now();
            given.prefilling_ = false;
            restore_grant(state.owner_.engines_[running.engine_].queue_, given);
            state.granted_by_.erase(running.grant_);
            continue;
        }
        auto& request = requests[*owner];
        request.holder_ = state.self_;
        request.grants_.push_back({running.grant_, to_request(running.engine_, running.entry_)});
    }
    std::ranges::for_each(requests, [&state](const auto& entry) {
        spawn(state.executor_, "announce_grants", announce(state, entry.first, entry.second));
    });
}

}  // namespace cornelstall
