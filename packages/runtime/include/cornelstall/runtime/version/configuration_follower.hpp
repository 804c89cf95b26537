#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cornelstall/runtime/version/configuration_log.hpp"

namespace cornelstall
{

/// @brief Bounds of a follower.
struct follower_settings
{
    page_settings pages_;
    milliseconds least_backoff_{100};
    /// Bounded well below the 7 s in which a configuration is to be in force everywhere after an outage.
    milliseconds most_backoff_{2000};
    byte_count snapshot_part_{393'216};  ///< text in one record; escaping may double it, and a record holds 1 MiB
};

/// @brief Follows the stream for one process. Used from the Asio thread only.
struct configuration_follower
{
    configuration_log log_;
    parse_function parse_;
    /// Called on each new version, but not for those passed before the head of the stream is first reached.
    std::function<void(std::shared_ptr<const configuration>)> on_version_;
    /// False while other members follow the log for this one; absent means always true.
    std::function<bool()> is_elected_;
    follower_settings settings_;
    double spread_ = 0.0;          ///< 0 to 1, different for each process; spreads back-off and snapshots
    std::string snapshot_prefix_;  ///< unique for each process, such as its VM id

    configuration_replay replay_;
    configuration_version announced_;
    bool caught_up_ = false;  ///< the head was reached at least once
    bool stopping_ = false;   ///< ends the task after its current read
    std::uint64_t failures_ = 0;
    std::uint64_t snapshots_appended_ = 0;
    log_offset noted_snapshot_;
    std::optional<time_point> snapshot_due_;
};

/// @brief Reads the stream from its oldest record until `stopping_` is set. Log outages are survived with bounded
/// back-off; the configuration in force stays as it is meanwhile.
[[nodiscard]] task<> follow_configuration(std::shared_ptr<configuration_follower> follower);

/// @brief Adopts a peer's state if its version is higher, and announces it.
/// @return true when the version in force changed
bool offer_state(configuration_follower& follower, const full_state& offered);

}  // namespace cornelstall
