#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief State of a member. At the same incarnation, a larger value overrides a smaller one.
enum class member_state
{
    alive,
    suspect,
    leaving,
    dead
};

/// @brief A VM of the fleet.
struct member
{
    vm_id id_;
    socket_address peer_address_;
    data_centre_id data_centre_;
    incarnation incarnation_;
    member_state state_ = member_state::alive;
};

/// @brief A member, with data that only this VM keeps about it.
struct member_record
{
    member member_;
    /// Table sequence of the last change; changes after an acknowledged sequence are sent.
    std::uint64_t change_sequence_ = 0;
    time_point state_since_;
    vm_id source_peer_;                            ///< peer that sent the last change; empty for a local change
    std::optional<time_point> unreachable_since_;  ///< first failed probe of a leaving member
};

/// @brief The members of the fleet as known to one VM.
struct membership_table
{
    member self_;
    std::uint64_t sequence_ = 0;              ///< incremented by each change
    std::map<vm_id, member_record> members_;  ///< includes self
};

/// @brief Time after which a suspect member that has not refuted the suspicion is declared dead.
inline constexpr milliseconds suspicion_timeout{1500};
/// @brief Time for which a dead member stays in the table, so that delayed updates do not add it again.
inline constexpr milliseconds dead_member_retention{60'000};

/// @brief Creates a table that contains only @a self.
[[nodiscard]] membership_table make_membership(member self, time_point now);

/// @brief Applies an update about a member. An update about this VM itself that overrides its own record, such as a
/// suspicion or a death report, is refuted by raising the own incarnation above that of the update.
///
/// The higher incarnation wins; at the same incarnation, the larger state wins. A death report about an unknown member
/// is stored, so that older updates do not add the member, but it is not forwarded: members that have already removed
/// the entry and members that still have it would otherwise send it to each other indefinitely.
/// @param source the peer that sent the update; the update is not sent back to it
/// @return true if the table changed
bool apply(membership_table& table, const member& update, time_point now, const vm_id& source = vm_id{});

/// @brief Marks an alive member as suspect. Has no effect on this VM itself, on unknown members and in other states.
/// @return true if the state of the member changed
bool mark_suspect(membership_table& table, const vm_id& id, time_point now);

/// @brief Records that direct and indirect probes of member @a id failed. An alive member becomes suspect. A leaving
/// member is declared dead after the suspicion timeout unless mark_reachable is called before; it does not become
/// suspect, because suspect members can own engines.
/// @return true if the state of the member changed
bool mark_unreachable(membership_table& table, const vm_id& id, time_point now);

/// @brief Records that member @a id responded.
void mark_reachable(membership_table& table, const vm_id& id);

/// @brief Marks this VM as leaving.
void leave(membership_table& table, time_point now);

/// @brief Declares members dead whose suspicion timeout has passed, and removes members that have been dead for longer
/// than dead_member_retention.
/// @return the members that were declared dead by this call
[[nodiscard]] std::vector<member> expire_members(membership_table& table, time_point now);

/// @brief Returns the members that changed after table sequence @a since, oldest change first.
[[nodiscard]] std::vector<member> changes_since(const membership_table& table, std::uint64_t since);

/// @brief Returns the alive and suspect members of @a data_centre, ordered by id. Leaving members are not included.
[[nodiscard]] std::vector<member> live_members(const membership_table& table, const data_centre_id& data_centre);

/// @brief Returns whether member @a id is known and not dead. Leaving members are present.
[[nodiscard]] bool is_present(const membership_table& table, const vm_id& id);

/// @brief Returns the candidate with the highest rendezvous-hashing score for @a key, or nothing if there are no
/// candidates. Callers exclude leaving members.
/// @note Linear in the number of candidates.
[[nodiscard]] std::optional<vm_id> rendezvous_owner(const std::string& key, const std::vector<member>& candidates);

/// @brief Returns up to @a count candidates with the highest rendezvous-hashing scores for @a key, highest first.
[[nodiscard]] std::vector<member> highest_scoring_members(const std::string& key, std::vector<member> candidates,
                                                          std::size_t count);

}  // namespace cornelstall
