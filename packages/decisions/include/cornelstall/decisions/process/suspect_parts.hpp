#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @file
/// Prompt parts that crash the servers that begin to answer them. A crash ends all requests on the server, most of them
/// sound, so a part is judged by several crashes and by the answers that have begun on it. Evidence merges in any order
/// and any number of times, so VMs exchange it in datagrams that may be lost or repeated.

/// @brief A crash of a server during which a request with the part had no answer yet.
struct part_crash
{
    crash_id id_;
    time_point sent_at_;  ///< when the request was sent to the server
    time_point crashed_at_;
};

/// @brief What is known about one part, as exchanged between VMs.
struct part_evidence
{
    std::vector<part_crash> crashes_;     ///< that no answer refutes, in the order of time
    std::optional<time_point> begun_at_;  ///< when an answer to the part last began
    int trials_ = 0;                      ///< requests that were let through while the part was blocked
};

/// @brief Evidence about a part in a report to or from another VM.
struct reported_part
{
    prompt_part_id part_;
    part_evidence evidence_;
};

/// @brief One suspected part at this VM.
struct suspect_part
{
    part_evidence evidence_;
    bool blocked_ = false;
    bool ambiguous_ = false;    ///< another blocked part was in the same crashes
    time_point noted_at_;       ///< last crash, refusal or report
    time_point report_until_;   ///< reported to the other VMs until then
    time_point next_trial_at_;  ///< while blocked: when one request may be let through
};

/// @brief The suspected parts, and the parts on which answers of this VM have begun lately.
struct suspect_parts
{
    std::unordered_map<prompt_part_id, suspect_part> parts_;
    std::unordered_map<prompt_part_id, time_point> begun_;
};

/// @brief What a piece of evidence has changed.
struct part_changes
{
    std::vector<prompt_part_id> blocked_;  ///< parts that were not blocked before
    std::vector<prompt_part_id> cleared_;  ///< parts that were blocked before
    bool news_ = false;                    ///< the other VMs should learn of it now
};

/// @brief Records that a server crashed before it began to answer a request with @a parts.
[[nodiscard]] part_changes record_crash(suspect_parts& suspects, const std::vector<prompt_part_id>& parts,
                                        const part_crash& crash);

/// @brief Records that an answer to a request with @a parts has begun, which refutes earlier crashes.
[[nodiscard]] part_changes record_begun(suspect_parts& suspects, const std::vector<prompt_part_id>& parts,
                                        time_point now);

/// @brief Merges the evidence of another VM.
[[nodiscard]] part_changes merge_reported_parts(suspect_parts& suspects, const std::vector<reported_part>& reported,
                                                time_point now);

/// @brief The blocked ones among @a parts; a request that has one is not sent.
[[nodiscard]] std::vector<prompt_part_id> blocked_parts(const suspect_parts& suspects,
                                                        const std::vector<prompt_part_id>& parts);

/// @brief True when one of @a parts has been in two crashes in succession, so that a request whose server crashed is
/// not sent to another one.
[[nodiscard]] bool may_crash_again(const suspect_parts& suspects, const std::vector<prompt_part_id>& parts);

/// @brief Records that a request was refused for its blocked part @a part, which keeps the part blocked and reported.
void record_refusal(suspect_parts& suspects, prompt_part_id part, time_point now);

/// @brief Lets one request with the blocked part @a part through if a trial is due. The next one is due after twice the
/// time. The caller makes sure that one VM of the fleet tries.
[[nodiscard]] bool take_trial(suspect_parts& suspects, prompt_part_id part, time_point now);

/// @brief Time until a request with the blocked part @a part may be let through.
[[nodiscard]] milliseconds time_until_trial(const suspect_parts& suspects, prompt_part_id part, time_point now);

/// @brief The evidence to report to the other VMs, that on blocked parts and with most crashes first.
[[nodiscard]] std::vector<reported_part> parts_to_report(const suspect_parts& suspects, time_point now);

/// @brief Drops evidence that is too old. Blocked parts stay as long as requests with them come, and some minutes more.
/// @return blocked parts that were dropped
std::vector<prompt_part_id> drop_old_parts(suspect_parts& suspects, time_point now);

}  // namespace cornelstall
