#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornelstall/decisions/version/validation.hpp"
#include "cornelstall/runtime/version/configuration_log.hpp"

namespace cornelstall
{

/// @brief How a publication ended.
enum class publish_status
{
    accepted,      ///< the log's order accepted it; members follow within seconds
    unchanged,     ///< the texts are accepted already
    lost,          ///< another publication changed a service first; nothing of this one will come into force
    invalid,       ///< it does not agree with the declarations in force; nothing was appended
    not_appended,  ///< the log took nothing before the deadline
    unknown        ///< an append may still take effect
};

/// @brief The answer to the publisher.
struct publish_result
{
    publish_status status_ = publish_status::not_appended;
    configuration_version version_;     ///< accepted or unchanged: the version; lost: the version that won
    std::vector<service_id> services_;  ///< those that the publication changes
    std::vector<policy_fault> faults_;
    std::string problem_;  ///< the last failure of the log
};

/// @brief What to publish, and for how long to try.
struct publication
{
    publication_id id_;  ///< unique for each publication; found again after a lost acknowledgement
    std::map<service_id, std::string> texts_;  ///< wanted text of each service; empty withdraws it
    milliseconds time_limit_{20'000};
    milliseconds backoff_{200};  ///< between attempts
};

/// @brief Publishes declarations on the bases in force. Never throws for a failure of the log.
[[nodiscard]] task<publish_result> publish(configuration_log log, parse_function parse, publication wanted);

/// @brief Reads the stream to its head.
/// @param replay must outlive the task
/// @return true once caught up; false after @a deadline, with the reason in @a problem
[[nodiscard]] task<bool> catch_up(configuration_log log, configuration_replay& replay, parse_function parse,
                                  time_point deadline, milliseconds backoff, std::string& problem);

}  // namespace cornelstall
