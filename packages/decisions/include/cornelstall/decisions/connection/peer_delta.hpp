#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelstall/decisions/process/fleet_view.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Replication progress between this VM and one peer.
struct peer_progress
{
    std::uint64_t acknowledged_ = 0;      ///< local table sequence up to which the peer has applied all changes
    std::uint64_t applied_sequence_ = 0;  ///< the peer's table sequence up to which this VM has applied all changes
    /// Local table sequence at the time when a third member reported the peer. The peer gets older changes from that
    /// member, so that the first message to it contains only the sender's own records and newer changes. 0 for a peer
    /// that is known only by its address.
    std::uint64_t baseline_sequence_ = 0;
};

/// @brief Content of an exchange request or reply.
struct exchange_delta
{
    vm_id sender_;
    vm_id receiver_;                  ///< empty if the sender knows only an address
    std::uint64_t sequence_ = 0;      ///< the sender's table sequence covered by this message
    std::uint64_t acknowledged_ = 0;  ///< the receiver's table sequence that the sender has applied
    /// The sender has applied nothing from the receiver, and no third member has reported the receiver to it.
    bool full_sync_requested_ = false;
    configuration_version version_;
    std::vector<member> members_;
    std::vector<engine_summary> engines_;
    std::vector<data_centre_summary> data_centres_;
    std::vector<model_demand> demand_;
};

/// @brief Determines the content sent to a peer: members of the same data centre get all records, other members only
/// data centre summaries.
enum class exchange_scope
{
    own_data_centre,
    other_data_centre
};

/// @brief Size limits of one message; changes that do not fit are sent in the next one.
struct delta_limits
{
    /// 8 messages per second in each direction (fan-out 2, period 500 ms) of 1.5 KB take 24 KB/s, within the budget of
    /// 26 KB/s for control traffic.
    std::size_t max_bytes_ = 1536;
    /// For a peer that has acknowledged nothing. A joining VM gets a data centre with 500 engines in two messages.
    std::size_t max_first_bytes_ = 65'536;
};

/// @brief Timing of the exchanges that one VM starts.
struct exchange_timing
{
    milliseconds period_{500};
    int fan_out_ = 2;       ///< exchanges started per period, regardless of the number of peers
    double jitter_ = 0.25;  ///< relative; prevents synchronized exchanges
};

/// @brief Changes made by applying a delta.
struct delta_result
{
    bool members_changed_ = false;
    bool engines_changed_ = false;
    bool data_centres_changed_ = false;
    std::vector<member> died_;  ///< members that became dead by this delta
};

/// @brief Returns the time between two exchanges with one peer: `period × peers / fan-out`, with jitter. The number of
/// messages that a VM sends does not depend on the number of peers.
/// @param random uniformly distributed in [0, 1)
[[nodiscard]] milliseconds exchange_interval(const exchange_timing& timing, std::size_t peers, double random);

/// @brief Returns the changes that @a peer has not acknowledged, oldest first, within the limits. Contains at least one
/// change if there is any.
///
/// Changes received from the peer are omitted. If the peer itself is suspect or dead, its record is always included,
/// because only the peer can refute it. The first message to another data centre includes the sender's own member
/// record.
/// @note O(n log n) in the size of the view.
[[nodiscard]] exchange_delta make_delta(const fleet_view& view, const vm_id& peer, const peer_progress& progress,
                                        exchange_scope scope, const delta_limits& limits = {});

/// @brief Returns the scope of a message: the own data centre if the sender is a known member or the message contains
/// the sender's record with this data centre.
[[nodiscard]] exchange_scope scope_of(const fleet_view& view, const exchange_delta& delta);

/// @brief Applies a peer's message to the view and to the replication progress of this peer.
///
/// Acknowledgements and sequences only increase, so that repeated and delayed messages have no effect. An
/// acknowledgement above the local sequence was meant for an earlier process with this address and is ignored. A peer
/// that acknowledges nothing has had no contact with this VM or has lost its state; it gets all records if it requests
/// a full synchronization.
[[nodiscard]] delta_result apply_delta(fleet_view& view, peer_progress& progress, const exchange_delta& delta,
                                       exchange_scope scope, time_point now);

}  // namespace cornelstall
