#include "cornelstall/decisions/request/server_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <ranges>
#include <set>
#include <tuple>

namespace cornelstall
{

namespace
{

/// Extra benefit required of a server in another data centre, for the traffic between data centres.
constexpr double other_data_centre_cost = 0.002;
/// Cost of an engine without a free slot or memory, where the request would wait; so large that such an engine is
/// chosen only when none fits.
constexpr double full_engine_cost = 100.0;
/// Extra benefit required of an idle engine: streams are kept together, so that long prompts find engines without
/// streams. An engine with a limit does not cost it, because what it may take now is lost when it stays idle.
constexpr double idle_engine_cost = 0.15;
/// Largest fraction of the benefit that the idle cost may take, because a late request has little value left.
constexpr double max_idle_cost_share = 0.25;
/// Fraction of slots in use above which each further slot costs `crowded_slot_cost`; leaves room for requests of VMs
/// that decide at the same moment.
constexpr double uncrowded_slot_share = 0.65;
constexpr double crowded_slot_cost = 0.15;
/// Cost of an engine that is held for a joint prefill; larger than the value of a short request.
constexpr double held_engine_cost = 2.0;
/// Benefits are rounded to this step, so that VMs that decide at the same moment spread over several engines.
constexpr double benefit_step = 0.04;
/// Largest number of servers considered for one request; more improve the choice little and cost CPU time.
constexpr std::size_t max_candidates = 256;
/// Plain calls go to another data centre when the local servers have this many more requests.
constexpr double other_data_centre_requests = 1.0;

struct ranked_server
{
    known_server* server_ = nullptr;
    bool avoided_ = false;
    double benefit_ = 0.0;
    std::uint64_t tie_break_ = 0;
    placement_forecast forecast_;
};

/// A data centre counts as unreachable when at least this many of its servers, and at least this fraction of them, are
/// in backoff after failures.
constexpr int min_unreachable_servers = 3;
constexpr double min_unreachable_share = 0.5;

/// Server counts of one data centre, over all services.
struct data_centre_servers
{
    int servers_ = 0;
    int avoided_ = 0;
};

/// The data centres that count as unreachable. A network partition is thus detected from a few failed sends instead of
/// one for each server.
std::set<data_centre_id> unreachable_data_centres(const server_directory& directory, time_point now)
{
    std::map<data_centre_id, data_centre_servers> data_centres;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](const known_server& server) {
        auto& counted = data_centres[server.listed_.data_centre_];
        ++counted.servers_;
        counted.avoided_ += server.avoid_until_ > now && server.consecutive_failures_ > 0 ? 1 : 0;
    });
    std::set<data_centre_id> unreachable;
    std::ranges::for_each(data_centres, [&unreachable](const auto& entry) {
        const auto& counted = entry.second;
        if (counted.avoided_ >= min_unreachable_servers &&
            static_cast<double>(counted.avoided_) >= min_unreachable_share * static_cast<double>(counted.servers_))
        {
            unreachable.insert(entry.first);
        }
    });
    return unreachable;
}

double crowding_cost(const engine_simulation& engine, const engine_profile& profile)
{
    const double crowded_slots = slots_used(engine) + 1 - uncrowded_slot_share * profile.slots_;
    return std::max(0.0, crowded_slots) * crowded_slot_cost;
}

ranked_server rank_engine(known_server& server, engine_simulation& engine, const engine_profile& profile,
                          const choice_request& request, bool limited, time_point now)
{
    advance(engine, profile, server.slowdown_, now);
    ranked_server ranked;
    ranked.server_ = &server;
    ranked.forecast_ = forecast_placement(engine, profile, server.slowdown_, request.work_, now);
    const double gain = std::max(0.0, ranked.forecast_.benefit_);
    const double idle_cost = is_idle(engine) && !limited ? std::min(idle_engine_cost, max_idle_cost_share * gain) : 0.0;
    const bool held = std::ranges::any_of(engine.work_, [&request](const engine_work& entry) {
        return entry.holds_engine_ && entry.key_ != request.hold_id_;
    });
    ranked.benefit_ = ranked.forecast_.benefit_ - (ranked.forecast_.fits_ ? 0.0 : full_engine_cost) - idle_cost -
                      (held ? held_engine_cost : 0.0) - crowding_cost(engine, profile);
    return ranked;
}

