#pragma once

#include <cstdint>
#include <iosfwd>
#include <set>
#include <vector>

namespace cornelstall::test
{

/// @brief Operations on two engines and their owners.
enum class action
{
    submit,
    submit_segment,
    grant,
    first_part,
    release,
    repeat_release,
    withdraw,
    expire,
    drain,
    end_drain,
    change_owner,
    pass_time
};

/// @brief A generated command; the action determines which of the other fields are used.
struct command
{
    action action_ = action::submit;
    std::size_t target_ = 0;  ///< selects an engine or an attempt, modulo their number
    std::int64_t prompt_ = 1;
    std::int64_t output_ = 1;
    std::int64_t time_ms_ = 0;  ///< duration of `pass_time`, or time limit of a submitted request
    int rank_ = 0;
    int caller_ = 0;
};

/// @brief Prints a command; rapidcheck uses it to show a failing case.
std::ostream& operator<<(std::ostream& out, const command& shown);

/// @brief Invariants (docs/design.md, section 1) that a run can violate.
enum class violation
{
    not_ended_exactly_once,  ///< a submitted request has not ended, or has ended more than once
    late_grant,              ///< granted after the deadline
    memory_exceeded,         ///< more KV tokens or slots granted than the engine has
    capacity_lost,           ///< not all capacity is free after the last request has ended
    overdue_in_queue,        ///< still waiting after its deadline although expired requests were removed
    granted_while_draining   ///< new grant on a draining engine
};

/// @brief Faults that a test injects into an owner, to show that the checks detect them.
enum class injected_fault
{
    none,
    release_ignored,
    expiry_ignored,
    deadline_ignored,
    memory_doubled,
    grants_not_restored,
    withdrawal_ignored,
    drain_ignored
};

/// @brief Violations and event counts of a run.
struct run_result
{
    std::set<violation> violations_;
    int granted_ = 0;
    int removed_ = 0;  ///< expired in the queue
    int withdrawn_ = 0;
    int restored_ = 0;
    int requeued_ = 0;  ///< moved from a draining engine to the other one
};

/// @brief Runs the commands on the engine queues, then lets all requests end and checks that all capacity is free.
run_result run(const std::vector<command>& commands, injected_fault fault);

}  // namespace cornelstall::test
