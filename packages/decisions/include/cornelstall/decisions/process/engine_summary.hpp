#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/decisions/process/membership.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief State of an engine as its owner publishes it to the other members of the data centre.
struct engine_summary
{
    engine_state state_;
    vm_id owner_;
    /// Increases across owners: a new owner continues from the latest revision it has received.
    std::uint64_t revision_ = 0;
};

/// @brief A summary and the metadata that this VM needs to replicate it.
struct engine_record
{
    engine_summary summary_;
    std::uint64_t change_sequence_ = 0;  ///< table sequence of the last change that is forwarded to peers
    time_point received_at_;
    vm_id source_peer_;  ///< peer that sent the summary; empty for own engines
};

/// @brief The latest known summary of each engine in this VM's data centre.
using engine_table = std::map<engine_id, engine_record>;

/// @brief Kind of difference between the published state and a new one.
enum class engine_change
{
    none,      ///< not significant enough to publish
    load,      ///< sent by the owner to each peer in their next exchange
    condition  ///< condition, address, fencing support, models, role or size; also forwarded by the receivers
};

/// @brief Maximum number of cached prefixes in a summary; 32 prefixes take about 0.5 KB. The owner's own index is not
/// limited.
inline constexpr std::size_t max_summary_prefixes = 32;
/// @brief An unchanged summary is published again after this time, in case a member with a different view of the
/// ownership rejected it.
inline constexpr milliseconds engine_refresh_interval{10'000};
/// @brief Minimum time between two revisions that differ only in load.
inline constexpr milliseconds min_load_publish_interval{500};

/// @brief Classifies the difference between the published and the current state. A load change is significant from an
/// eighth of the slots, a tenth of the KV memory, a quarter of a second of pending prefill or a fifth of a rate, or
/// when the number of long prefills differs.
[[nodiscard]] engine_change classify_change(const engine_state& published, const engine_state& current);

/// @brief Publishes the state of an engine that this VM owns when it has changed significantly or the refresh interval
/// has elapsed.
/// @param table the member table, which provides the change sequence number
/// @return true when a revision was published
bool publish(engine_table& engines, membership_table& table, const engine_state& current, time_point now);

/// @brief Stores @a received if it supersedes the known summary of the engine.
///
/// A summary of the current owner (by rendezvous hashing over the live members that are not leaving) supersedes those
/// of other owners. Otherwise the higher revision wins, and for equal revisions the greater owner id, so that the
/// result does not depend on the order in which summaries arrive.
/// @param live the live members of this VM's data centre
/// @return true when the summary was stored
bool apply(engine_table& engines, membership_table& table, const std::vector<member>& live,
           const engine_summary& received, time_point now, const vm_id& source);

/// @brief The member of @a live that owns @a engine.
[[nodiscard]] std::optional<vm_id> find_engine_owner(const engine_id& engine, const std::vector<member>& live);

}  // namespace cornelstall
