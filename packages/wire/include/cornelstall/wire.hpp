#pragma once

/// @file
/// Encodings of what cornelstall exchanges with other systems and keeps in the log. Nothing here decides anything.

#include "cornelstall/wire/connection/engine_messages.hpp"
#include "cornelstall/wire/connection/load_codec.hpp"
#include "cornelstall/wire/connection/peer_codec.hpp"
#include "cornelstall/wire/connection/peer_messages.hpp"
#include "cornelstall/wire/process/claims_codec.hpp"
#include "cornelstall/wire/process/lease_codec.hpp"
#include "cornelstall/wire/process/vm_list.hpp"
#include "cornelstall/wire/request/completion.hpp"
#include "cornelstall/wire/version/configuration_codec.hpp"
