#include "cornelstall/decisions/process/membership.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace cornelstall
{

namespace
{

void mark_changed(membership_table& table, member_record& record, const vm_id& source)
{
    record.change_sequence_ = ++table.sequence_;
    record.source_peer_ = source;
}

void set_state(membership_table& table, member_record& record, member_state state, time_point now)
{
    record.member_.state_ = state;
    record.state_since_ = now;
    record.unreachable_since_.reset();
    mark_changed(table, record, vm_id{});
}

void store_self(membership_table& table, time_point now)
{
    member_record& record = table.members_[table.self_.id_];
    record.member_ = table.self_;
    record.state_since_ = now;
    mark_changed(table, record, vm_id{});
}

bool overrides(const member& update, const member& current)
{
    return std::tie(update.incarnation_, update.state_) > std::tie(current.incarnation_, current.state_);
}

/// Only this VM raises its own incarnation, so an update that overrides its record comes from a peer that considers
/// this VM suspect or dead.
bool refute(membership_table& table, const member& update, time_point now)
{
    if (!overrides(update, table.self_))
    {
        return false;
    }
    table.self_.incarnation_ = update.incarnation_.next();
    store_self(table, now);
    return true;
}

bool has_timed_out(const member_record& record, time_point now)
{
    switch (record.member_.state_)
    {
        case member_state::suspect:
            return record.state_since_ + suspicion_timeout <= now;
        case member_state::leaving:
            return record.unreachable_since_ && *record.unreachable_since_ + suspicion_timeout <= now;
        case member_state::alive:
        case member_state::dead:
            return false;
    }
    return false;
}

}  // namespace

membership_table make_membership(member self, time_point now)
{
    membership_table table;
    table.self_ = std::move(self);
    store_self(table, now);
    return table;
}

bool apply(membership_table& table, const member& update, time_point now, const vm_id& source)
{
    if (update.id_ == table.self_.id_)
    {
        return refute(table, update, now);
    }
    const auto found = table.members_.find(update.id_);
    if (found != table.members_.end() && !overrides(update, found->second.member_))
    {
        return false;
    }
    const bool is_unknown_and_dead = found == table.members_.end() && update.state_ == member_state::dead;
    member_record& record = table.members_[update.id_];
    record.member_ = update;
    record.state_since_ = now;
    record.unreachable_since_.reset();
    if (!is_unknown_and_dead)
    {
        mark_changed(table, record, source);
    }
    return true;
}

bool mark_suspect(membership_table& table, const vm_id& id, time_point now)
{
    const auto found = table.members_.find(id);
    if (id == table.self_.id_ || found == table.members_.end() || found->second.member_.state_ != member_state::alive)
    {
        return false;
    }
    set_state(table, found->second, member_state::suspect, now);
    return true;
}

bool mark_unreachable(membership_table& table, const vm_id& id, time_point now)
{
    const auto found = table.members_.find(id);
    if (found != table.members_.end() && found->second.member_.state_ == member_state::leaving &&
        !found->second.unreachable_since_)
    {
        found->second.unreachable_since_ = now;
    }
    return mark_suspect(table, id, now);
}

void mark_reachable(membership_table& table, const vm_id& id)
{
    if (const auto found = table.members_.find(id); found != table.members_.end())
    {
        found->second.unreachable_since_.reset();
    }
}

void leave(membership_table& table, time_point now)
{
    if (table.self_.state_ != member_state::leaving)
    {
        table.self_.state_ = member_state::leaving;
        store_self(table, now);
    }
}

std::vector<member> expire_members(membership_table& table, time_point now)
{
    std::erase_if(table.members_, [&](const auto& entry) {
        return entry.second.member_.state_ == member_state::dead &&
               entry.second.state_since_ + dead_member_retention <= now;
    });
    std::vector<member> died;
    for (auto& [id, record] : table.members_)
    {
        if (id != table.self_.id_ && has_timed_out(record, now))
        {
            set_state(table, record, member_state::dead, now);
            died.push_back(record.member_);
        }
    }
    return died;
}

std::vector<member> changes_since(const membership_table& table, std::uint64_t since)
{
    std::vector<const member_record*> changed;
    for (const auto& [id, record] : table.members_)
    {
        if (record.change_sequence_ > since)
        {
            changed.push_back(&record);
        }
    }
    std::ranges::sort(changed, {}, &member_record::change_sequence_);
    std::vector<member> result;
    std::ranges::transform(changed, std::back_inserter(result), &member_record::member_);
    return result;
}

std::vector<member> live_members(const membership_table& table, const data_centre_id& data_centre)
{
    std::vector<member> result;
    for (const auto& [id, record] : table.members_)
    {
        const member_state state = record.member_.state_;
        if (record.member_.data_centre_ == data_centre &&
            (state == member_state::alive || state == member_state::suspect))
        {
            result.push_back(record.member_);
        }
    }
    return result;
}

bool is_present(const membership_table& table, const vm_id& id)
{
    const auto found = table.members_.find(id);
    return found != table.members_.end() && found->second.member_.state_ != member_state::dead;
}

}  // namespace cornelstall
