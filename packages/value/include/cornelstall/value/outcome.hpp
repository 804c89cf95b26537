#pragma once

#include <array>
#include <string_view>

namespace cornelstall
{

/// @brief Whether a request was executed, as far as is known.
enum class outcome
{
    ran,          ///< the backend server executed it
    did_not_run,  ///< no byte can have reached a backend server, or the backend server confirmed that it did not
                  ///< execute it
    unknown       ///< it may have been executed
};

/// @brief Why a request is refused or fails; each reason has a counter.
enum class refusal_reason
{
    unknown_key,
    unknown_model,
    model_not_allowed,
    rank_not_allowed,
    malformed_request,
    body_too_large,
    slow_sender,
    prompt_too_long,
    output_too_long,
    no_configuration,
    no_engine_ready,
    time_limit_unreachable,
    queue_full,
    caller_queue_full,
    expired_in_queue,
    memory_unavailable,
    retry_budget_empty,
    idempotency_key_missing,
    duplicate_in_progress,
    log_unavailable,
    no_server_ready,
    stopping,
    stream_failed,
    time_limit_passed
};

/// @brief Why a request is retried; each reason has a counter.
enum class retry_reason
{
    connect_failed,
    engine_overloaded,
    engine_draining,
    model_not_loaded,
    memory_refused,
    stream_cut,
    stream_silent,
    owner_unreachable,
    owner_changed
};

/// @brief The urgency of a request; a smaller value is served first.
enum class rank
{
    urgent,
    standard,
    deferred
};

/// @brief All ranks, most urgent first.
inline constexpr std::array all_ranks{rank::urgent, rank::standard, rank::deferred};

/// @brief The stable code of @a value as used in messages, metrics and declarations.
[[nodiscard]] std::string_view to_string(outcome value) noexcept;
[[nodiscard]] std::string_view to_string(refusal_reason value) noexcept;
[[nodiscard]] std::string_view to_string(retry_reason value) noexcept;
[[nodiscard]] std::string_view to_string(rank value) noexcept;

/// @brief The rank named @a text.
/// @throws request_error (id 104) when no rank has this name
[[nodiscard]] rank parse_rank(std::string_view text);

/// @brief The refusal reason named @a text.
/// @throws connection_error (id 205) when no reason has this name
[[nodiscard]] refusal_reason parse_refusal_reason(std::string_view text);

/// @brief The outcome named @a text.
/// @throws connection_error (id 205) when no outcome has this name
[[nodiscard]] outcome parse_outcome(std::string_view text);

}  // namespace cornelstall
