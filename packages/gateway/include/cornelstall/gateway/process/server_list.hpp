#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall
{

struct gateway_state;

/// @brief A change of the list that is still told to other VMs.
struct recent_change
{
    time_point seen_at_;
    server_list_change change_;
};

/// @brief How far this VM knows the platform's list of servers.
struct server_list
{
    bool listed_ = false;                                ///< the whole list has been read once
    log_offset next_;                                    ///< offset after the last record that is known
    std::chrono::nanoseconds confirmed_at_{0};           ///< boot time at which the list was known to be the newest
    std::chrono::nanoseconds read_at_{0};                ///< boot time of this VM's own last read
    log_offset changes_from_;                            ///< `changes_` are complete from here to `next_`
    std::deque<recent_change> changes_;                  ///< of the last while, for VMs that lack them
    time_point defer_removals_until_;                    ///< removals until then may be lapses
    std::map<server_id, log_offset> deferred_removals_;  ///< removals that are not believed yet
};

/// @brief Applies one change that was read or heard.
void apply_change(gateway_state& state, const server_list_change& change);

/// @brief Takes over the whole list, read up to before @a next; known servers that are not @a listed are removed.
/// @param listed all ids of the list, also those whose entries cannot be used
void apply_full_list(gateway_state& state, std::vector<server_list_change> entries, const std::set<server_id>& listed,
                     log_offset next);

/// @brief Notes that this VM can read the list again. Removals are doubted for a while if no VM could read it before:
/// servers could not write their entries either.
void handle_list_recovery(gateway_state& state);

/// @brief Removes the servers whose entries did not come back after the log's return.
void apply_deferred_removals(gateway_state& state);

/// @brief Notes that the list is known up to before @a next, as of @a confirmed_at.
void confirm_list(gateway_state& state, log_offset next, std::chrono::nanoseconds confirmed_at);

/// @brief What this VM tells others of its reads.
[[nodiscard]] log_update make_log_update(gateway_state& state);

/// @brief Takes over what another VM read, as far as it joins what is known here.
void apply_log_update(gateway_state& state, const log_update& news, configuration_version version);

/// @brief The place of this VM among those that read the log, from 0.
[[nodiscard]] std::size_t own_rank(const gateway_state& state);

/// @brief True when this VM must read the log itself because what it knows was confirmed at @a confirmed_at.
[[nodiscard]] bool is_read_due(const gateway_state& state, std::chrono::nanoseconds confirmed_at);

}  // namespace cornelstall