ranked_server rank_plain(known_server& server, const engine_simulation& requests)
{
    ranked_server ranked;
    ranked.server_ = &server;
    const auto slots = std::max(1, server.listed_.slots_);
    ranked.forecast_.fits_ = static_cast<int>(requests.work_.size()) < slots;
    ranked.benefit_ = -static_cast<double>(requests.work_.size());
    return ranked;
}

std::vector<known_server*> prefer_own_cell(std::vector<known_server*> servers, const choice_request& request,
                                           time_point now)
{
    const auto partition = partition_servers(request.partition_, servers.size());
    const auto own_cell = cell_of(partition, request.vm_.get());
    std::vector<known_server*> in_cell;
    std::ranges::copy_if(servers, std::back_inserter(in_cell), [&](const known_server* server) {
        return cell_of(partition, server->listed_.id_.get()) == own_cell;
    });
    const auto usable =
        std::ranges::count_if(in_cell, [now](const known_server* server) { return server->avoid_until_ <= now; });
    return 2 * usable < std::ssize(in_cell) || in_cell.empty() ? servers : in_cell;
}

/// Samples at most `max_candidates` of @a servers.
std::vector<known_server*> sample_servers(std::vector<known_server*> servers, std::uint64_t seed)
{
    if (servers.size() > max_candidates)
    {
        std::ranges::nth_element(servers, servers.begin() + max_candidates, {},
                                 [seed](const known_server* server) { return tie_breaker(server->listed_.id_, seed); });
        servers.resize(max_candidates);
    }
    return servers;
}

}  // namespace

std::uint64_t tie_breaker(const server_id& id, std::uint64_t seed)
{
    return std::hash<server_id>{}(id) ^ seed;
}

std::vector<known_server*> candidate_servers(server_directory& directory, const choice_request& request, time_point now)
{
    auto servers = ready_servers(directory, request.service_, now);
    std::erase_if(servers, [&request](const known_server* server) {
        return std::ranges::find(request.tried_, server->listed_.id_) != request.tried_.end();
    });
    const auto exceeds_limit = [&directory, now](const known_server* server) {
        return !is_within_limit(directory, *server, now);
    };
    auto candidates = prefer_own_cell(servers, request, now);
    std::erase_if(candidates, exceeds_limit);
    if (candidates.empty())
    {
        std::erase_if(servers, exceeds_limit);
        candidates = std::move(servers);
    }
    return sample_servers(std::move(candidates), request.tie_break_seed_);
}

server_choice choose_server(server_directory& directory, fleet_load& load, const service_description& service,
                            const choice_request& request, time_point now)
{
    std::vector<ranked_server> ranked;
    const auto unreachable = unreachable_data_centres(directory, now);
    std::ranges::for_each(candidate_servers(directory, request, now), [&](known_server* server) {
        auto& engine = load.engines_[server->listed_.id_];
        auto entry = service.engine_
                         ? rank_engine(*server, engine, *service.engine_, request, has_limit(directory, *server), now)
                         : rank_plain(*server, engine);
        entry.avoided_ = server->avoid_until_ > now || unreachable.contains(server->listed_.data_centre_);
        entry.tie_break_ = tie_breaker(server->listed_.id_, request.tie_break_seed_);
        if (server->listed_.data_centre_ != request.data_centre_)
        {
            entry.benefit_ -= service.engine_ ? other_data_centre_cost : other_data_centre_requests;
        }
        ranked.push_back(entry);
    });
    const auto best = std::ranges::min_element(ranked, {}, [](const ranked_server& entry) {
        return std::tuple(entry.avoided_, -std::round(entry.benefit_ / benefit_step), entry.tie_break_);
    });
    if (best == ranked.end())
    {
        return {};
    }
    return {best->server_, best->forecast_, ranked.size()};
}

}  // namespace cornelstall
