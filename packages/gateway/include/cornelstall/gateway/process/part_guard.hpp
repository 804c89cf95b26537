#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Records that @a server ended before it began to answer a request with @a parts, sent at @a sent_at.
void record_server_crash(gateway_state& state, const listed_server& server, const std::vector<prompt_part_id>& parts,
                         time_point sent_at);

/// @brief Records that an answer to a request with @a parts has begun.
void record_answer_begun(gateway_state& state, const std::vector<prompt_part_id>& parts);

/// @brief Merges what the VM @a sender reports about prompt parts.
void apply_reported_parts(gateway_state& state, const vm_id& sender, const std::vector<reported_part>& reported);

/// @brief Lets a request with a blocked prompt part through if a trial is due at this VM.
[[nodiscard]] bool take_part_trial(gateway_state& state, const std::vector<prompt_part_id>& parts);

/// @brief Records that a request is refused for the blocked ones among @a parts.
/// @return the time until a request with them may be let through
[[nodiscard]] milliseconds refuse_blocked_parts(gateway_state& state, const std::vector<prompt_part_id>& parts);

/// @brief Drops evidence about prompt parts that is too old.
void drop_old_parts(gateway_state& state);

/// @brief One line for each suspected part, for operators.
[[nodiscard]] std::string describe_parts(const gateway_state& state);

/// @brief The ids of @a parts in hexadecimal for log lines, at most the first eight.
[[nodiscard]] std::string text_of(const std::vector<prompt_part_id>& parts);

}  // namespace cornelstall
