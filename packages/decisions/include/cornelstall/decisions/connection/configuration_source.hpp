#pragma once

#include <optional>

#include "cornelstall/decisions/connection/load_report.hpp"

namespace cornelstall
{

/// @brief Bounds the bytes of configuration documents that a VM sends to others, so that they leave room on its link
/// for requests.
struct transfer_budget
{
    byte_count per_second_{512ULL * 1024};
    byte_count sent_;  ///< in the second that began at `second_begin_`
    time_point second_begin_;
};

/// @brief Charges a transfer of @a size to the budget. A document larger than the budget may be sent once a second.
/// @return false when the budget of this second is used up
[[nodiscard]] bool take_transfer(transfer_budget& budget, byte_count size, time_point now);

/// @brief Picks a VM from which this VM can get the newest configuration that is known: at random among those of the
/// own data centre that have it, or among all that have it when none is there.
/// @param draw random number, uniform in [0, 1)
/// @return nothing when no VM that was heard of lately has a newer version than @a own
[[nodiscard]] std::optional<vm_id> choose_configuration_source(const vm_peers& peers, const data_centre_id& data_centre,
                                                               configuration_version own, double draw, time_point now);

}  // namespace cornelstall
