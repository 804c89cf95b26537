#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "cornelstall/decisions/version/configuration.hpp"

namespace cornelstall
{

/// @brief Reserved service id whose declaration contains the ranks and models of the fleet.
inline const service_id fleet_service{"fleet"};

/// @brief Upper limit on the size of a declaration, in files and in records, so that each fits into a snapshot record.
inline constexpr byte_count max_declaration_size{262'144};

/// @brief Change of one service in a publication.
struct declaration_change
{
    service_id service_;
    log_offset base_;   ///< `accepted_at_` of the declaration that this one replaces; 0 for a new service
    std::string text_;  ///< TOML; an empty text withdraws the service
};

/// @brief A publication. Its changes are applied atomically: either all of them or none.
struct change_record
{
    publication_id publication_;
    std::vector<declaration_change> changes_;
};

/// @brief A part of a snapshot of the full state. A large state is spread over several records.
struct snapshot_record
{
    std::string snapshot_id_;  ///< the same in all parts of the snapshot
    configuration_version version_;
    log_offset read_through_;  ///< offset of the last record that the state includes
    std::uint32_t part_ = 0;   ///< index of this part, from 0
    std::uint32_t parts_ = 1;  ///< number of parts
    std::vector<declaration> declarations_;
};

/// @brief A record that could not be decoded. It has no effect on the state.
struct malformed_record
{
    std::string problem_;
};

/// @brief A decoded record of the log stream `configuration`.
using configuration_record = std::variant<change_record, snapshot_record, malformed_record>;

/// @brief A record and its offset in the stream.
struct configuration_entry
{
    log_offset offset_;
    configuration_record record_;
};

/// @brief The parsed form of a declaration.
using parsed_policy = std::variant<fleet_policy, service_policy>;

/// @brief Parses the text of a declaration; throws `version_error` when it is invalid.
using parse_function = std::function<parsed_policy(const service_id& service, const std::string& text)>;

/// @brief The state that a reader of the stream has built up.
struct configuration_state
{
    std::shared_ptr<const configuration> active_config_ = std::make_shared<const configuration>();
    log_offset read_through_;  ///< offset of the last record that the state includes
    /// Active declarations whose text this release cannot parse, with the error. The last policy that could be parsed
    /// stays in use.
    std::map<service_id, std::string> parse_errors_;
};

/// @brief Result of applying a change record.
enum class change_status
{
    accepted,        ///< all bases matched; the record's offset is the new configuration version
    rejected,        ///< a base did not match; none of the changes is applied
    already_applied  ///< the state already includes this offset
};

/// @brief Status of a change record.
struct change_result
{
    change_status status_ = change_status::already_applied;
    configuration_version conflicting_version_;  ///< if rejected: that of the newest declaration it conflicts with
};

/// @brief Applies the change record at @a offset.
///
/// Whether it is accepted depends only on its bases and thus on the preceding records, not on whether the texts can be
/// parsed. So all VMs agree even if they run releases that can parse different declarations.
/// @note Parses only the changed declarations. If the active configuration is shared, it is copied, which is linear in
/// the number of services.
change_result apply_change(configuration_state& state, log_offset offset, const change_record& record,
                           const parse_function& parse);

/// @brief A full state as received from a peer or assembled from a snapshot.
struct full_state
{
    configuration_version version_;
    log_offset read_through_;  ///< at least the version; equal to it when a peer does not send this field
    std::vector<declaration> declarations_;
};

/// @brief Replaces @a state by @a offered if its version is higher. For an equal version only `read_through_` is
/// advanced, and a lower version is ignored, so that a state is never reverted.
/// @return true when the active version changed
/// @note Declarations that are already active are not parsed again.
bool replace_if_newer(configuration_state& state, const full_state& offered, const parse_function& parse);

/// @brief Upper limit on the snapshots assembled at the same time. Several members may append snapshots concurrently.
inline constexpr std::size_t max_incomplete_snapshots = 4;

/// @brief Incomplete snapshots by their id, each with its parts by index.
struct snapshot_assembly
{
    std::map<std::string, std::map<std::uint32_t, snapshot_record>> snapshots_;
};

/// @brief Adds a part of a snapshot.
///
/// A part that is inconsistent with the earlier parts of its snapshot replaces them. When a new snapshot would exceed
/// `max_incomplete_snapshots`, the one with the lowest `read_through_` is discarded.
/// @return the full state once all parts have been added; snapshots that are no newer are then discarded
[[nodiscard]] std::optional<full_state> assemble(snapshot_assembly& assembly, const snapshot_record& record);

/// @brief Divides @a state into snapshot records of at most about @a max_size each. A single larger declaration gets a
/// record of its own.
/// @note The encoded size can be twice as large when characters have to be escaped.
[[nodiscard]] std::vector<snapshot_record> make_snapshot(const configuration_state& state,
                                                         const std::string& snapshot_id, byte_count max_size);

/// @brief Returns true when no record is missing between @a state and @a oldest, the oldest record of the stream.
[[nodiscard]] bool can_continue_reading(const configuration_state& state, log_offset oldest);

/// @brief Status of a publication.
enum class publication_status
{
    accepted,
    rejected,
    not_found
};

/// @brief Result of searching for a publication.
struct publication_result
{
    publication_status status_ = publication_status::not_found;
    configuration_version version_;  ///< the version it became, or the one it conflicts with
};

/// @brief Applies @a entries in order until @a wanted is found, and returns its status. If a publication was appended
/// twice, after a lost acknowledgement, the first record decides: the second can never be accepted.
[[nodiscard]] publication_result find_publication(configuration_state& state,
                                                  std::span<const configuration_entry> entries,
                                                  const publication_id& wanted, const parse_function& parse);

/// @brief Returns the changes that turn the active declarations into the texts in @a wanted. Unchanged services are
/// left out.
[[nodiscard]] std::vector<declaration_change> diff_declarations(const configuration& active_config,
                                                                const std::map<service_id, std::string>& wanted);

}  // namespace cornelstall
