#pragma once

#include <optional>
#include <vector>

#include "cornelstall/decisions/process/server_directory.hpp"

namespace cornelstall
{

/// @brief One change of the list of servers.
struct server_list_change
{
    listed_server server_;  ///< only the id counts when the server was removed
    bool removed_ = false;
    log_offset at_;  ///< offset of the record
};

/// @brief What a VM tells others of its own reads of the platform's log.
struct log_update
{
    bool log_reachable_ = false;                     ///< its last read was answered
    std::optional<milliseconds> routing_table_age_;  ///< since its version of the routes was known to be the newest
    std::optional<milliseconds> server_list_age_;    ///< since its list of servers was known to be the newest
    log_offset changes_begin_;                       ///< `changes_` are complete from this offset…
    log_offset changes_end_;                         ///< …to before this one
    std::vector<server_list_change> changes_;        ///< in the order of their offsets
    log_offset server_list_end_;                     ///< the VM knows the list up to before this offset, read or heard
};

/// @brief Age of what is known at which the VM of @a rank reads the log itself. VMs of higher rank wait longer, so that
/// one read serves all while the first ones live.
[[nodiscard]] milliseconds log_poll_delay(std::size_t rank);

/// @brief Splits @a news into parts of at most @a most changes. Each part joins the one before it; only the last one
/// says how old the list is, since the others do not reach its end.
[[nodiscard]] std::vector<log_update> split_log_update(const log_update& news, std::size_t most);

/// @brief Leaves out the changes before @a from; `changes_begin_` then begins there.
void drop_changes_before(log_update& news, log_offset from);

}  // namespace cornelstall
