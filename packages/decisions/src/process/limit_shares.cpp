#include "cornelstall/decisions/process/limit_shares.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

#include <xxhash.h>

namespace cornelstall
{

namespace
{

/// A VM that has been silent for longer does not count as a sender; its share goes to the others.
constexpr milliseconds sender_silence_limit{3000};
/// Requests that all senders together may send at once: this many and the requests of this time.
constexpr double base_burst = 4.0;
constexpr double burst_s = 1.5;
/// A server with a lower limit, or with none left, still gets a request now and then, because only its answers tell
/// when the limit ends.
constexpr request_rate min_rate{0.1};

std::uint64_t order_of(const server_id& server, std::string_view candidate)
{
    return XXH64(candidate.data(), candidate.size(), XXH64(server.get().data(), server.get().size(), 0));
}

/// Place of this VM among the live VMs of its cell, from 0, and their number.
struct cell_place
{
    std::size_t position_ = 0;
    std::size_t vms_ = 1;
};

cell_place place_in_cell(const vm_peers& peers, cell_partition partition, const limit_share_request& request,
                         time_point now)
{
    const auto own_cell = cell_of(partition, request.vm_.get());
    const auto own_order = order_of(request.server_, request.vm_.get());
    cell_place place;
    std::ranges::for_each(peers.peers_, [&](const auto& entry) {
        const bool counts = now - entry.second.heard_at_ < sender_silence_limit && entry.first != request.vm_ &&
                            cell_of(partition, entry.first.get()) == own_cell;
        place.vms_ += counts ? 1 : 0;
        place.position_ += counts && order_of(request.server_, entry.first.get()) < own_order ? 1 : 0;
    });
    return place;
}

/// Place of the own cell among the @a cells cells that use the server, from 0.
std::size_t position_of_cell(std::uint64_t own_cell, std::uint64_t cells, const server_id& server)
{
    const auto order = [&server](std::uint64_t cell) {
        return order_of(server, std::to_string(cell));
    };
    const auto first = own_cell - own_cell % cells;
    const auto all = std::views::iota(first, first + cells);
    return static_cast<std::size_t>(
        std::ranges::count_if(all, [&](std::uint64_t cell) { return order(cell) < order(own_cell); }));
}

}  // namespace

placed_share share_of_limit(const vm_peers& peers, const limit_share_request& request, time_point now)
{
    const double limit = std::max(request.limit_, min_rate).get();
    const double burst = base_burst + burst_s * limit;
    const auto max_senders = static_cast<std::size_t>(burst);
    const auto partition = partition_fleet(known_vms(peers));
    const auto server_partition = partition_servers(partition, request.servers_of_service_);
    if (cell_of(server_partition, request.vm_.get()) != cell_of(server_partition, request.server_.get()))
    {
        return {};
    }
    const auto cells = std::uint64_t{1} << static_cast<unsigned>(partition.bits_ - server_partition.bits_);
    const auto sending_cells = std::min<std::size_t>(cells, max_senders);
    const auto own_cell = cell_of(partition, request.vm_.get());
    if (position_of_cell(own_cell, cells, request.server_) >= sending_cells)
    {
        return {};
    }
    const auto place = place_in_cell(peers, partition, request, now);
    const auto senders = std::min(max_senders / sending_cells, place.vms_);
    if (place.position_ >= senders)
    {
        return {};
    }
    const auto all_senders = static_cast<double>(senders * sending_cells);
    placed_share placed;
    placed.share_.rate_ = request_rate{limit / all_senders};
    placed.share_.burst_ = burst / all_senders;
    placed.start_ = (static_cast<double>(place.position_) + 0.5) / static_cast<double>(senders);
    return placed;
}

void update_limit_shares(server_directory& directory, const vm_peers& peers, const vm_id& self, time_point now)
{
    std::ranges::for_each(directory.limits_.limits_, [&](auto& entry) {
        auto& limit = entry.second;
        const auto* const server = find_server(directory, entry.first);
        if (server == nullptr)
        {
            return;
        }
        const auto servers = std::ranges::count_if(directory.servers_ | std::views::values, [&](const auto& other) {
            return other.listed_.service_ == server->listed_.service_;
        });
        const auto placed = share_of_limit(
            peers, {self, entry.first, limit.limit_, static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, servers))},
            now);
        if (placed.share_ == limit.share_)
        {
            return;
        }
        const bool is_new = limit.known_since_ == now;
        set_share(limit, placed.share_, now);
        if (is_new)
        {
            start_allowance(limit, placed.start_, now);
        }
    });
}

}  // namespace cornelstall
