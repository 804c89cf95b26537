#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief State of a member as others see it; a larger value overrides a smaller one at the same incarnation.
enum class member_state
{
    alive,
    suspect,
    leaving,
    dead
};

/// @brief One member of the fleet.
struct member
{
    vm_id id_;
    socket_address peer_address_;
    data_centre_id data_centre_;
    incarnation incarnation_;
    member_state state_ = member_state::alive;
};

/// @brief A member and this VM's own bookkeeping about it.
struct member_record
{
    member member_;
    std::uint64_t change_sequence_ = 0;  ///< table sequence of the last change
    time_point state_since_;
    vm_id source_peer_;                            ///< peer that sent the last change; empty when it is our own
    std::optional<time_point> unreachable_since_;  ///< first failed probe of a leaving member
};

/// @brief The member table of one VM.
struct membership_table
{
    member self_;
    std::uint64_t sequence_ = 0;              ///< grows with each change
    std::map<vm_id, member_record> members_;  ///< includes self
};

/// @brief Time without refutation after which a suspect is dead.
inline constexpr milliseconds suspicion_timeout{1500};
/// @brief Time for which a dead member stays in the table, so that late news does not bring it back.
inline constexpr milliseconds dead_member_retention{60'000};

/// @brief A table that knows only @a self.
[[nodiscard]] membership_table make_membership(member self, time_point now);

/// @brief Applies news about a member. News about this VM itself that it is suspect or dead raises its incarnation.
///
/// The higher incarnation wins, and at the same incarnation the larger state. News of the death of an unknown member is
/// kept, so that older news does not bring it back, but it is not passed on: otherwise members that have forgotten it
/// and members that have not would return it to each other without end.
/// @param source the peer that sent the news; it need not be told again
/// @return true when the table changed
bool apply(membership_table& table, const member& update, time_point now, const vm_id& source = vm_id{});

/// @brief Marks @a who suspect after failed probes, unless it is dead or leaving.
bool suspect(membership_table& table, const vm_id& who, time_point now);

/// @brief Notes that direct and indirect probes of @a who failed: an alive member becomes suspect, and a leaving one is
/// dead after the suspicion timeout unless mark_reachable is called before. Leaving members cannot be suspect, because
/// that would give them engines again.
/// @return true when the state of the member changed
bool mark_unreachable(membership_table& table, const vm_id& who, time_point now);

/// @brief Notes that @a who answered.
void mark_reachable(membership_table& table, const vm_id& who);

/// @brief Marks this VM as leaving.
void leave(membership_table& table, time_point now);

/// @brief Turns suspects into dead members after the suspicion timeout and forgets members dead for long.
/// @return the members that died now
[[nodiscard]] std::vector<member> expire_members(membership_table& table, time_point now);

/// @brief The members that changed after table sequence @a since, oldest change first.
[[nodiscard]] std::vector<member> changes_since(const membership_table& table, std::uint64_t since);

/// @brief Members of @a where that are alive or suspect, ordered by id.
[[nodiscard]] std::vector<member> live_members(const membership_table& table, const data_centre_id& where);

/// @brief True unless @a who is unknown, dead, or known only as gone.
[[nodiscard]] bool is_present(const membership_table& table, const vm_id& who);

/// @brief The member of @a candidates with the highest rendezvous score for @a subject; nothing when there is none.
/// Leaving members should not be among the candidates. Linear in the candidates.
[[nodiscard]] std::optional<vm_id> rendezvous_owner(const std::string& subject, const std::vector<member>& candidates);

/// @brief The @a count members with the highest scores for @a subject, best first.
[[nodiscard]] std::vector<member> highest_scoring_members(const std::string& subject, std::vector<member> candidates,
                                                          std::size_t count);

}  // namespace cornelstall
