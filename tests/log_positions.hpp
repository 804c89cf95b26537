#pragma once

#include "cornelstall/value.hpp"

namespace cornelstall::tests
{

/// @brief A position in a log that states no era, as in releases before eras were read.
constexpr log_position at_offset(std::uint64_t offset, log_era era = {})
{
    return {era, record_offset{offset}};
}

}  // namespace cornelstall::tests
