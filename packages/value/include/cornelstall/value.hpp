#pragma once

/// @file
/// Strong types for ids and units, outcomes, and the error kinds that all packages share.

#include "cornelstall/value/errors.hpp"
#include "cornelstall/value/ids.hpp"
#include "cornelstall/value/log_position.hpp"
#include "cornelstall/value/outcome.hpp"
#include "cornelstall/value/strong_type.hpp"
#include "cornelstall/value/units.hpp"
