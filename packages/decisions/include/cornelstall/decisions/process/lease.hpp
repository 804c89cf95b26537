#pragma once

#include <optional>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Time of a lease, counted by the holder from before its append.
inline constexpr milliseconds lease_duration{15'000};
/// @brief Time between renewals; two may fail before the lease is over.
inline constexpr milliseconds lease_renewal_period{5'000};
/// @brief Part of the lease that the holder does not use, and that other VMs wait beyond it. Covers a pause between
/// check and order, and clocks of different speed.
inline constexpr milliseconds lease_margin{2'000};
/// @brief Time after which an order that was given is no longer in execution.
inline constexpr milliseconds max_order_execution_time{10'000};

/// @brief What a lease record does.
enum class lease_action
{
    acquire,
    renew,
    release
};

/// @brief A record of stream `leases`.
struct lease_record
{
    data_centre_id data_centre_;  ///< the lease is `orders/<data centre>`
    lease_action action_ = lease_action::acquire;
    vm_id holder_;
    lease_attempt attempt_;  ///< numbers the records of `holder_`
    log_offset replaces_;    ///< no record was accepted after this offset, as far as the writer has read
};

/// @brief A record and its place in the stream.
struct positioned_lease_record
{
    log_offset offset_;
    lease_record record_;
};

/// @brief One read of stream `leases`, which holds the leases of all data centres.
struct lease_batch
{
    log_offset oldest_;  ///< oldest offset that the log retains
    log_offset next_;    ///< where the following read starts
    bool at_end_ = false;
    std::vector<positioned_lease_record> records_;
};

/// @brief What the log says about one lease, as far as this VM has read it.
struct lease_view
{
    data_centre_id data_centre_;
    log_offset first_retained_;  ///< oldest offset when reading started; 0: nothing was read
    log_offset next_{1};         ///< where the following read starts
    log_offset last_accepted_;   ///< 0: none known
    log_offset last_seen_;       ///< last record of this lease, accepted or not
    bool anchored_ = false;      ///< it is certain which record was accepted last
    vm_id holder_;               ///< empty when there is none, it released the lease, or it is not certain
    time_point read_at_;         ///< when this VM read the last record that may be the holder's, or started to read
    time_point former_ends_;     ///< from here no earlier holder can hold the lease, by this VM's clock
    bool complete_ = false;      ///< read from the oldest retained record to the head without a gap
};

/// @brief Applies one read. A record is accepted if and only if no other one was accepted after the offset it names, so
/// acceptance depends on the log alone. Whether its writer is the holder is not asked.
///
/// A reader that starts after the log has dropped records cannot tell whether the first ones that it reads were
/// accepted. It is certain from the first record that names the one just before it, as renewals do: that record is
/// accepted whatever came before. A gap in reading starts the view again.
/// @param now when the read returned
/// @return the accepted records in order
/// Linear in the records.
std::vector<lease_record> apply(lease_view& view, const lease_batch& batch, time_point now);

/// @brief An append of this VM whose fate is open.
struct open_lease_attempt
{
    lease_attempt attempt_;
    time_point started_;  ///< before the append
};

/// @brief A VM's own part in a lease.
struct lease_participant
{
    vm_id self_;
    lease_attempt last_attempt_;
    time_point last_started_;
    std::vector<open_lease_attempt> pending_;
    std::optional<time_point> held_since_;  ///< time before the append of this VM's last accepted record
    bool releasing_ = false;                ///< no order may be given any more
};

/// @brief The record to append for @a action at @a now; remembers the attempt. A release ends the right to give orders
/// at once, because its append may take effect without an acknowledgement.
[[nodiscard]] lease_record make_lease_record(lease_participant& claimant, const lease_view& view, lease_action action,
                                             time_point now);

/// @brief Notes an accepted record of any VM. Also resolves lost acknowledgements, because own records are known by
/// their attempt.
void apply_accepted_record(lease_participant& claimant, const lease_record& record);

/// @brief Time for which this VM may still give orders, margin taken off; 0 when it does not hold the lease.
[[nodiscard]] milliseconds lease_remaining(const lease_participant& claimant, const lease_view& view, time_point now);

/// @brief Whether this VM may append an acquisition: the view is complete, and the lease was released, never held, or
/// without a new record for its duration and margin since this VM read the last one.
[[nodiscard]] bool may_acquire(const lease_view& view, time_point now);

/// @brief What this VM appends next, or nothing when nothing is due.
[[nodiscard]] std::optional<lease_action> next_lease_action(const lease_participant& claimant, const lease_view& view,
                                                            time_point now);

/// @brief Whether an order may be given to an engine now.
enum class order_permission
{
    allowed,
    not_holder,        ///< no lease, or less than the margin left
    former_may_order,  ///< the engine ignores fencing numbers and an order of a former holder may still be in execution
    read_state_first   ///< as above, and the engine's state has not been read since
};

/// @brief Checks an order just before it is sent.
/// @param engine_checks_fencing the engine refuses an old fencing number by itself
/// @param state_read_at when the engine's state was asked for that the order is based on
[[nodiscard]] order_permission check_order_permission(const lease_participant& claimant, const lease_view& view,
                                                      bool engine_checks_fencing, time_point state_read_at,
                                                      time_point now);

/// @brief The number that orders of the present holder carry.
[[nodiscard]] fencing_number fencing_number_of(const lease_view& view) noexcept;

}  // namespace cornelstall
