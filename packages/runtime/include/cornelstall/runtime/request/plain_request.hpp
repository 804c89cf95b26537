#pragma once

#include <memory>

#include "cornelstall/runtime/connection/caller_connection.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"
#include "cornelstall/runtime/request/plain_call.hpp"

namespace cornelstall
{

/// @brief What the plain calls of @a state share: servers of the VM list, retry budget, claims.
[[nodiscard]] std::shared_ptr<plain_call_context> make_plain_context(entry_state& state);

/// @brief Serves `ANY /services/{service}/{path}`. One task per caller request.
[[nodiscard]] task<> serve_plain(entry_state& state, std::shared_ptr<plain_call_context> context,
                                 std::shared_ptr<caller_connection> connection);

}  // namespace cornelstall
