#pragma once

#include <optional>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Duration of a lease. The holder counts it from before the append of its record.
inline constexpr milliseconds lease_duration{15'000};
/// @brief Time between renewals. Two renewals can fail before the lease expires.
inline constexpr milliseconds lease_renewal_period{5'000};
/// @brief Safety margin: the holder does not use the last part of its lease, and other VMs wait this long after its
/// end. Covers a pause between check and order, and clocks that run at different speeds.
inline constexpr milliseconds lease_margin{2'000};
/// @brief Time after which an order that was sent is certainly no longer being executed.
inline constexpr milliseconds max_order_execution_time{10'000};

/// @brief Action of a lease record.
enum class lease_action
{
    acquire,
    renew,
    release
};

/// @brief A record of the `leases` stream.
struct lease_record
{
    data_centre_id data_centre_;  ///< the name of the lease is `orders/<data centre>`
    lease_action action_ = lease_action::acquire;
    vm_id holder_;
    lease_attempt attempt_;  ///< sequence number of the record among those of `holder_`
    log_offset replaces_;    ///< the writer has read no accepted record after this offset
};

/// @brief A record and its offset in the stream.
struct positioned_lease_record
{
    log_offset offset_;
    lease_record record_;
};

/// @brief Result of one read of the `leases` stream, which holds the leases of all data centres.
struct lease_batch
{
    log_offset oldest_;    ///< oldest offset that the log retains
    log_offset next_;      ///< offset at which the next read starts
    bool at_end_ = false;  ///< the read reached the end of the stream
    std::vector<positioned_lease_record> records_;
};

/// @brief State of one lease, as far as this VM has read the log.
struct lease_view
{
    data_centre_id data_centre_;
    log_offset first_retained_;         ///< oldest retained offset when reading started; 0: nothing read yet
    log_offset next_{1};                ///< offset at which the next read starts
    log_offset last_accepted_;          ///< 0: none known
    log_offset last_seen_;              ///< last record of this lease, accepted or not
    bool last_accepted_known_ = false;  ///< it is known which record was accepted last
    vm_id holder_;                      ///< empty if there is none, the lease was released, or the holder is not known
    time_point read_at_;        ///< when this VM read the last record that may be the holder's, or started to read
    time_point previous_ends_;  ///< end of the lease of any previous holder, by this VM's clock
    bool complete_ = false;     ///< read without a gap from the oldest retained record to the end
};

/// @brief Applies the result of one read. A record is accepted if and only if no other record was accepted after the
/// offset in its `replaces_`, so acceptance depends on the log alone. Whether the writer holds the lease does not
/// matter.
///
/// A reader that starts after the log has dropped records cannot tell whether the first records it reads were accepted.
/// It is certain from the first record whose `replaces_` is the offset of the record just before it, as in renewals:
/// that record is accepted whatever came before. After a gap in reading, the view starts again.
/// @param now when the read returned
/// @return the accepted records in order
/// @note Linear in the number of records.
std::vector<lease_record> apply(lease_view& view, const lease_batch& batch, time_point now);

/// @brief An append of this VM whose result is not known yet.
struct pending_lease_attempt
{
    lease_attempt attempt_;
    time_point started_;  ///< time before the append
};

/// @brief State of this VM as the holder of a lease or as a candidate for it.
struct lease_participant
{
    vm_id self_;
    lease_attempt last_attempt_;
    time_point last_started_;
    std::vector<pending_lease_attempt> pending_;
    std::optional<time_point> held_since_;  ///< time before the append of this VM's last accepted record
    bool releasing_ = false;                ///< no more orders may be sent
};

/// @brief Creates the record to append for @a action at @a now and adds it to the pending attempts. A release ends the
/// right to send orders immediately, because its append may take effect without an acknowledgement.
[[nodiscard]] lease_record make_lease_record(lease_participant& participant, const lease_view& view,
                                             lease_action action, time_point now);

/// @brief Updates the state with an accepted record of any VM. Own records are recognized by their attempt number, so
/// that this also resolves appends whose acknowledgement was lost.
void apply_accepted_record(lease_participant& participant, const lease_record& record);

/// @brief Time for which this VM may still send orders, less the margin; 0 if it does not hold the lease.
[[nodiscard]] milliseconds lease_remaining(const lease_participant& participant, const lease_view& view,
                                           time_point now);

/// @brief Whether this VM may append an acquisition: the view is complete, and the lease was released, was never held,
/// or has had no new record for its duration and margin since this VM read the last one.
[[nodiscard]] bool may_acquire(const lease_view& view, time_point now);

/// @brief The action that this VM has to append next, or nothing if none is due.
[[nodiscard]] std::optional<lease_action> next_lease_action(const lease_participant& participant,
                                                            const lease_view& view, time_point now);

/// @brief Whether an order may be sent to an engine now.
enum class order_permission
{
    allowed,
    not_holder,              ///< the lease is not held, or only its margin is left
    previous_order_may_run,  ///< the engine ignores fencing numbers and may still execute an order of a previous holder
    read_state_first  ///< the engine ignores fencing numbers, and its state was read when such an order could still run
};

/// @brief Checks whether an order may be sent; called just before it is sent.
/// @param engine_checks_fencing the engine itself refuses stale fencing numbers
/// @param state_read_at when the engine state was requested on which the order is based
[[nodiscard]] order_permission check_order_permission(const lease_participant& participant, const lease_view& view,
                                                      bool engine_checks_fencing, time_point state_read_at,
                                                      time_point now);

/// @brief The fencing number of orders of the current holder.
[[nodiscard]] fencing_number fencing_number_of(const lease_view& view) noexcept;

}  // namespace cornelstall
