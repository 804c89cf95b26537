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

/// What a server in another data centre must bring more, against the bytes that cross.
constexpr double other_data_centre_cost = 0.002;
/// A request that finds no slot or memory waits in the engine's queue; it goes there only when nothing else fits.
constexpr double full_engine_cost = 100.0;
/// What the first request of an idle engine must bring more: streams are kept together, so that long prompts find
/// engines without streams.
constexpr double idle_engine_cost = 0.15;
/// A request that is late already has little left to lose; this part of it is charged at most.
constexpr double most_idle_share = 0.25;
/// Engines with more than this part of their slots in use are left to requests of VMs that decide at the same moment:
/// each slot beyond costs this much.
constexpr double comfortable_slots = 0.65;
constexpr double crowded_slot_cost = 0.15;
/// An engine that is kept free for a long prompt is taken only when the others are worse by this; more than a short
/// request brings.
constexpr double claimed_engine_cost = 2.0;
/// Benefits closer than this are equal, so that VMs that decide at the same moment spread over several engines.
constexpr double benefit_step = 0.04;
/// Servers that are forecast for one request; more bring little and cost processor time.
constexpr std::size_t most_considered = 256;
/// Plain calls leave their data centre when their own servers have this many requests more.
constexpr double other_data_centre_requests = 1.0;

struct ranked_server
{
    known_server* server_ = nullptr;
    bool avoided_ = false;
    double benefit_ = 0.0;
    std::uint64_t tie_ = 0;
    placement_forecast forecast_;
};

/// A data centre with this many avoided servers, and at least this part of all, cannot be reached.
constexpr int unreachable_servers = 3;
constexpr double unreachable_share = 0.5;

/// Servers of one data centre, of all services.
struct data_centre_reach
{
    int servers_ = 0;
    int avoided_ = 0;
};

/// The data centres whose servers are to be avoided: a cut is learned from a few failed sends, not from one for each
/// server.
std::set<data_centre_id> unreachable_data_centres(const server_directory& directory, time_point now)
{
    std::map<data_centre_id, data_centre_reach> reach;
    std::ranges::for_each(directory.servers_ | std::views::values, [&](const known_server& server) {
        auto& counted = reach[server.listed_.data_centre_];
        ++counted.servers_;
        counted.avoided_ += server.avoid_until_ > now && server.failures_in_a_row_ > 0 ? 1 : 0;
    });
    std::set<data_centre_id> unreachable;
    std::ranges::for_each(reach, [&unreachable](const auto& entry) {
        const auto& counted = entry.second;
        if (counted.avoided_ >= unreachable_servers &&
            static_cast<double>(counted.avoided_) >= unreachable_share * static_cast<double>(counted.servers_))
        {
            unreachable.insert(entry.first);
        }
    });
    return unreachable;
}

double crowding_cost(const engine_simulation& load, const engine_profile& profile)
{
    const double beyond = slots_used(load) + 1 - comfortable_slots * profile.slots_;
    return std::max(0.0, beyond) * crowded_slot_cost;
}

ranked_server rank_engine(known_server& server, engine_simulation& load, const engine_profile& profile,
                          const choice_request& request, time_point now)
{
    advance(load, profile, server.slowdown_, now);
    ranked_server ranked;
    ranked.server_ = &server;
    ranked.forecast_ = forecast_placement(load, profile, server.slowdown_, request.work_, now);
    const double gain = std::max(0.0, ranked.forecast_.benefit_);
    const double idle_cost = is_idle(load) ? std::min(idle_engine_cost, most_idle_share * gain) : 0.0;
    const bool claimed = std::ranges::any_of(load.work_, [&request](const engine_work& entry) {
        return entry.holds_engine_ && entry.key_ != request.hold_id_;
    });
    ranked.benefit_ = ranked.forecast_.benefit_ - (ranked.forecast_.fits_ ? 0.0 : full_engine_cost) - idle_cost -
                      (claimed ? claimed_engine_cost : 0.0) - crowding_cost(load, profile);
    return ranked;
}

ranked_server rank_plain(known_server& server, const engine_simulation& load)
{
    ranked_server ranked;
    ranked.server_ = &server;
    const auto slots = std::max(1, server.listed_.slots_);
    ranked.forecast_.fits_ = static_cast<int>(load.work_.size()) < slots;
    ranked.benefit_ = -static_cast<double>(load.work_.size());
    return ranked;
}

std::vector<known_server*> keep_own_cell(std::vector<known_server*> servers, const choice_request& request,
                                         time_point now)
{
    const auto division = partition_servers(request.partition_, servers.size());
    const auto own = cell_of(division, request.vm_.get());
    std::vector<known_server*> in_cell;
    std::ranges::copy_if(servers, std::back_inserter(in_cell), [&](const known_server* server) {
        return cell_of(division, server->listed_.id_.get()) == own;
    });
    const auto usable =
        std::ranges::count_if(in_cell, [now](const known_server* server) { return server->avoid_until_ <= now; });
    return 2 * usable < std::ssize(in_cell) || in_cell.empty() ? servers : in_cell;
}

/// Draws at most `most_considered` of @a servers.
std::vector<known_server*> draw_some(std::vector<known_server*> servers, std::uint64_t draw)
{
    if (servers.size() > most_considered)
    {
        std::ranges::nth_element(servers, servers.begin() + most_considered, {},
                                 [draw](const known_server* server) { return tie_breaker(server->listed_.id_, draw); });
        servers.resize(most_considered);
    }
    return servers;
}

}  // namespace

std::uint64_t tie_breaker(const server_id& id, std::uint64_t draw)
{
    return std::hash<server_id>{}(id) ^ draw;
}

std::vector<known_server*> candidate_servers(server_directory& directory, const choice_request& request, time_point now)
{
    auto servers = ready_servers(directory, request.service_);
    std::erase_if(servers, [&request](const known_server* server) {
        return std::ranges::find(request.tried_, server->listed_.id_) != request.tried_.end();
    });
    return draw_some(keep_own_cell(std::move(servers), request, now), request.tie_break_seed_);
}

server_choice choose_server(server_directory& directory, fleet_load& load, const service_description& service,
                            const choice_request& request, time_point now)
{
    std::vector<ranked_server> ranked;
    const auto unreachable = unreachable_data_centres(directory, now);
    std::ranges::for_each(candidate_servers(directory, request, now), [&](known_server* server) {
        auto& engine = load.engines_[server->listed_.id_];
        auto entry = service.engine_ ? rank_engine(*server, engine, *service.engine_, request, now)
                                     : rank_plain(*server, engine);
        entry.avoided_ = server->avoid_until_ > now || unreachable.contains(server->listed_.data_centre_);
        entry.tie_ = tie_breaker(server->listed_.id_, request.tie_break_seed_);
        if (server->listed_.data_centre_ != request.data_centre_)
        {
            entry.benefit_ -= service.engine_ ? other_data_centre_cost : other_data_centre_requests;
        }
        ranked.push_back(entry);
    });
    const auto best = std::ranges::min_element(ranked, {}, [](const ranked_server& entry) {
        return std::tuple(entry.avoided_, -std::round(entry.benefit_ / benefit_step), entry.tie_);
    });
    if (best == ranked.end())
    {
        return {};
    }
    return {best->server_, best->forecast_, ranked.size()};
}

}  // namespace cornelstall
