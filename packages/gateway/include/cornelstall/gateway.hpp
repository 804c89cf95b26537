#pragma once

/// @file
/// The HTTP gateway in front of backend servers: callers' connections, routes, sends, streams, and the load that VMs
/// tell one another. What the messages of a deployment are called is given to it as functions.

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/connection/caller_socket.hpp"
#include "cornelstall/gateway/connection/http_client.hpp"
#include "cornelstall/gateway/connection/load_exchange.hpp"
#include "cornelstall/gateway/connection/status_listener.hpp"
#include "cornelstall/gateway/process/announce.hpp"
#include "cornelstall/gateway/process/follow_servers.hpp"
#include "cornelstall/gateway/process/gateway_process.hpp"
#include "cornelstall/gateway/process/gateway_settings.hpp"
#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/record_log.hpp"
#include "cornelstall/gateway/process/server_list.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"
#include "cornelstall/gateway/request/protocol.hpp"
#include "cornelstall/gateway/version/follow_table.hpp"
