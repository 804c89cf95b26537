#pragma once

/// @file
/// Encodings of what cornelstall exchanges with other systems and keeps in the log. Nothing here decides anything.

#include "cornelstall/wire/process/claims_codec.hpp"
#include "cornelstall/wire/process/lease_codec.hpp"
