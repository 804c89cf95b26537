#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The cells of a large fleet. VMs of a cell tell one another their load and prefer the servers of their cell,
/// so that what a VM receives and considers does not grow with the fleet. There are `2^bits_` cells; an id's cell is
/// given by the leading bits of its hash, so that a division in two leaves the other cells as they are.
struct cell_partition
{
    int bits_ = 0;
};

/// @brief The division of a fleet of @a vms.
[[nodiscard]] cell_partition partition_fleet(std::size_t vms);

/// @brief The division of the servers of one service, of which every cell needs several.
[[nodiscard]] cell_partition partition_servers(cell_partition fleet, std::size_t servers);

/// @brief The cell of what is named @a id.
[[nodiscard]] std::uint64_t cell_of(cell_partition division, std::string_view id);

}  // namespace cornelstall
