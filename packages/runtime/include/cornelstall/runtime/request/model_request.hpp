#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cornelstall/runtime/connection/caller_connection.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"

namespace cornelstall
{

/// @brief Time kept back from a request's limit, so that its end reaches the caller within the limit.
inline constexpr milliseconds answer_margin{50};

/// @brief Everything that lives for one model request.
struct model_request
{
    request_id id_;
    std::shared_ptr<const version_state> version_;
    authenticated_caller caller_;
    rank rank_ = rank::standard;
    completion_call call_;
    token_count prompt_;
    std::vector<prefix_key> prefix_keys_;
    time_point arrived_;
    time_point deadline_;
    stream_progress progress_;
    std::string delivered_;         ///< text delivered so far; a new attempt continues it
    std::set<engine_id> excluded_;  ///< engines that refused or failed this request
    completion_usage usage_;
    std::string finish_reason_;
    bool bytes_sent_ = false;  ///< an engine may have begun an attempt
    bool caller_gone_ = false;
};

/// @brief Finds the caller by its bearer key.
/// @throws request_error `unknown_key` (id 101) or `no_configuration` (id 100)
[[nodiscard]] authenticated_caller authenticate(const std::shared_ptr<const version_state>& version,
                                                const std::string& authorization);

/// @brief Checks a decoded call against the declarations and sets its time limit.
/// @throws request_error (ids 102 to 109)
[[nodiscard]] model_request make_model_request(entry_state& state, std::shared_ptr<const version_state> version,
                                               const authenticated_caller& caller, completion_call call,
                                               const std::string& rank_name, time_point arrived);

/// @brief Serves one completion call from its body to the end of its answer. One task per caller request.
[[nodiscard]] task<> serve_completion(entry_state& state, std::shared_ptr<caller_connection> connection,
                                      completion_kind kind);

/// @brief Sends @a problem to the caller, counts it and keeps it for `explain`.
void refuse(entry_state& state, caller_connection& connection, const request_id& request, const request_error& problem);

/// @brief The class of a prompt's length for metrics: `1k`, `10k`, `100k` or `1m` as upper bounds.
[[nodiscard]] std::string_view length_class(token_count prompt) noexcept;

}  // namespace cornelstall
