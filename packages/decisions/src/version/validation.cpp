#include "cornelstall/decisions/version/validation.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

namespace cornelstall
{

namespace
{

std::string indexed(const std::string& list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

void check_references(const service_policy& service, const fleet_policy& fleet, std::vector<policy_fault>& faults)
{
    for (std::size_t index = 0; index < service.models_.size(); ++index)
    {
        if (const auto& model = service.models_[index]; !fleet.models_.contains(model))
        {
            faults.push_back({policy_fault_id::unknown_model, service.name_, indexed("models", index),
                              "model '" + model.get() + "' is not declared",
                              "add [models." + model.get() + "] to fleet.toml or remove the name"});
        }
    }
    for (std::size_t index = 0; index < service.ranks_.size(); ++index)
    {
        if (const auto which = service.ranks_[index]; !fleet.ranks_.contains(which))
        {
            const std::string name{to_string(which)};
            faults.push_back({policy_fault_id::unknown_rank, service.name_, indexed("ranks", index),
                              "rank '" + name + "' is not declared",
                              "add [ranks." + name + "] to fleet.toml or remove the name"});
        }
    }
}

void check_floors(const fleet_policy& fleet, std::vector<policy_fault>& faults)
{
    // Tolerance for percentages such as 30.1 that have no exact binary representation.
    constexpr double tolerance = 1e-9;
    const double sum = std::accumulate(fleet.ranks_.begin(), fleet.ranks_.end(), 0.0,
                                       [](double total, const auto& entry) { return total + entry.second.floor_; });
    if (sum > max_floor_sum + tolerance)
    {
        faults.push_back({policy_fault_id::floors_too_high, service_id{"fleet"}, "ranks",
                          "the floors of all ranks sum to more than 90%", "lower floor_percent of a rank"});
    }
}

/// Reports a fault when @a value has already been declared by another service or by this one.
template <class Key>
void check_unique(std::map<Key, service_id>& seen, const Key& value, const service_policy& service,
                  const std::string& field, const std::string& problem, const std::string& remedy,
                  std::vector<policy_fault>& faults)
{
    const auto [found, inserted] = seen.emplace(value, service.name_);
    if (!inserted)
    {
        faults.push_back({policy_fault_id::duplicate, service.name_, field,
                          problem + " of service '" + found->second.get() + "'", remedy});
    }
}

}  // namespace

std::vector<policy_fault> validate(const std::vector<service_policy>& services, const fleet_policy* fleet)
{
    std::vector<policy_fault> faults;
    if (fleet != nullptr)
    {
        check_floors(*fleet, faults);
    }
    std::map<key_hash, service_id> keys;
    std::map<std::string, service_id> plain_names;
    for (const auto& service : services)
    {
        if (fleet != nullptr)
        {
            check_references(service, *fleet, faults);
        }
        for (std::size_t index = 0; index < service.callers_.size(); ++index)
        {
            check_unique(keys, service.callers_[index].key_, service, indexed("callers", index) + ".key_sha256",
                         "the key is already used by a caller", "give each caller a different key", faults);
        }
        for (std::size_t index = 0; index < service.plain_services_.size(); ++index)
        {
            check_unique(plain_names, service.plain_services_[index].name_, service,
                         indexed("plain_services", index) + ".name", "the name is already used by a plain service",
                         "choose another name", faults);
        }
    }
    return faults;
}

std::vector<policy_fault> validate(const configuration& candidate)
{
    std::vector<service_policy> services;
    std::ranges::copy(candidate.services_ | std::views::values, std::back_inserter(services));
    return validate(services, &candidate.fleet_);
}

}  // namespace cornelstall
