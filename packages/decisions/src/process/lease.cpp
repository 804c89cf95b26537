#include "cornelstall/decisions/process/lease.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// Time at which the lease of the last known holder has certainly ended.
time_point current_lease_end(const lease_view& view)
{
    // Without a holder, the lease was released or has never been held.
    const bool free = view.last_accepted_known_ && view.holder_.empty();
    return free ? view.read_at_ : view.read_at_ + lease_duration + lease_margin;
}

bool is_accepted(const lease_view& view, const lease_record& record)
{
    if (view.last_accepted_known_)
    {
        return record.replaces_ >= view.last_accepted_;
    }
    // No record of this lease lies between this record and the offset that it replaces, so it is accepted whatever was
    // accepted before.
    return record.replaces_ >= view.last_seen_ && record.replaces_.next() >= view.first_retained_;
}

void accept(lease_view& view, log_offset offset, const lease_record& record, time_point now)
{
    if (record.action_ == lease_action::acquire || record.holder_ != view.holder_)
    {
        view.previous_ends_ = std::max(view.previous_ends_, current_lease_end(view));
    }
    view.last_accepted_known_ = true;
    view.last_accepted_ = offset;
    view.holder_ = record.action_ == lease_action::release ? vm_id{} : record.holder_;
    view.read_at_ = now;
}

/// Applies one record of this lease. Returns whether it is accepted.
bool apply_record(lease_view& view, log_offset offset, const lease_record& record, time_point now)
{
    const bool accepted = record.replaces_ < offset && is_accepted(view, record);
    view.last_seen_ = offset;
    if (accepted)
    {
        accept(view, offset, record, now);
    }
    else if (!view.last_accepted_known_)
    {
        // The record may have been accepted, so its writer may hold the lease.
        view.read_at_ = now;
    }
    return accepted;
}

void restart_view(lease_view& view, log_offset oldest, time_point now)
{
    lease_view fresh;
    fresh.data_centre_ = view.data_centre_;
    fresh.first_retained_ = oldest;
    fresh.next_ = oldest;
    fresh.last_accepted_known_ = oldest == log_offset{1};
    fresh.read_at_ = now;
    fresh.previous_ends_ = now;
    view = std::move(fresh);
}

}  // namespace

std::vector<lease_record> apply(lease_view& view, const lease_batch& batch, time_point now)
{
    if (view.first_retained_ == log_offset{} || batch.oldest_ > view.next_)
    {
        restart_view(view, batch.oldest_, now);
    }
    std::vector<lease_record> accepted;
    std::ranges::for_each(batch.records_, [&](const positioned_lease_record& positioned) {
        const lease_record& record = positioned.record_;
        if (positioned.offset_ >= view.next_ && record.data_centre_ == view.data_centre_ &&
            apply_record(view, positioned.offset_, record, now))
        {
            accepted.push_back(record);
        }
    });
    view.next_ = std::max(view.next_, batch.next_);
    view.complete_ = view.complete_ || batch.at_end_;
    return accepted;
}

lease_record make_lease_record(lease_participant& participant, const lease_view& view, lease_action action,
                               time_point now)
{
    participant.last_attempt_ = participant.last_attempt_.next();
    participant.last_started_ = now;
    participant.releasing_ = participant.releasing_ || action == lease_action::release;
    // An attempt that is older than the lease duration cannot extend the lease, even if it is accepted late.
    std::erase_if(participant.pending_,
                  [&](const pending_lease_attempt& pending) { return pending.started_ + lease_duration <= now; });
    participant.pending_.push_back({participant.last_attempt_, now});
    // If it is not known which record was accepted last, the new record replaces all records read so far.
    const log_offset replaces = view.last_accepted_known_ ? view.last_accepted_ : view.next_ - log_offset{1};
    return {view.data_centre_, action, participant.self_, participant.last_attempt_, replaces};
}

void apply_accepted_record(lease_participant& participant, const lease_record& record)
{
    if (record.holder_ != participant.self_)
    {
        participant.held_since_.reset();
        participant.releasing_ = false;
        return;
    }
    const auto found = std::ranges::find(participant.pending_, record.attempt_, &pending_lease_attempt::attempt_);
    const bool held = found != participant.pending_.end() && record.action_ != lease_action::release;
    participant.held_since_ = held ? std::optional{found->started_} : std::nullopt;
    participant.releasing_ = participant.releasing_ && record.action_ != lease_action::release;
    std::erase_if(participant.pending_,
                  [&](const pending_lease_attempt& pending) { return pending.attempt_ <= record.attempt_; });
}

milliseconds lease_remaining(const lease_participant& participant, const lease_view& view, time_point now)
{
    if (participant.releasing_ || !participant.held_since_ || view.holder_ != participant.self_)
    {
        return milliseconds{0};
    }
    return remaining_until(*participant.held_since_ + lease_duration - lease_margin, now);
}

bool may_acquire(const lease_view& view, time_point now)
{
    return view.complete_ && current_lease_end(view) <= now;
}

std::optional<lease_action> next_lease_action(const lease_participant& participant, const lease_view& view,
                                              time_point now)
{
    if (participant.last_attempt_ != lease_attempt{} && now < participant.last_started_ + lease_renewal_period)
    {
        return std::nullopt;
    }
    if (!participant.self_.empty() && view.holder_ == participant.self_)
    {
        return participant.releasing_ ? lease_action::release : lease_action::renew;
    }
    return may_acquire(view, now) ? std::optional{lease_action::acquire} : std::nullopt;
}

order_permission check_order_permission(const lease_participant& participant, const lease_view& view,
                                        bool engine_checks_fencing, time_point state_read_at, time_point now)
{
    if (lease_remaining(participant, view, now) == milliseconds{0})
    {
        return order_permission::not_holder;
    }
    if (engine_checks_fencing)
    {
        return order_permission::allowed;
    }
    const time_point previous_orders_done = view.previous_ends_ + max_order_execution_time;
    if (now < previous_orders_done)
    {
        return order_permission::previous_order_may_run;
    }
    return state_read_at < previous_orders_done ? order_permission::read_state_first : order_permission::allowed;
}

fencing_number fencing_number_of(const lease_view& view) noexcept
{
    return fencing_number{view.last_accepted_.get()};
}

}  // namespace cornelstall
