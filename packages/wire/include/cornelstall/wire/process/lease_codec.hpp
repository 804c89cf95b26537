#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelstall/decisions/process/lease.hpp"

namespace cornelstall
{

/// @brief The stream of the log that holds the leases of all data centres.
inline constexpr std::string_view leases_stream = "leases";

/// @brief Larger records are not read.
inline constexpr byte_count max_lease_record{1'024};

/// @brief The JSON text of a record. Linear in the record.
[[nodiscard]] std::string encode(const lease_record& record);

/// @brief Reads a record of the stream.
/// @return nothing for a text that is malformed or exceeds a limit; all VMs skip and count it
[[nodiscard]] std::optional<lease_record> decode_lease_record(std::string_view text);

}  // namespace cornelstall
