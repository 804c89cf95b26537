#include "cornelstall/decisions/version/ordering.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

namespace cornelstall
{

namespace
{

log_offset accepted_at(const configuration& active_config, const service_id& service)
{
    const auto found = active_config.declarations_.find(service);
    return found == active_config.declarations_.end() ? log_offset{0} : found->second.accepted_at_;
}

void set_policy(configuration& next, const service_id& service, parsed_policy policy)
{
    if (auto* const fleet = std::get_if<fleet_policy>(&policy); fleet != nullptr)
    {
        next.fleet_ = std::move(*fleet);
        return;
    }
    next.services_.insert_or_assign(service, std::get<service_policy>(std::move(policy)));
}

void erase_policy(configuration& next, const service_id& service)
{
    if (service == fleet_service)
    {
        next.fleet_ = {};
        return;
    }
    next.services_.erase(service);
}

/// Activates a declaration in @a next. If its text cannot be parsed, the previous policy stays in use.
void activate(configuration& next, std::map<service_id, std::string>& parse_errors, declaration changed,
              const parse_function& parse)
{
    parse_errors.erase(changed.service_);
    if (changed.text_.empty())
    {
        erase_policy(next, changed.service_);
    }
    else
    {
        try
        {
            set_policy(next, changed.service_, parse(changed.service_, changed.text_));
        }
        catch (const version_error& problem)
        {
            parse_errors.emplace(changed.service_, problem.what());
        }
    }
    const auto service = changed.service_;
    next.declarations_.insert_or_assign(service, std::move(changed));
}

/// Estimated bytes of an encoded declaration in addition to its text and service id.
constexpr std::size_t declaration_overhead_bytes = 128;

std::size_t size_in_record(const declaration& declared)
{
    return declared.text_.size() + declared.service_.get().size() + declaration_overhead_bytes;
}

bool is_same_snapshot(const snapshot_record& part, const snapshot_record& other)
{
    return part.snapshot_id_ == other.snapshot_id_ && part.version_ == other.version_ &&
           part.read_through_ == other.read_through_ && part.parts_ == other.parts_;
}

log_offset read_through(const std::map<std::uint32_t, snapshot_record>& parts)
{
    return parts.empty() ? log_offset{0} : parts.begin()->second.read_through_;
}

/// Returns the configuration to write the next version into: the active one when it is not shared, otherwise a copy.
/// A reader that is catching up applies thousands of versions that no request uses, and each copy takes milliseconds.
std::shared_ptr<configuration> writable_config(configuration_state& state)
{
    if (state.active_config_.use_count() == 1)
    {
        return std::const_pointer_cast<configuration>(state.active_config_);
    }
    return std::make_shared<configuration>(*state.active_config_);
}

bool is_active(const configuration& active_config, const declaration& offered)
{
    const auto found = active_config.declarations_.find(offered.service_);
    return found != active_config.declarations_.end() && found->second.accepted_at_ == offered.accepted_at_ &&
           found->second.text_ == offered.text_;
}

}  // namespace

change_result apply_change(configuration_state& state, log_offset offset, const change_record& record,
                           const parse_function& parse)
{
    if (offset <= state.read_through_)
    {
        return {change_status::already_applied, {}};
    }
    state.read_through_ = offset;
    const auto& active_config = *state.active_config_;
    configuration_version conflicting_version;
    bool rejected = false;
    for (const auto& change : record.changes_)
    {
        const auto current = accepted_at(active_config, change.service_);
        if (change.base_ != current)
        {
            rejected = true;
            conflicting_version = std::max(conflicting_version, configuration_version{current.get()});
        }
    }
    if (rejected)
    {
        return {change_status::rejected, conflicting_version};
    }
    const auto next = writable_config(state);
    next->version_ = configuration_version{offset.get()};
    std::ranges::for_each(record.changes_, [&](const declaration_change& change) {
        activate(*next, state.parse_errors_, {change.service_, change.text_, offset}, parse);
    });
    state.active_config_ = next;
    return {change_status::accepted, {}};
}

bool replace_if_newer(configuration_state& state, const full_state& offered, const parse_function& parse)
{
    const auto& active_config = *state.active_config_;
    if (offered.version_ < active_config.version_)
    {
        return false;
    }
    state.read_through_ = std::max(state.read_through_, offered.read_through_);
    if (offered.version_ == active_config.version_)
    {
        return false;
    }
    // Always a copy, since the previous declarations are compared with the new ones below.
    auto next = std::make_shared<configuration>(active_config);
    next->version_ = offered.version_;
    std::set<service_id> offered_services;
    std::ranges::transform(offered.declarations_, std::inserter(offered_services, offered_services.end()),
                           &declaration::service_);
    for (const auto& [service, declared] : active_config.declarations_)
    {
        if (!offered_services.contains(service))
        {
            next->declarations_.erase(service);
            state.parse_errors_.erase(service);
            erase_policy(*next, service);
        }
    }
    const auto changed = [&](const declaration& declared) {
        return !is_active(active_config, declared);
    };
    for (const auto& declared : offered.declarations_ | std::views::filter(changed))
    {
        activate(*next, state.parse_errors_, declared, parse);
    }
    state.active_config_ = std::move(next);
    return true;
}

std::optional<full_state> assemble(snapshot_assembly& assembly, const snapshot_record& record)
{
    auto& incomplete = assembly.snapshots_;
    if (!incomplete.contains(record.snapshot_id_) && incomplete.size() == max_incomplete_snapshots)
    {
        incomplete.erase(
            std::ranges::min_element(incomplete, {}, [](const auto& entry) { return read_through(entry.second); }));
    }
    auto& parts = incomplete[record.snapshot_id_];
    if (!parts.empty() && !is_same_snapshot(parts.begin()->second, record))
    {
        parts.clear();
    }
    parts.insert_or_assign(record.part_, record);
    if (parts.size() < record.parts_)
    {
        return std::nullopt;
    }
    full_state full{record.version_, record.read_through_, {}};
    for (auto& [number, part] : parts)
    {
        std::ranges::move(part.declarations_, std::back_inserter(full.declarations_));
    }
    std::erase_if(incomplete, [&](const auto& entry) { return read_through(entry.second) <= full.read_through_; });
    return full;
}

std::vector<snapshot_record> make_snapshot(const configuration_state& state, const std::string& snapshot_id,
                                           byte_count max_size)
{
    const snapshot_record empty{snapshot_id, state.active_config_->version_, state.read_through_, 0, 1, {}};
    std::vector<snapshot_record> records{empty};
    std::uint64_t used = 0;
    for (const auto& [service, declared] : state.active_config_->declarations_)
    {
        if (used > 0 && used + size_in_record(declared) > max_size.get())
        {
            records.push_back(empty);
            used = 0;
        }
        used += size_in_record(declared);
        records.back().declarations_.push_back(declared);
    }
    std::ranges::for_each(records, [&, number = std::uint32_t{0}](snapshot_record& record) mutable {
        record.part_ = number++;
        record.parts_ = static_cast<std::uint32_t>(records.size());
    });
    return records;
}

bool can_continue_reading(const configuration_state& state, log_offset oldest)
{
    return oldest <= state.read_through_.next();
}

publication_result find_publication(configuration_state& state, std::span<const configuration_entry> entries,
                                    const publication_id& wanted, const parse_function& parse)
{
    for (const auto& [offset, record] : entries)
    {
        const auto* const change = std::get_if<change_record>(&record);
        if (change == nullptr)
        {
            state.read_through_ = std::max(state.read_through_, offset);
            continue;
        }
        const auto result = apply_change(state, offset, *change, parse);
        if (change->publication_ == wanted && result.status_ == change_status::accepted)
        {
            return {publication_status::accepted, configuration_version{offset.get()}};
        }
        if (change->publication_ == wanted && result.status_ == change_status::rejected)
        {
            return {publication_status::rejected, result.conflicting_version_};
        }
    }
    return {};
}

std::vector<declaration_change> diff_declarations(const configuration& active_config,
                                                  const std::map<service_id, std::string>& wanted)
{
    std::vector<declaration_change> changes;
    for (const auto& [service, text] : wanted)
    {
        const auto found = active_config.declarations_.find(service);
        if (found == active_config.declarations_.end() || found->second.text_ != text)
        {
            changes.push_back({service, accepted_at(active_config, service), text});
        }
    }
    return changes;
}

}  // namespace cornelstall
