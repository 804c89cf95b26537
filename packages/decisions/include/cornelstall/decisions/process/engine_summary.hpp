#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/decisions/process/membership.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What an engine's owner tells the other members of its data centre about the engine.
struct engine_summary
{
    engine_state state_;
    vm_id owner_;
    std::uint64_t revision_ = 0;  ///< grows over all owners: an owner continues from the newest revision it has seen
};

/// @brief A summary and this VM's own bookkeeping about it.
struct engine_record
{
    engine_summary summary_;
    std::uint64_t change_sequence_ = 0;  ///< table sequence of the last change to pass on
    time_point received_at_;
    vm_id source_peer_;
};

/// @brief The newest known summary of each engine of the own data centre.
using engine_table = std::map<engine_id, engine_record>;

/// @brief How much a new state differs from the published one.
enum class engine_change
{
    none,      ///< too small to send
    load,      ///< sent by the owner to each peer at its next exchange
    condition  ///< condition, models, role or size: also passed on by the receivers
};

/// @brief Cached prefixes in one summary; the owner's own index is not limited. 32 prefixes take about 0.5 KB.
inline constexpr std::size_t max_summary_prefixes = 32;
/// @brief An unchanged summary is published again after this time, which repairs a summary that was refused by a
/// member with another view of the ownership.
inline constexpr milliseconds engine_refresh_interval{10'000};
/// @brief Least time between two revisions that differ in load only.
inline constexpr milliseconds min_load_publish_interval{500};

/// @brief Compares what is published with what is known now. Load counts only in coarse steps: an eighth of the slots,
/// a tenth of the KV memory, a quarter of a second of waiting prefill, a fifth of a rate, or another number of long
/// prefills.
[[nodiscard]] engine_change classify_change(const engine_state& published, const engine_state& current);

/// @brief Publishes the state of an engine that this VM owns, when it changed enough or the refresh is due.
/// @param table the member table, whose sequence counts the change
/// @return true when a revision was published
bool publish(engine_table& engines, membership_table& table, const engine_state& current, time_point now);

/// @brief Keeps @a update when it is the newest revision of the current owner.
///
/// A summary by the current owner (by rendezvous over the live members that are not leaving) replaces any other; among
/// the rest the higher revision wins, and the larger owner among equal revisions. The result does not depend on the
/// order in which summaries arrive.
/// @param live the live members of the own data centre
/// @return true when the summary was kept
bool apply(engine_table& engines, membership_table& table, const std::vector<member>& live,
           const engine_summary& update, time_point now, const vm_id& source);

/// @brief The member of @a live that owns @a engine.
[[nodiscard]] std::optional<vm_id> find_engine_owner(const engine_id& engine, const std::vector<member>& live);

}  // namespace cornelstall
