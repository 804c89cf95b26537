#pragma once

#include <string>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief A version of the configuration as the platform's log holds it. VMs pass it on to each other, so that a new
/// version costs the log a few reads instead of one for each VM.
struct configuration_document
{
    configuration_version version_;
    log_position position_;  ///< of its record in the log
    std::string key_;        ///< key of its record
    std::string text_;
};

}  // namespace cornelstall
