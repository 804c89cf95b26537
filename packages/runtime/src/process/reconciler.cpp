#include "cornelstall/runtime/process/reconciler.hpp"

#include <algorithm>
#include <utility>

namespace cornelstall
{

namespace
{

using shared_reconciler = std::shared_ptr<reconciler>;

std::string_view name_of(holding_kind kind)
{
    switch (kind)
    {
        case holding_kind::request:
            return "request";
        case holding_kind::reservation:
            return "reservation";
        case holding_kind::kv_export:
            break;
    }
    return "export";
}

reconcile_plan plan_round(reconciler& self, const std::vector<holding>& held)
{
    return reconcile(self.state_, held, self.calls_.grants_(), self.calls_.condition_of_, self.clock_.now_());
}

/// Releases what is planned. What the engine does not acknowledge stays planned for the next round.
task<> carry_out(shared_reconciler self, reconcile_plan plan)
{
    std::ranges::for_each(plan.end_grants_, [&](const grant_id& id) {
        self->calls_.end_grant_(id);
        self->metrics_->count("reconcile_grants_ended_total");
    });
    for (const holding& entry : plan.release_)
    {
        if (self->stopping_)
        {
            co_return;
        }
        const bool acknowledged = co_await self->calls_.release_(entry);
        if (acknowledged)
        {
            mark_released(self->state_, entry.key_);
        }
        self->metrics_->count(acknowledged ? "reconcile_released_total" : "reconcile_release_failures_total",
                              {{"kind", name_of(entry.key_.kind_)}});
    }
}

/// Asks holders; true when one of them does not want a request any more.
task<bool> ask_holders(shared_reconciler self, std::map<vm_id, std::vector<request_id>> questions)
{
    for (const auto& [holder, requests] : questions)
    {
        const auto wanted = co_await self->calls_.ask_(holder, requests);
        if (wanted)
        {
            apply_wanted_reply(self->state_, requests, *wanted, self->clock_.now_());
        }
    }
    co_return !self->state_.unwanted_.empty();
}

}  // namespace

std::shared_ptr<reconciler> make_reconciler(reconciler_calls calls, task_clock clock, metrics& counters)
{
    auto self = std::make_shared<reconciler>();
    self->state_ = make_reconcile_state(clock.now_());
    self->calls_ = std::move(calls);
    self->clock_ = std::move(clock);
    self->metrics_ = &counters;
    return self;
}

task<> reconcile_once(std::shared_ptr<reconciler> self)
{
    const auto held = co_await self->calls_.list_();
    if (!held || self->stopping_)
    {
        self->metrics_->count("reconcile_lists_missing_total");
        co_return;
    }
    auto plan = plan_round(*self, *held);
    auto questions = std::exchange(plan.ask_, {});
    co_await carry_out(self, std::move(plan));
    // Answers are acted upon in the same round: memory that nobody wants should not wait for another period.
    const bool unwanted = co_await ask_holders(self, std::move(questions));
    if (unwanted && !self->stopping_)
    {
        co_await carry_out(self, plan_round(*self, *held));
    }
}

task<> reconcile_engine(std::shared_ptr<reconciler> self)
{
    while (!self->stopping_)
    {
        co_await reconcile_once(self);
        co_await sleep_for(self->clock_, self->period_);
    }
}

}  // namespace cornelstall
