#include "cornelstall/decisions/process/lease.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// When the lease of the last known holder is over for certain.
time_point present_ends(const lease_view& view)
{
    // Without a holder, the lease was released or never held.
    const bool free = view.anchored_ && view.holder_.empty();
    return free ? view.read_at_ : view.read_at_ + lease_duration + lease_margin;
}

bool is_accepted(const lease_view& view, const lease_record& record)
{
    if (view.anchored_)
    {
        return record.replaces_ >= view.last_accepted_;
    }
    // Nothing lies between this record and what it names, so it is accepted whatever was accepted before.
    return record.replaces_ >= view.last_seen_ && record.replaces_.next() >= view.first_retained_;
}

void accept(lease_view& view, log_offset offset, const lease_record& record, time_point now)
{
    if (record.action_ == lease_action::acquire || record.holder_ != view.holder_)
    {
        view.former_ends_ = std::max(view.former_ends_, present_ends(view));
    }
    view.anchored_ = true;
    view.last_accepted_ = offset;
    view.holder_ = record.action_ == lease_action::release ? vm_id{} : record.holder_;
    view.read_at_ = now;
}

/// Applies one record of this lease; true when it is accepted.
bool apply_record(lease_view& view, log_offset offset, const lease_record& record, time_point now)
{
    const bool accepted = record.replaces_ < offset && is_accepted(view, record);
    view.last_seen_ = offset;
    if (accepted)
    {
        accept(view, offset, record, now);
    }
    else if (!view.anchored_)
    {
        // It may have been accepted, so its writer may hold the lease.
        view.read_at_ = now;
    }
    return accepted;
}

void start_reading(lease_view& view, log_offset oldest, time_point now)
{
    lease_view fresh;
    fresh.data_centre_ = view.data_centre_;
    fresh.first_retained_ = oldest;
    fresh.next_ = oldest;
    fresh.anchored_ = oldest == log_offset{1};
    fresh.read_at_ = now;
    fresh.former_ends_ = now;
    view = std::move(fresh);
}

}  // namespace

std::vector<lease_record> apply(lease_view& view, const lease_batch& batch, time_point now)
{
    if (view.first_retained_ == log_offset{} || batch.oldest_ > view.next_)
    {
        start_reading(view, batch.oldest_, now);
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

lease_record make_lease_record(lease_participant& claimant, const lease_view& view, lease_action action, time_point now)
{
    claimant.last_attempt_ = claimant.last_attempt_.next();
    claimant.last_started_ = now;
    claimant.releasing_ = claimant.releasing_ || action == lease_action::release;
    // An attempt older than a lease gives no time any more, even if it is accepted late.
    std::erase_if(claimant.pending_,
                  [&](const open_lease_attempt& open) { return open.started_ + lease_duration <= now; });
    claimant.pending_.push_back({claimant.last_attempt_, now});
    // A VM that does not know which record was accepted last replaces all that it has read.
    const log_offset replaces = view.anchored_ ? view.last_accepted_ : view.next_ - log_offset{1};
    return {view.data_centre_, action, claimant.self_, claimant.last_attempt_, replaces};
}

void apply_accepted_record(lease_participant& claimant, const lease_record& record)
{
    if (record.holder_ != claimant.self_)
    {
        claimant.held_since_.reset();
        claimant.releasing_ = false;
        return;
    }
    const auto found = std::ranges::find(claimant.pending_, record.attempt_, &open_lease_attempt::attempt_);
    const bool held = found != claimant.pending_.end() && record.action_ != lease_action::release;
    claimant.held_since_ = held ? std::optional{found->started_} : std::nullopt;
    claimant.releasing_ = claimant.releasing_ && record.action_ != lease_action::release;
    std::erase_if(claimant.pending_, [&](const open_lease_attempt& open) { return open.attempt_ <= record.attempt_; });
}

milliseconds lease_remaining(const lease_participant& claimant, const lease_view& view, time_point now)
{
    if (claimant.releasing_ || !claimant.held_since_ || view.holder_ != claimant.self_)
    {
        return milliseconds{0};
    }
    return remaining_until(*claimant.held_since_ + lease_duration - lease_margin, now);
}

bool may_acquire(const lease_view& view, time_point now)
{
    return view.complete_ && present_ends(view) <= now;
}

std::optional<lease_action> next_lease_action(const lease_participant& claimant, const lease_view& view, time_point now)
{
    if (claimant.last_attempt_ != lease_attempt{} && now < claimant.last_started_ + lease_renewal_period)
    {
        return std::nullopt;
    }
    if (!claimant.self_.empty() && view.holder_ == claimant.self_)
    {
        return claimant.releasing_ ? lease_action::release : lease_action::renew;
    }
    return may_acquire(view, now) ? std::optional{lease_action::acquire} : std::nullopt;
}

order_permission check_order_permission(const lease_participant& claimant, const lease_view& view,
                                        bool engine_checks_fencing, time_point state_read_at, time_point now)
{
    if (lease_remaining(claimant, view, now) == milliseconds{0})
    {
        return order_permission::not_holder;
    }
    if (engine_checks_fencing)
    {
        return order_permission::allowed;
    }
    const time_point former_done = view.former_ends_ + max_order_execution_time;
    if (now < former_done)
    {
        return order_permission::former_may_order;
    }
    return state_read_at < former_done ? order_permission::read_state_first : order_permission::allowed;
}

fencing_number fencing_number_of(const lease_view& view) noexcept
{
    return fencing_number{view.last_accepted_.get()};
}

}  // namespace cornelstall
