#pragma once

#include <string>
#include <vector>

#include "process/deployment.hpp"

namespace cornelstall::soak
{

/// @brief A fault of a soak, drawn from its seed.
struct planned_fault
{
    std::string kind_;
    milliseconds at_{0};      ///< from the begin of the soak
    milliseconds length_{0};  ///< until it is repaired
    std::size_t target_ = 0;  ///< of VMs or servers, modulo their number
};

/// @brief Draws faults that overlap and come in series.
[[nodiscard]] std::vector<planned_fault> draw_faults(std::mt19937_64& random, std::chrono::seconds length);

/// @brief Draws planned work that overlaps, beside busy VMs and silent or full servers.
[[nodiscard]] std::vector<planned_fault> draw_planned_work(std::mt19937_64& random, std::chrono::seconds length);

/// @brief Brings about @a fault at its time and repairs it.
[[nodiscard]] task<> play_fault(deployment& all, planned_fault fault);

}  // namespace cornelstall::soak
