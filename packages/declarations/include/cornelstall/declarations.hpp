#pragma once

/// @file
/// Reads the TOML files in which operators declare services, ranks and models, and checks them.

#include "cornelstall/declarations/key_hash.hpp"
#include "cornelstall/declarations/parse.hpp"
#include "cornelstall/declarations/tree.hpp"
