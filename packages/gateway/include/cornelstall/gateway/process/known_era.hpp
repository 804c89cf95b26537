#pragma once

#include <optional>
#include <string>

#include "cornelstall/gateway/process/record_log.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

struct gateway_state;

/// @brief What this VM knows of the era of the platform's log. One era holds for all topics.
struct known_era
{
    std::optional<log_era> era_;    ///< the highest that an answer of the log has stated
    bool returned_ = false;         ///< the log has come back from an older copy since the start of this process
    bool unusable_logged_ = false;  ///< an answer with another era, or without one, has been logged since
};

/// @brief Records the era that an answer of the log states. A higher one than before says that the log has come back
/// from an older copy; the other VMs are told.
/// @param stated nothing when the answer states no era, or none that can be read
/// @param topic the topic that was called; logged
/// @return true when the answer can be used: an answer of an earlier era is late, and one without an era says nothing
/// once the log has stated eras
[[nodiscard]] bool accept_era(gateway_state& state, const std::optional<log_era>& stated, const std::string& topic);

/// @brief Records the era of a read, also of one that failed with an answer.
/// @return true when the log has answered the read and the answer can be used
[[nodiscard]] bool accept_era_of(gateway_state& state, const record_page& page, const std::string& topic);

}  // namespace cornelstall
