#pragma once

/// @file
/// Encodings: the messages between entry processes and the formats of outside systems.

#include "cornelstall/wire/connection/peer_codec.hpp"
#include "cornelstall/wire/connection/peer_messages.hpp"
