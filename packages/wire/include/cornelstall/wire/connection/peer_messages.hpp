#pragma once

#include <optional>
#include <vector>

#include "cornelstall/decisions.hpp"
#include "cornelstall/value.hpp"

/// @file
/// The messages between entry processes as plain structs. `exchange_delta` is declared with the decisions.

namespace cornelstall
{

/// @brief Error id of a peer's message that is not valid.
inline constexpr int peer_message_malformed = 220;

/// @brief Asks a member to probe another one.
struct probe_request
{
    vm_id target_;
    socket_address target_address_;
};

/// @brief Whether the target of a probe answered.
struct probe_reply
{
    bool reachable_ = false;
};

/// @brief Asks the owner of an engine for capacity.
struct reserve_request
{
    engine_id engine_;  ///< empty: the receiver chooses
    request_id request_;
    attempt_number attempt_{1};
    vm_id holder_;
    caller_id caller_;
    caller_weight weight_{1.0};
    rank rank_ = rank::standard;
    model_id model_;
    adapter_id adapter_;
    token_count prompt_;
    token_count uncached_;
    token_count max_output_;
    milliseconds remaining_{0};  ///< until the request's deadline
    bool no_wait_ = false;       ///< refuse instead of queueing
    bool forwarded_ = false;     ///< already forwarded once; must not be forwarded again
    std::vector<prefix_key> prefix_keys_;
};

/// @brief A grant, a refusal, or the notice that the receiver does not own the engine.
struct reserve_reply
{
    bool granted_ = false;
    grant_id grant_;
    engine_id engine_;
    socket_address address_;
    int priority_ = 0;
    vm_id owner_;  ///< the member that gave the grant, or that the receiver holds for the owner
    std::optional<refusal_reason> refusal_;  ///< set when neither granted nor not_owner
    std::string message_;
    std::optional<milliseconds> retry_after_;
    bool not_owner_ = false;
};

/// @brief Reports the end of a grant, or the end of its prefill.
struct release_request
{
    engine_id engine_;
    grant_id grant_;
    token_count used_output_;
    bool first_part_only_ = false;  ///< the prefill is over; the grant goes on
    bool finished_ = false;         ///< false: the engine may still hold the request
};

/// @brief Whether the owner knew the grant.
struct release_reply
{
    bool known_ = false;
};

/// @brief A grant under which a request is running.
struct running_grant
{
    grant_id grant_;
    reserve_request request_;
};

/// @brief Keeps grants of other data centres and announces running grants to a new owner.
struct renew_request
{
    vm_id holder_;
    std::vector<running_grant> grants_;
};

/// @brief The grants that the owner does not know.
struct renew_reply
{
    std::vector<grant_id> unknown_;
};

/// @brief Asks a holder which of these requests it still wants.
struct wanted_request
{
    std::vector<request_id> requests_;
};

/// @brief The requests that are still wanted.
struct wanted_reply
{
    std::vector<request_id> wanted_;
};

/// @brief Asks for the configuration after a version.
struct fetch_configuration_request
{
    configuration_version version_;
};

/// @brief Changes after the asked version, or the whole state.
struct fetch_configuration_reply
{
    configuration_version version_;
    std::vector<declaration> declarations_;
};

}  // namespace cornelstall
