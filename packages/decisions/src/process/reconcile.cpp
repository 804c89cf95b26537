#include "cornelstall/decisions/process/reconcile.hpp"

#include <algorithm>
#include <ranges>

namespace cornelstall
{

namespace
{

enum class decision
{
    keep,
    ask,
    release
};

struct request_and_holder
{
    request_id request_;
    vm_id holder_;

    friend auto operator<=>(const request_and_holder&, const request_and_holder&) = default;
};

decision decide(const reconcile_state& state, const request_id& request, holder_condition condition, bool may_keep)
{
    if (condition == holder_condition::dead || state.unwanted_.contains(request))
    {
        return decision::release;
    }
    if (may_keep)
    {
        return decision::keep;
    }
    return condition == holder_condition::remote ? decision::release : decision::ask;
}

void ask_holder(reconcile_state& state, reconcile_plan& plan, const vm_id& holder, const request_id& request,
                time_point now)
{
    const auto last_query = state.last_queried_.find(request);
    if (last_query == state.last_queried_.end() || last_query->second + wanted_query_interval <= now)
    {
        state.last_queried_[request] = now;
        plan.ask_[holder].push_back(request);
    }
}

struct known_requests
{
    std::set<request_and_holder> granted_;  ///< requests with a grant, and their holders
    std::set<request_id> held_;             ///< requests for which the engine holds a resource
    std::set<holding_key> listed_;          ///< resources that the engine lists
    std::set<request_id> all_;              ///< requests with a grant or a resource
};

known_requests collect_requests(std::span<const holding> held, const std::map<grant_id, grant>& grants)
{
    known_requests known;
    std::ranges::for_each(grants | std::views::values, [&](const grant& current) {
        known.granted_.insert({current.entry_.request_, current.entry_.holder_});
        known.all_.insert(current.entry_.request_);
    });
    std::ranges::for_each(held, [&](const holding& entry) {
        known.listed_.insert(entry.key_);
        known.held_.insert(entry.request_);
        known.all_.insert(entry.request_);
    });
    return known;
}

void reconcile_holding(reconcile_state& state, reconcile_plan& plan, const holding& entry, const known_requests& known,
                       holder_condition condition, time_point now)
{
    const bool has_grant = known.granted_.contains({entry.request_, entry.holder_});
    const decision action = decide(state, entry.request_, condition, has_grant);
    if (action == decision::release)
    {
        state.releasing_.insert_or_assign(entry.key_, entry);
    }
    else if (action == decision::ask)
    {
        ask_holder(state, plan, entry.holder_, entry.request_, now);
    }
}

void reconcile_unused_grant(reconcile_state& state, reconcile_plan& plan, const grant& current,
                            holder_condition condition, time_point now)
{
    // Grants of remote VMs end when they expire.
    const bool expires = condition == holder_condition::remote;
    const decision action = decide(state, current.entry_.request_, condition, expires);
    if (action == decision::release)
    {
        plan.end_grants_.push_back(current.id_);
    }
    else if (action == decision::ask)
    {
        ask_holder(state, plan, current.entry_.holder_, current.entry_.request_, now);
    }
}

/// Removes the state of requests that are neither listed by the engine nor have a grant.
void remove_ended(reconcile_state& state, const known_requests& known)
{
    const auto is_ended = [&](const auto& entry) {
        return !known.all_.contains(entry.first);
    };
    std::erase_if(state.last_queried_, is_ended);
    std::erase_if(state.unwanted_, is_ended);
    // A resource that the engine no longer lists needs no release.
    std::erase_if(state.releasing_, [&](const auto& entry) { return !known.listed_.contains(entry.first); });
}

}  // namespace

reconcile_plan reconcile(reconcile_state& state, std::span<const holding> held, const std::map<grant_id, grant>& grants,
                         const std::function<holder_condition(const vm_id&)>& condition_of, time_point now)
{
    reconcile_plan plan;
    if (now < state.owner_since_ + owner_grace_period)
    {
        return plan;
    }
    const known_requests known = collect_requests(held, grants);
    std::ranges::for_each(held, [&](const holding& entry) {
        reconcile_holding(state, plan, entry, known, condition_of(entry.holder_), now);
    });
    const auto is_unused = [&](const grant& current) {
        return !known.held_.contains(current.entry_.request_) && current.granted_at_ + min_unused_grant_age <= now;
    };
    std::ranges::for_each(grants | std::views::values | std::views::filter(is_unused), [&](const grant& current) {
        reconcile_unused_grant(state, plan, current, condition_of(current.entry_.holder_), now);
    });
    remove_ended(state, known);
    std::ranges::copy(state.releasing_ | std::views::values, std::back_inserter(plan.release_));
    return plan;
}

void apply_wanted_reply(reconcile_state& state, std::span<const request_id> asked, const std::set<request_id>& wanted,
                        time_point now)
{
    std::ranges::for_each(asked, [&](const request_id& request) {
        if (!wanted.contains(request))
        {
            state.unwanted_[request] = now;
        }
    });
}

void mark_released(reconcile_state& state, const holding_key& key)
{
    state.releasing_.erase(key);
}

reconcile_state make_reconcile_state(time_point now)
{
    return {now, {}, {}, {}};
}

}  // namespace cornelstall
