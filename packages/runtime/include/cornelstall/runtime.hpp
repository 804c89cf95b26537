#pragma once

/// @file
/// The tasks of an entry process and what they share: settings, log events, metrics, connections.

#include "cornelstall/runtime/connection/caller_connection.hpp"
#include "cornelstall/runtime/connection/caller_listener.hpp"
#include "cornelstall/runtime/connection/engine_stream.hpp"
#include "cornelstall/runtime/connection/grpc_call.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/runtime/connection/log_connection.hpp"
#include "cornelstall/runtime/connection/peer_channel.hpp"
#include "cornelstall/runtime/connection/peer_credentials.hpp"
#include "cornelstall/runtime/connection/peer_server.hpp"
#include "cornelstall/runtime/process/engine_owner.hpp"
#include "cornelstall/runtime/process/engine_watch.hpp"
#include "cornelstall/runtime/process/entry_process.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"
#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/settings.hpp"
#include "cornelstall/runtime/process/status.hpp"
#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/runtime/request/attempt.hpp"
#include "cornelstall/runtime/request/model_request.hpp"
#include "cornelstall/runtime/version/configuration_follower.hpp"
#include "cornelstall/runtime/version/configuration_log.hpp"
#include "cornelstall/runtime/version/publish.hpp"
