#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief A timer shared between the task that waits on it and those that may wake it.
using shared_timer = std::shared_ptr<boost::asio::steady_timer>;

/// @brief Time as tasks see it; tests pass one that they advance by hand.
struct task_clock
{
    std::function<time_point()> now_;
    /// Suspends until the given instant, or until the timer is cancelled.
    std::function<task<>(shared_timer, time_point)> wait_;
};

/// @brief The monotonic clock of the machine.
[[nodiscard]] task_clock machine_clock();

/// @brief Suspends the calling task for @a delay by @a clock.
[[nodiscard]] task<> sleep_for(task_clock clock, milliseconds delay);

/// @brief Wakes the tasks that wait for a change of some state. Used from one thread.
class wake_signal
{
  public:
    /// @brief Wakes all tasks that wait now.
    void notify();

    /// @brief Suspends until the next notify(), at most until @a deadline.
    [[nodiscard]] task<> wait_until(task_clock clock, time_point deadline);

  private:
    std::vector<std::weak_ptr<boost::asio::steady_timer>> waiting_;
};

}  // namespace cornelstall
