#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelstall/decisions/process/fleet_view.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What this VM and one peer know of each other's tables.
struct peer_progress
{
    std::uint64_t acknowledged_ = 0;  ///< own table sequence up to which the peer has applied everything
    std::uint64_t applied_ = 0;       ///< the peer's table sequence up to which this VM has applied everything
    /// Own table sequence when this VM heard of the peer from a third member. The peer knows older changes from there,
    /// so that the first message to it carries only the sender's own and newer ones; 0 for a peer found by its address.
    std::uint64_t baseline_sequence_ = 0;
};

/// @brief What one exchange message carries, in both directions.
struct exchange_delta
{
    vm_id sender_;
    vm_id receiver_;                    ///< empty when the sender knows only an address
    std::uint64_t sequence_ = 0;        ///< the sender's table sequence that this message covers
    std::uint64_t acknowledged_ = 0;    ///< the receiver's table sequence that the sender has applied
    bool full_sync_requested_ = false;  ///< the sender has met neither the receiver nor a member that knows it
    configuration_version version_;
    std::vector<member> members_;
    std::vector<engine_summary> engines_;
    std::vector<data_centre_summary> data_centres_;
    std::vector<model_demand> demand_;
};

/// @brief What a peer is told: members of the own data centre learn everything, others only summaries.
enum class exchange_scope
{
    own_data_centre,
    other_data_centre
};

/// @brief Bounds on the content of one message; what does not fit goes with the next one.
struct delta_limits
{
    /// At 8 messages a second in each direction (fan-out 2, period 500 ms), 1.5 KB each is 24 KB/s, within the budget
    /// of 26 KB/s for control.
    std::size_t max_bytes_ = 1536;
    /// For a peer that has acknowledged nothing: a joining VM gets a data centre of 500 engines in two messages.
    std::size_t max_first_bytes_ = 65'536;
};

/// @brief Pace of the exchanges of one VM.
struct exchange_timing
{
    milliseconds period_{500};
    int fan_out_ = 2;       ///< exchanges started in one period, whatever the number of peers
    double jitter_ = 0.25;  ///< relative; keeps the peers from exchanging in step
};

/// @brief What changed by applying a delta.
struct delta_result
{
    bool members_changed_ = false;
    bool engines_changed_ = false;
    bool data_centres_changed_ = false;
    std::vector<member> died_;  ///< members that were live here and are dead by this news
};

/// @brief The time between two exchanges with one peer: `period × peers / fan-out`, varied by the jitter, so that the
/// messages a VM sends do not depend on the number of peers.
/// @param random uniform in [0, 1)
[[nodiscard]] milliseconds exchange_interval(const exchange_timing& pace, std::size_t peers, double random);

/// @brief The changes that @a peer has not acknowledged, oldest first, within the limits; at least one if there is any.
///
/// What the peer itself told is left out. News that the peer itself is suspect or dead is always included, since only
/// the peer can refute it. The first message to another data centre names the sender's own. O(n log n) in the size of
/// the view.
[[nodiscard]] exchange_delta make_delta(const fleet_view& view, const vm_id& peer, const peer_progress& progress,
                                        exchange_scope scope, const delta_limits& limits = {});

/// @brief The scope of a message: of the own data centre when its sender is a known member or names itself as one.
[[nodiscard]] exchange_scope scope_of(const fleet_view& view, const exchange_delta& delta);

/// @brief Applies a peer's message to the view and to the bookkeeping about this peer.
///
/// Acknowledgements and sequences only grow, so that a repeated or late message changes nothing. An acknowledgement
/// beyond the own sequence belongs to a former process at this address and is ignored. A peer that acknowledges nothing
/// has not met this VM or has forgotten it; it gets everything if it wants all.
[[nodiscard]] delta_result apply_delta(fleet_view& view, peer_progress& progress, const exchange_delta& delta,
                                       exchange_scope scope, time_point now);

}  // namespace cornelstall
