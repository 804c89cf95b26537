#pragma once

/// @file
/// The tasks of an entry process and what they share: settings, log events, metrics, connections.

#include "cornelstall/runtime/connection/grpc_call.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/runtime/connection/log_connection.hpp"
#include "cornelstall/runtime/connection/peer_channel.hpp"
#include "cornelstall/runtime/connection/peer_credentials.hpp"
#include "cornelstall/runtime/connection/peer_server.hpp"
#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/runtime/process/member_loop.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task.hpp"
