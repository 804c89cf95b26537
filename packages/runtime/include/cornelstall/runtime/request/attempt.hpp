#pragma once

#include "cornelstall/runtime/request/model_request.hpp"

namespace cornelstall
{

/// @brief How one attempt at an engine ended.
enum class attempt_end
{
    finished,
    refused,  ///< the engine refused before it began: the attempt did not run
    lost,     ///< the stream broke and could not be resumed
    caller_gone,
    limit_passed
};

/// @brief The end of an attempt with the reason that would be counted for another one.
struct attempt_result
{
    attempt_end end_ = attempt_end::finished;
    retry_reason reason_ = retry_reason::stream_cut;
    std::string message_;
};

/// @brief Streams one granted attempt from @a engine to the caller, resuming on new connections while the engine still
/// holds it.
[[nodiscard]] task<attempt_result> run_attempt(entry_state& state, model_request& request,
                                               caller_connection& connection, grant given, socket_address engine);

}  // namespace cornelstall
