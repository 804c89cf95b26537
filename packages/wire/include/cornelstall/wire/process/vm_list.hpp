#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What a VM of the platform's list runs.
enum class vm_role
{
    entry,
    engine,
    plain
};

/// @brief One VM of the platform's list, which lags.
struct listed_vm
{
    std::string id_;
    socket_address address_;
    socket_address peer_address_;
    data_centre_id data_centre_;
    vm_role role_ = vm_role::engine;
    std::string service_;  ///< plain service that the VM runs
    bool leaving_ = false;
    bool checks_fencing_ = false;
};

/// @brief The platform's list of VMs.
struct vm_list
{
    std::uint64_t generation_ = 0;
    std::vector<listed_vm> vms_;
};

/// @brief Decodes the VM list; entries with an unknown role are left out.
/// @throws connection_error (id 245) when it is malformed
[[nodiscard]] vm_list decode_vm_list(std::string_view body);

}  // namespace cornelstall
