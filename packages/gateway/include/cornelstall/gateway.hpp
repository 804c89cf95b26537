#pragma once

/// @file
/// The HTTP gateway in front of backend servers: callers' connections, routing, forwarding, streaming, and the exchange
/// of load reports between VMs. A deployment passes the encoding of its messages in as functions (`gateway_protocol`).

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/connection/caller_socket.hpp"
#include "cornelstall/gateway/connection/http_client.hpp"
#include "cornelstall/gateway/connection/load_exchange.hpp"
#include "cornelstall/gateway/connection/status_listener.hpp"
#include "cornelstall/gateway/process/announce.hpp"
#include "cornelstall/gateway/process/evacuation_list.hpp"
#include "cornelstall/gateway/process/follow_servers.hpp"
#include "cornelstall/gateway/process/gateway_process.hpp"
#include "cornelstall/gateway/process/gateway_settings.hpp"
#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/process/known_era.hpp"
#include "cornelstall/gateway/process/loop_lateness.hpp"
#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/process/record_log.hpp"
#include "cornelstall/gateway/process/server_list.hpp"
#include "cornelstall/gateway/process/server_notices.hpp"
#include "cornelstall/gateway/process/wait_queue.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"
#include "cornelstall/gateway/request/protocol.hpp"
#include "cornelstall/gateway/version/follow_table.hpp"
