#pragma once

#include <optional>
#include <string>

#include "cornelstall/runtime/process/entry_state.hpp"

namespace cornelstall
{

/// @brief What is in force, members, engines and queues, as JSON for `cornelctl status`.
[[nodiscard]] std::string encode_status(const entry_state& state);

/// @brief Why @a request was refused or failed, as JSON; nothing when it is not remembered here.
[[nodiscard]] std::optional<std::string> encode_explanation(const entry_state& state, const request_id& request);

/// @brief The models that @a service may call, in the format of `GET /v1/models`.
[[nodiscard]] std::string encode_models(const service_policy& service);

/// @brief Sets the gauges that are read from the state.
void update_gauges(entry_state& state);

}  // namespace cornelstall
