#pragma once

#include <cstddef>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Memory for parts of answers that are buffered before they are relayed, shared by all requests of a process.
struct buffer_budget
{
    byte_count limit_{16ULL * 1024 * 1024};
    byte_count used_;
};

/// @brief The part of a buffer budget that one answer uses; returned by the destructor. A small answer uses none, so
/// that a server that sends bytes without end cannot keep other answers from being relayed.
class buffer_share
{
  public:
    explicit buffer_share(buffer_budget& budget) : budget_(budget) {}
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;
    buffer_share(buffer_share&&) = delete;
    buffer_share& operator=(buffer_share&&) = delete;
    ~buffer_share()
    {
        budget_.used_ -= held_;
    }

    /// @brief Makes room for @a bytes bytes of the answer.
    /// @return false when the budget is used up
    [[nodiscard]] bool grow_to(std::size_t bytes)
    {
        /// Every answer may use this much without drawing on the budget.
        constexpr std::size_t free_bytes = 16'384;
        const byte_count needed{bytes > free_bytes ? bytes - free_bytes : 0};
        if (needed <= held_)
        {
            return true;
        }
        if (budget_.used_ - held_ + needed > budget_.limit_)
        {
            return false;
        }
        budget_.used_ = budget_.used_ - held_ + needed;
        held_ = needed;
        return true;
    }

  private:
    buffer_budget& budget_;
    byte_count held_;
};

}  // namespace cornelstall
