#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief How a large fleet is partitioned into cells. VMs exchange load reports within their cell and prefer its
/// servers, so that the traffic and the number of candidates of a VM do not grow with the fleet. There are `2^bits_`
/// cells. The leading bits of an id's hash select its cell, so splitting one cell in two does not change the others.
struct cell_partition
{
    int bits_ = 0;
};

/// @brief The partition of a fleet of @a vms VMs.
[[nodiscard]] cell_partition partition_fleet(std::size_t vms);

/// @brief The partition of the servers of one service. It is coarser than @a fleet when cells would have too few
/// servers.
[[nodiscard]] cell_partition partition_servers(cell_partition fleet, std::size_t servers);

/// @brief The cell that the VM or server @a id belongs to.
[[nodiscard]] std::uint64_t cell_of(cell_partition partition, std::string_view id);

}  // namespace cornelstall
