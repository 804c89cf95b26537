#include "cornelstall/decisions/connection/configuration_source.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

/// A VM that has missed three reports is not asked.
constexpr milliseconds max_silence{1000};

}  // namespace

bool take_transfer(transfer_budget& budget, byte_count size, time_point now)
{
    if (now - budget.second_begin_ >= std::chrono::seconds{1})
    {
        budget.second_begin_ = now;
        budget.sent_ = byte_count{0};
    }
    if (budget.sent_ > byte_count{0} && budget.sent_ + size > budget.per_second_)
    {
        return false;
    }
    budget.sent_ += size;
    return true;
}

std::optional<vm_id> choose_configuration_source(const vm_peers& peers, const data_centre_id& data_centre,
                                                 configuration_version own, double draw, time_point now)
{
    const auto newest = newest_peer_version(peers);
    if (newest <= own)
    {
        return std::nullopt;
    }
    std::vector<vm_id> local;
    std::vector<vm_id> remote;
    std::ranges::for_each(peers.peers_, [&](const auto& entry) {
        const auto& peer = entry.second;
        if (peer.version_ == newest && now - peer.heard_at_ < max_silence)
        {
            (peer.data_centre_ == data_centre ? local : remote).push_back(entry.first);
        }
    });
    const auto& sources = local.empty() ? remote : local;
    if (sources.empty())
    {
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(draw * static_cast<double>(sources.size()));
    return sources[std::min(index, sources.size() - 1)];
}

}  // namespace cornelstall
