#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The two completion endpoints.
enum class completion_kind
{
    text,  ///< `/v1/completions` with `prompt`
    chat   ///< `/v1/chat/completions` with `messages`
};

/// @brief A caller's completion call, decoded and checked.
struct completion_call
{
    completion_kind kind_ = completion_kind::text;
    model_id model_;
    adapter_id adapter_;
    std::string prompt_;  ///< text; for chat the JSON text of `messages`
    token_count max_output_{256};
    bool stream_ = false;
    std::string parameters_{"{}"};  ///< JSON object of sampling parameters, passed on unchanged
};

/// @brief Deepest nesting accepted in a body; deeper ones come from faulty or hostile senders.
inline constexpr int max_json_depth = 32;

/// @brief Decodes the body of a completion call. Linear in the body; the prompt is moved, not copied again.
/// @throws request_error (ids 110 to 114, `malformed_request`) whose message names the field and the remedy
[[nodiscard]] completion_call decode_completion(completion_kind kind, std::string_view body);

/// @brief What the entry process adds to a call for the engine.
struct engine_request
{
    request_id request_;
    attempt_number attempt_{1};
    vm_id holder_;
    int priority_ = 0;
    part_number first_part_;
    std::string resume_text_;
    std::vector<prefix_key> prefix_keys_;
    std::vector<std::pair<socket_address, export_id>> imports_;
    reservation_id reservation_;
};

/// @brief Encodes @a call for an engine.
[[nodiscard]] std::string encode_engine_request(const completion_call& call, const engine_request& request);

/// @brief The engine's path for @a kind.
[[nodiscard]] std::string_view path_of(completion_kind kind) noexcept;

/// @brief Tokens used, as the engine counts them.
struct completion_usage
{
    token_count prompt_;
    token_count cached_;
    token_count output_;
};

/// @brief Encodes one server-sent event with @a text for a streaming caller.
[[nodiscard]] std::string encode_chunk(const completion_call& call, const request_id& request, std::string_view text);

/// @brief Encodes the last chunk and the end mark for a streaming caller.
[[nodiscard]] std::string encode_end(const completion_call& call, const request_id& request,
                                     std::string_view finish_reason, const completion_usage& usage);

/// @brief Encodes the whole answer for a caller that does not stream.
[[nodiscard]] std::string encode_answer(const completion_call& call, const request_id& request, std::string_view text,
                                        std::string_view finish_reason, const completion_usage& usage);

/// @brief Encodes a refusal or failure: stable code, message with the remedy, outcome, time to retry after.
[[nodiscard]] std::string encode_error(const request_error& problem, const request_id& request);

/// @brief The HTTP status for @a reason.
[[nodiscard]] int status_of(refusal_reason reason) noexcept;

}  // namespace cornelstall
