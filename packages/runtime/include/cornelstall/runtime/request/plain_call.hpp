#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cornelstall/decisions/request/retry.hpp"
#include "cornelstall/decisions/version/configuration.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/runtime/process/claim_keeper.hpp"

namespace cornelstall
{

/// @brief Error ids of plain calls.
inline constexpr int plain_key_missing = 141;
inline constexpr int plain_key_misused = 142;
inline constexpr int plain_log_unavailable = 143;
inline constexpr int plain_no_server = 144;
inline constexpr int plain_failed = 145;
inline constexpr int plain_time_passed = 146;
inline constexpr int plain_duplicate = 147;
inline constexpr int plain_recorded = 148;

/// @brief One server of a plain service.
struct plain_server
{
    server_id id_;
    socket_address address_;
};

/// @brief What plain calls share in one process.
struct plain_call_context
{
    executor where_;
    task_clock clock_;
    std::shared_ptr<claim_keeper> claims_;
    retry_budget* budget_ = nullptr;
    metrics* metrics_ = nullptr;
    /// Servers of a service that take new work, in the order in which they should be tried.
    std::function<std::vector<plain_server>(const std::string&)> servers_;
    /// Makes a call on a connection of its own, like `make_call`: a client library that keeps connections may send a
    /// request twice.
    std::function<task<http_answer>(http_call)> send_;
    /// Notes that a server said that it drains.
    std::function<void(const server_id&)> note_draining_;
};

/// @brief One call of a plain service by a caller.
struct plain_request
{
    caller_id caller_;
    std::string service_;
    plain_call_policy policy_;
    http_call call_;       ///< without address and time limit
    idempotency_key key_;  ///< empty when the caller sent none
    time_point deadline_;
};

/// @brief Routes one call to a server.
///
/// An idempotent call is retried on other servers within the retry budget. Any other call is claimed, sent to one
/// server and its answer recorded; a repeat of its key gets the recorded answer.
/// @return the server's answer, whatever its status
/// @throws request_error with one of the ids above and the outcome
[[nodiscard]] task<http_answer> call_plain_service(std::shared_ptr<plain_call_context> context, plain_request request);

}  // namespace cornelstall
