#include "cornelstall/decisions/process/organisation_shares.hpp"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace cornelstall
{

namespace
{

/// Below this share of used slots no organisation is limited: what others leave unused is lent.
constexpr double lending_limit = 0.5;
/// From this share of used slots on the limit applies in full.
constexpr double full_limit = 0.8;
/// An organisation may use this many times an equal share before it is limited.
constexpr double tolerated_share = 2.0;
/// From this many times an equal share on the limit applies in full.
constexpr double excessive_share = 4.0;
/// The least benefit of a request under the full limit: in time, and without harm to other requests.
constexpr double max_benefit_share = 0.6;

/// How far @a value is from @a begin to @a end, from 0 to 1.
double position_between(double begin, double end, double value)
{
    return std::clamp((value - begin) / (end - begin), 0.0, 1.0);
}

}  // namespace

organisation_hash hash_of(const organisation_id& organisation)
{
    const auto& name = organisation.get();
    return organisation_hash{std::max<std::uint32_t>(1, XXH32(name.data(), name.size(), 0))};
}

organisation_usage usage_of(const fleet_load& load, std::span<known_server* const> servers,
                            const engine_profile& profile, organisation_hash organisation)
{
    std::map<organisation_hash, double> work_by_organisation;
    double total = 0.0;
    int used = 0;
    std::ranges::for_each(servers, [&](const known_server* server) {
        const auto engine = load.engines_.find(server->listed_.id_);
        if (engine == load.engines_.end())
        {
            return;
        }
        used += slots_used(engine->second);
        std::ranges::for_each(engine->second.work_, [&](const engine_work& work) {
            work_by_organisation[work.organisation_] += work.value_;
            total += work.value_;
        });
    });
    organisation_usage usage;
    const auto slots = static_cast<double>(servers.size()) * std::max(1, profile.slots_);
    usage.slots_used_share_ = slots > 0.0 ? used / slots : 0.0;
    const auto own = work_by_organisation.find(organisation);
    if (own != work_by_organisation.end() && total > 0.0)
    {
        usage.share_of_fair_ = own->second * static_cast<double>(work_by_organisation.size()) / total;
    }
    return usage;
}

double min_benefit_share(const organisation_usage& usage)
{
    return max_benefit_share * position_between(lending_limit, full_limit, usage.slots_used_share_) *
           position_between(tolerated_share, excessive_share, usage.share_of_fair_);
}

}  // namespace cornelstall
