#include "cornelstall/decisions/version/routing_table.hpp"

#include <algorithm>
#include <numeric>

namespace cornelstall
{

void add_route(routing_table& table, route added)
{
    auto& host_routes = table.routes_[added.host_];
    auto prefix = added.path_prefix_;
    host_routes.insert_or_assign(std::move(prefix), std::move(added));
}

const route* find_route(const routing_table& table, std::string_view host, std::string_view path)
{
    const auto host_routes = table.routes_.find(std::string(host));
    if (host_routes == table.routes_.end())
    {
        return nullptr;
    }
    // Each path prefix begins and ends with a slash, so only the parts of the path that end with one can match.
    std::string prefix(path.substr(0, path.rfind('/') + 1));
    while (!prefix.empty())
    {
        const auto found = host_routes->second.find(prefix);
        if (found != host_routes->second.end())
        {
            return &found->second;
        }
        prefix.pop_back();
        prefix.resize(prefix.rfind('/') + 1);
    }
    return nullptr;
}

const service_id* pick_service(const route& matched, double draw)
{
    if (matched.services_.empty())
    {
        return nullptr;
    }
    const double total = std::accumulate(matched.services_.begin(), matched.services_.end(), 0.0,
                                         [](double sum, const weighted_service& share) { return sum + share.weight_; });
    double left = draw * total;
    const auto picked = std::ranges::find_if(matched.services_, [&left](const weighted_service& share) {
        left -= share.weight_;
        return left < 0.0;
    });
    return picked == matched.services_.end() ? &matched.services_.back().service_ : &picked->service_;
}

key_check check_key(const routing_table& table, const route& matched, const std::string& key)
{
    if (matched.public_ || !table.keys_required_)
    {
        return {key_status::not_needed, nullptr};
    }
    const auto found = table.keys_.find(key);
    if (found == table.keys_.end())
    {
        return {key_status::unknown, nullptr};
    }
    return {key_status::accepted, &found->second};
}

}  // namespace cornelstall
