#pragma once

#include <cstdint>
#include <iosfwd>
#include <set>
#include <vector>

namespace cornelstall::test
{

/// @brief What a command does to the fleet of two engines and their owners.
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

/// @brief One generated command; the action decides what its numbers mean.
struct command
{
    action action_ = action::submit;
    std::size_t target_ = 0;  ///< selects an engine or a request
    std::int64_t prompt_ = 1;
    std::int64_t output_ = 1;
    std::int64_t time_ms_ = 0;  ///< time that passes, or time limit of a submitted request
    int rank_ = 0;
    int caller_ = 0;
};

/// @brief Prints a command of a failing case for rapidcheck.
std::ostream& operator<<(std::ostream& out, const command& shown);

/// @brief A property of section 1 of the design page that a run can violate.
enum class violation
{
    not_one_end,           ///< an admitted request has no end or two
    late_grant,            ///< granted after the deadline
    memory_exceeded,       ///< more KV tokens or slots granted than the engine has
    capacity_lost,         ///< capacity is not whole after the last end
    overdue_in_queue,      ///< still waiting after its deadline and an expiry
    granted_while_leaving  ///< new work for a draining engine
};

/// @brief Deliberately wrong owners, which show that the checks can fail.
enum class wrong_owner
{
    none,
    release_forgets,
    expiry_does_nothing,
    deadline_ignored,
    memory_doubled,
    adoption_forgets,
    withdrawal_forgets,
    drain_unseen
};

/// @brief What a run came across.
struct run_result
{
    std::set<violation> violations_;
    int granted_ = 0;
    int removed_ = 0;  ///< by expiry
    int withdrawn_ = 0;
    int adopted_ = 0;
    int moved_ = 0;  ///< from a draining engine
};

/// @brief Runs the commands against the decisions and lets everything end.
run_result run(const std::vector<command>& commands, wrong_owner owner);

}  // namespace cornelstall::test
