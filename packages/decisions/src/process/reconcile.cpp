#include "cornelstall/decisions/process/reconcile.hpp"

#include <algorithm>
#include <ranges>

namespace cornelstall
{

namespace
{

enum class verdict
{
    keep,
    ask,
    release
};

struct holder_key
{
    request_id request_;
    vm_id holder_;

    friend auto operator<=>(const holder_key&, const holder_key&) = default;
};

verdict judge(const reconcile_state& state, const request_id& request, holder_condition condition, bool matched)
{
    if (condition == holder_condition::dead || state.unwanted_.contains(request))
    {
        return verdict::release;
    }
    if (matched)
    {
        return verdict::keep;
    }
    return condition == holder_condition::elsewhere ? verdict::release : verdict::ask;
}

void ask(reconcile_state& state, reconcile_plan& plan, const vm_id& holder, const request_id& request, time_point now)
{
    const auto asked = state.asked_.find(request);
    if (asked == state.asked_.end() || asked->second + wanted_question_period <= now)
    {
        state.asked_[request] = now;
        plan.ask_[holder].push_back(request);
    }
}

struct known_requests
{
    std::set<holder_key> granted_;
    std::set<request_id> held_;
    std::set<holding_key> listed_;
    std::set<request_id> all_;
};

known_requests collect(std::span<const holding> held, const std::map<grant_id, grant>& grants)
{
    known_requests known;
    std::ranges::for_each(grants | std::views::values, [&](const grant& given) {
        known.granted_.insert({given.entry_.request_, given.entry_.holder_});
        known.all_.insert(given.entry_.request_);
    });
    std::ranges::for_each(held, [&](const holding& entry) {
        known.listed_.insert(entry.key_);
        known.held_.insert(entry.request_);
        known.all_.insert(entry.request_);
    });
    return known;
}

void judge_holding(reconcile_state& state, reconcile_plan& plan, const holding& entry, const known_requests& known,
                   holder_condition condition, time_point now)
{
    const bool matched = known.granted_.contains({entry.request_, entry.holder_});
    const verdict found = judge(state, entry.request_, condition, matched);
    if (found == verdict::release)
    {
        state.releasing_.insert_or_assign(entry.key_, entry);
    }
    else if (found == verdict::ask)
    {
        ask(state, plan, entry.holder_, entry.request_, now);
    }
}

void judge_unused_grant(reconcile_state& state, reconcile_plan& plan, const grant& given, holder_condition condition,
                        time_point now)
{
    // Grants of VMs elsewhere end by their own expiry.
    const bool expires = condition == holder_condition::elsewhere;
    const verdict found = judge(state, given.entry_.request_, condition, expires);
    if (found == verdict::release)
    {
        plan.end_grants_.push_back(given.id_);
    }
    else if (found == verdict::ask)
    {
        ask(state, plan, given.entry_.holder_, given.entry_.request_, now);
    }
}

/// Drops notes about requests that neither the engine nor a grant knows any more.
void forget_ended(reconcile_state& state, const known_requests& known)
{
    const auto is_ended = [&](const auto& entry) {
        return !known.all_.contains(entry.first);
    };
    std::erase_if(state.asked_, is_ended);
    std::erase_if(state.unwanted_, is_ended);
    // What the engine lists no more needs no release any more.
    std::erase_if(state.releasing_, [&](const auto& entry) { return !known.listed_.contains(entry.first); });
}

}  // namespace

reconcile_plan reconcile(reconcile_state& state, std::span<const holding> held, const std::map<grant_id, grant>& grants,
                         const std::function<holder_condition(const vm_id&)>& condition_of, time_point now)
{
    reconcile_plan plan;
    if (now < state.owner_since_ + owner_settling_time)
    {
        return plan;
    }
    const known_requests known = collect(held, grants);
    std::ranges::for_each(held, [&](const holding& entry) {
        judge_holding(state, plan, entry, known, condition_of(entry.holder_), now);
    });
    const auto is_unused = [&](const grant& given) {
        return !known.held_.contains(given.entry_.request_) && given.granted_at_ + unused_grant_age <= now;
    };
    std::ranges::for_each(grants | std::views::values | std::views::filter(is_unused), [&](const grant& given) {
        judge_unused_grant(state, plan, given, condition_of(given.entry_.holder_), now);
    });
    forget_ended(state, known);
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
