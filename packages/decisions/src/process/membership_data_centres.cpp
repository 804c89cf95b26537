#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

#include "cornelstall/decisions/process/data_centres.hpp"

namespace cornelstall
{

namespace
{

/// Minimum change of the free slots, as a share of all slots, that justifies sending a new revision.
constexpr double significant_slot_share = 0.1;

const model_capacity* capacity_of(const data_centre_summary& summary, const model_id& model)
{
    const auto found = std::ranges::find(summary.capacity_, model, &model_capacity::model_);
    return found == summary.capacity_.end() ? nullptr : &*found;
}

bool differs_significantly(const model_capacity& left, const model_capacity& right)
{
    return left.model_ != right.model_ || left.engines_ != right.engines_ || left.slots_ != right.slots_ ||
           std::abs(left.free_slots_ - right.free_slots_) > significant_slot_share * left.slots_ ||
           (left.free_slots_ == 0) != (right.free_slots_ == 0);
}

bool differ_significantly(const std::vector<model_capacity>& left, const std::vector<model_capacity>& right)
{
    return !std::ranges::equal(left, right,
                               [](const auto& one, const auto& other) { return !differs_significantly(one, other); });
}

std::vector<contact_point> choose_contact_points(const data_centre_id& own, const std::vector<member>& live)
{
    std::vector<contact_point> contacts;
    std::ranges::transform(highest_scoring_members("contact/" + own.get(), live, contacts_per_data_centre),
                           std::back_inserter(contacts), [](const member& each) {
                               return contact_point{each.id_, each.peer_address_};
                           });
    return contacts;
}

bool is_due(const data_centre_record& written, const data_centre_summary& next, time_point now)
{
    const data_centre_summary& current = written.summary_;
    const auto age = now - written.received_at_;
    return current.revision_ == 0 || current.author_ != next.author_ || current.version_ != next.version_ ||
           current.contacts_ != next.contacts_ || age >= summary_refresh_interval ||
           (age >= min_capacity_update_interval && differ_significantly(current.capacity_, next.capacity_));
}

}  // namespace

std::vector<member> members_exchanging_with(const std::vector<member>& live, const data_centre_id& other)
{
    return highest_scoring_members("keeper/" + other.get(), live, contacts_per_data_centre);
}

std::vector<contact_point> select_remote_contacts(const vm_id& self, const std::vector<member>& live,
                                                  const data_centre_summary& other)
{
    const std::vector<member> exchanging_members = members_exchanging_with(live, other.id_);
    if (std::ranges::find(exchanging_members, self, &member::id_) == exchanging_members.end())
    {
        return {};
    }
    // The member's own id as the key gives different members different contact points, which spreads the load over
    // them.
    std::vector<member> candidates;
    std::ranges::transform(other.contacts_, std::back_inserter(candidates), [&](const contact_point& each) {
        return member{each.id_, each.peer_address_, other.id_, incarnation{}, member_state::alive};
    });
    std::vector<contact_point> selected;
    std::ranges::transform(highest_scoring_members(self.get(), std::move(candidates), remote_contacts_per_member),
                           std::back_inserter(selected), [](const member& each) {
                               return contact_point{each.id_, each.peer_address_};
                           });
    return selected;
}

std::optional<vm_id> summary_author(const data_centre_id& own, const std::vector<member>& live)
{
    return rendezvous_owner("summary/" + own.get(), live);
}

std::vector<model_capacity> capacity_by_model(const std::vector<const engine_state*>& engines)
{
    std::map<model_id, model_capacity> by_model;
    for (const engine_state* engine : engines)
    {
        if (engine->condition_ != engine_condition::ready)
        {
            continue;
        }
        const engine_load& load = engine->load_;
        for (const loaded_model& loaded : load.models_)
        {
            model_capacity& capacity = by_model[loaded.name_];
            capacity.model_ = loaded.name_;
            capacity.engines_ += 1;
            capacity.slots_ += load.slots_;
            capacity.free_slots_ += std::max(0, load.slots_ - load.running_ - load.waiting_);
            capacity.prefill_rate_ += load.prefill_rate_;
        }
    }
    std::vector<model_capacity> result;
    std::ranges::transform(by_model, std::back_inserter(result), [](const auto& entry) { return entry.second; });
    return result;
}

bool update_own_summary(data_centre_table& summaries, membership_table& table, configuration_version version,
                        std::vector<model_capacity> capacity, time_point now)
{
    const data_centre_id& own = table.self_.data_centre_;
    const std::vector<member> live = live_members(table, own);
    if (summary_author(own, live) != table.self_.id_)
    {
        return false;
    }
    data_centre_record& record = summaries[own];
    data_centre_summary next{own,
                             table.self_.id_,
                             record.summary_.revision_ + 1,
                             version,
                             choose_contact_points(own, live),
                             std::move(capacity)};
    if (!is_due(record, next, now))
    {
        return false;
    }
    record = {std::move(next), ++table.sequence_, now, vm_id{}};
    return true;
}

bool apply(data_centre_table& summaries, membership_table& table, const data_centre_summary& update, time_point now,
           const vm_id& source, bool forward)
{
    const auto [known, is_new] = summaries.try_emplace(update.id_);
    data_centre_record& record = known->second;
    if (!is_new &&
        std::tie(update.revision_, update.author_) <= std::tie(record.summary_.revision_, record.summary_.author_))
    {
        return false;
    }
    record.summary_ = update;
    record.received_at_ = now;
    if (is_new || forward)
    {
        record.change_sequence_ = ++table.sequence_;
        record.source_peer_ = source;
    }
    return true;
}

bool has_recent_summary(const data_centre_table& summaries, const data_centre_id& id, time_point now)
{
    const auto known = summaries.find(id);
    return known != summaries.end() && now - known->second.received_at_ <= max_summary_age;
}

std::vector<const data_centre_summary*> data_centres_with_capacity(const data_centre_table& summaries,
                                                                   const data_centre_id& own, const model_id& model,
                                                                   time_point now)
{
    std::vector<const data_centre_summary*> found;
    for (const auto& [id, record] : summaries)
    {
        if (id != own && has_recent_summary(summaries, id, now) && capacity_of(record.summary_, model) != nullptr)
        {
            found.push_back(&record.summary_);
        }
    }
    std::ranges::stable_sort(found, std::ranges::greater{},
                             [&](const data_centre_summary* each) { return capacity_of(*each, model)->free_slots_; });
    return found;
}

}  // namespace cornelstall
