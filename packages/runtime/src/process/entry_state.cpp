#include "cornelstall/runtime/process/entry_state.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace cornelstall
{

namespace
{

/// A VM id names one run of a process: a restarted process must not be taken for its predecessor.
vm_id make_vm_id(const std::string& name)
{
    std::random_device source;
    const auto high = static_cast<std::uint64_t>(source()) << 32U;
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(high | source()));
    return vm_id{name + "-" + text.data()};
}

member self_of(const settings& values, const vm_id& id)
{
    return {id, values.peer_advertise_, values.data_centre_, incarnation{1}, member_state::alive};
}

}  // namespace

std::shared_ptr<const version_state> make_version_state(std::shared_ptr<const configuration> active_config)
{
    auto result = std::make_shared<version_state>();
    result->configuration_ = std::move(active_config);
    for (const auto& [name, service] : result->configuration_->services_)
    {
        std::ranges::for_each(service.callers_, [&result, &service = service](const caller_policy& caller) {
            result->callers_.emplace(caller.key_, authenticated_caller{&service, &caller});
        });
    }
    return result;
}

entry_state::entry_state(settings values, executor where)
    : settings_(std::move(values)),
      executor_(std::move(where)),
      self_(make_vm_id(settings_.name_)),
      alone_(make_membership(self_of(settings_, self_), std::chrono::steady_clock::now())),
      access_(make_local_access(*this))
{}

request_id next_request_id(entry_state& state)
{
    return request_id{"req-" + state.self_.get() + "-" + std::to_string(state.next_request_++)};
}

void explain(entry_state& state, const request_id& request, std::string text)
{
    state.explanations_.push_back({request, std::move(text)});
    if (state.explanations_.size() > max_explanations)
    {
        state.explanations_.pop_front();
    }
}

owner_access make_local_access(entry_state& state)
{
    owner_access access;
    access.reserve_ = [&state](engine_id engine, queue_entry entry) -> task<reservation_result> {
        const auto found = state.engines_.find(engine);
        if (found == state.engines_.end())
        {
            co_return queue_refusal{refusal_reason::no_engine_ready, "the engine has left", std::nullopt};
        }
        co_return co_await reserve(state.owner_, found->second, std::move(entry), state.metrics_);
    };
    access.first_part_ = [&state](const engine_id& engine, const grant_id& given) {
        mark_prefill_finished(state.owner_.engines_[engine].queue_, given);
        if (const auto found = state.engines_.find(engine); found != state.engines_.end())
        {
            pump(state.owner_, found->second, state.metrics_);
        }
    };
    access.release_ = [&state](const engine_id& engine, const grant_id& given, token_count used) {
        release(state.owner_.engines_[engine].queue_, given, used, std::chrono::steady_clock::now());
        if (const auto found = state.engines_.find(engine); found != state.engines_.end())
        {
            pump(state.owner_, found->second, state.metrics_);
        }
    };
    access.withdraw_ = [&state](const engine_id& engine, const request_id& request, attempt_number attempt) {
        withdraw_reservation(state.owner_, engine, request, attempt);
    };
    return access;
}

const engine_state* summary_of(const entry_state& state, const engine_id& engine)
{
    if (!state.loop_)
    {
        return nullptr;
    }
    const auto found = state.loop_->view_.engines_.find(engine);
    return found == state.loop_->view_.engines_.end() ? nullptr : &found->second.summary_.state_;
}

const membership_table& members_of(const entry_state& state)
{
    return state.loop_ ? state.loop_->view_.members_ : state.alone_;
}

std::vector<member> owner_candidates(const entry_state& state)
{
    auto candidates = live_members(members_of(state), state.settings_.data_centre_);
    std::erase_if(candidates, [](const member& candidate) { return candidate.state_ == member_state::leaving; });
    return candidates;
}

std::vector<const engine_state*> known_engines(const entry_state& state)
{
    std::vector<const engine_state*> engines;
    for (const auto& [id, engine] : state.engines_)
    {
        if (state.drained_for_orders_.contains(id))
        {
            continue;
        }
        if (state.watched_.contains(id))
        {
            engines.push_back(&engine);
            continue;
        }
        // The VM list may know of a drain before the owner's summary tells it.
        const auto* const summary = summary_of(state, id);
        if (summary != nullptr && engine.condition_ != engine_condition::draining)
        {
            engines.push_back(summary);
        }
    }
    return engines;
}

engine_state* find_engine(entry_state& state, const engine_id& engine)
{
    if (!state.watched_.contains(engine) && state.loop_)
    {
        const auto found = state.loop_->view_.engines_.find(engine);
        return found == state.loop_->view_.engines_.end() ? nullptr : &found->second.summary_.state_;
    }
    const auto found = state.engines_.find(engine);
    return found == state.engines_.end() ? nullptr : &found->second;
}

bool owns(const entry_state& state, const engine_id& engine)
{
    return rendezvous_owner(engine.get(), owner_candidates(state)) == state.self_;
}

}  // namespace cornelstall
