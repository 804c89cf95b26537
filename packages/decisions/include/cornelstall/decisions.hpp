#pragma once

/// @file
/// All decisions of cornelstall: free functions over plain structs. Nothing here reads a clock, sends a message or
/// knows an encoding, so that any front end can drive it.

#include "cornelstall/decisions/connection/load_report.hpp"
#include "cornelstall/decisions/connection/peer_delta.hpp"
#include "cornelstall/decisions/connection/store_news.hpp"
#include "cornelstall/decisions/process/claims.hpp"
#include "cornelstall/decisions/process/data_centres.hpp"
#include "cornelstall/decisions/process/engine_queue.hpp"
#include "cornelstall/decisions/process/engine_schedule.hpp"
#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/decisions/process/engine_summary.hpp"
#include "cornelstall/decisions/process/fleet_view.hpp"
#include "cornelstall/decisions/process/lease.hpp"
#include "cornelstall/decisions/process/membership.hpp"
#include "cornelstall/decisions/process/orders.hpp"
#include "cornelstall/decisions/process/reconcile.hpp"
#include "cornelstall/decisions/process/server_directory.hpp"
#include "cornelstall/decisions/process/shared_retry_budget.hpp"
#include "cornelstall/decisions/request/joint_read.hpp"
#include "cornelstall/decisions/request/placement.hpp"
#include "cornelstall/decisions/request/retry.hpp"
#include "cornelstall/decisions/request/server_choice.hpp"
#include "cornelstall/decisions/request/split_prompt.hpp"
#include "cornelstall/decisions/request/stream_parts.hpp"
#include "cornelstall/decisions/request/tokens.hpp"
#include "cornelstall/decisions/version/configuration.hpp"
#include "cornelstall/decisions/version/ordering.hpp"
#include "cornelstall/decisions/version/replay.hpp"
#include "cornelstall/decisions/version/routing_table.hpp"
#include "cornelstall/decisions/version/validation.hpp"
