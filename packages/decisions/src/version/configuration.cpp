#include "cornelstall/decisions/version/configuration.hpp"

#include <algorithm>

namespace cornelstall
{

std::optional<authenticated_caller> find_caller(const configuration& in_force, const key_hash& key)
{
    for (const auto& [name, service] : in_force.services_)
    {
        const auto found = std::ranges::find(service.callers_, key, &caller_policy::key_);
        if (found != service.callers_.end())
        {
            return authenticated_caller{&service, &*found};
        }
    }
    return std::nullopt;
}

rank_policy policy_of(const configuration& in_force, rank which)
{
    const auto found = in_force.fleet_.ranks_.find(which);
    return found == in_force.fleet_.ranks_.end() ? rank_policy{} : found->second;
}

}  // namespace cornelstall
