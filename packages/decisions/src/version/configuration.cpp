#include "cornelstall/decisions/version/configuration.hpp"

#include <algorithm>

namespace cornelstall
{

std::optional<authenticated_caller> find_caller(const configuration& active_config, const key_hash& key)
{
    for (const auto& [name, service] : active_config.services_)
    {
        const auto found = std::ranges::find(service.callers_, key, &caller_policy::key_);
        if (found != service.callers_.end())
        {
            return authenticated_caller{&service, &*found};
        }
    }
    return std::nullopt;
}

rank_policy rank_policy_for(const configuration& active_config, rank which)
{
    const auto found = active_config.fleet_.ranks_.find(which);
    return found == active_config.fleet_.ranks_.end() ? rank_policy{} : found->second;
}

}  // namespace cornelstall
