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

/// @brief The pseudo-service whose declaration holds ranks and models.
inline const service_id fleet_service{"fleet"};

/// @brief Larger declarations are refused, in files and in records, so that every one fits into a snapshot record.
inline constexpr byte_count max_declaration_size{262'144};

/// @brief One service changed by a publication.
struct declaration_change
{
    service_id service_;
    log_offset base_;   ///< offset of the declaration that this one replaces; 0 for a new service
    std::string text_;  ///< TOML; empty withdraws the service
};

/// @brief A publication: all of its changes come into force together or not at all.
struct change_record
{
    publication_id publication_;
    std::vector<declaration_change> changes_;
};

/// @brief One part of the whole state at one offset. A large state needs several records.
struct snapshot_record
{
    std::string snapshot_id_;  ///< the same for all parts
    configuration_version version_;
    log_offset read_through_;  ///< last offset that the state takes into account
    std::uint32_t part_ = 0;
    std::uint32_t parts_ = 1;
    std::vector<declaration> declarations_;
};

/// @brief A record that no codec could read; it changes nothing.
struct malformed_record
{
    std::string problem_;
};

/// @brief What one record of the log stream `configuration` holds.
using configuration_record = std::variant<change_record, snapshot_record, malformed_record>;

/// @brief A record and its place in the stream.
struct configuration_entry
{
    log_offset offset_;
    configuration_record record_;
};

/// @brief The policy that one declaration's text stands for.
using parsed_policy = std::variant<fleet_policy, service_policy>;

/// @brief Reads one declaration; throws version_error when the text is not valid.
using parse_function = std::function<parsed_policy(const service_id& service, const std::string& text)>;

/// @brief The state that one reader of the stream has reached.
struct configuration_state
{
    std::shared_ptr<const configuration> active_config_ = std::make_shared<const configuration>();
    log_offset read_through_;  ///< every record up to here is taken into account
    /// Declarations in force whose text this release cannot read, with the problem. The policy read last stays in use.
    std::map<service_id, std::string> parse_errors_;
};

/// @brief What became of a change.
enum class change_status
{
    accepted,  ///< all bases matched; the configuration version is now the record's offset
    lost,      ///< a base did not match; the record is void as a whole
    replayed   ///< the offset was taken into account before
};

/// @brief A verdict, and for a lost change the newest declaration that it lost to.
struct change_result
{
    change_status status_ = change_status::replayed;
    configuration_version lost_to_;
};

/// @brief Applies the change at @a offset. Acceptance depends on the bases only, thus on the stream's prefix, so that
/// all VMs agree even when their releases differ in what they can read.
/// @note Parses the changed declarations only. Copies the policies of the others, linear in the number of services, if
/// anything else holds the configuration in force; otherwise the cost is that of the parsing.
change_result apply_change(configuration_state& state, log_offset offset, const change_record& record,
                           const parse_function& parse);

/// @brief A whole state as received from a peer or assembled from a snapshot.
struct full_state
{
    configuration_version version_;
    log_offset read_through_;  ///< at least the version; a peer that does not tell it passes the version
    std::vector<declaration> declarations_;
};

/// @brief Replaces @a state by @a offered if its version is higher. An offer of the version in force only advances
/// `read_through_`. A state never goes back.
/// @return true when the version in force changed
/// @note Declarations that are the same as in force are not parsed again.
bool replace_if_newer(configuration_state& state, const full_state& offered, const parse_function& parse);

/// @brief Members may append snapshots at the same time; more than this are not collected at once.
inline constexpr std::size_t max_open_snapshots = 4;

/// @brief Snapshots whose parts are not all read yet, by their id.
struct snapshot_assembly
{
    std::map<std::string, std::map<std::uint32_t, snapshot_record>> snapshots_;
};

/// @brief Adds @a record. A part that contradicts the parts of its snapshot discards them; a snapshot too many discards
/// the one that is furthest behind.
/// @return the whole state once all parts are there; older snapshots are then discarded
[[nodiscard]] std::optional<full_state> assemble(snapshot_assembly& assembly, const snapshot_record& record);

/// @brief Cuts @a state into snapshot records of about @a max_size each, but for a single declaration that is larger.
/// @note An encoding that escapes characters may need twice the size.
[[nodiscard]] std::vector<snapshot_record> make_snapshot(const configuration_state& state, const std::string& snapshot,
                                                         byte_count max_size);

/// @brief True when a reader of @a state loses nothing if it reads on in a stream whose oldest record is @a oldest.
[[nodiscard]] bool can_continue_reading(const configuration_state& state, log_offset oldest);

/// @brief Where a publication stands.
enum class publication_status
{
    accepted,
    lost,
    not_found
};

/// @brief The answer to a publisher.
struct publication_result
{
    publication_status status_ = publication_status::not_found;
    configuration_version version_;  ///< the version that it became, or the one that it lost to
};

/// @brief Applies @a entries in order and tells what became of @a wanted. A publication that was appended twice (after
/// a lost acknowledgement) is judged by its first record; the second one can never be accepted.
[[nodiscard]] publication_result find_publication(configuration_state& state,
                                                  std::span<const configuration_entry> entries,
                                                  const publication_id& wanted, const parse_function& parse);

/// @brief The changes that turn the declarations in force into @a wanted texts; unchanged ones are left out.
[[nodiscard]] std::vector<declaration_change> diff_declarations(const configuration& active_config,
                                                                const std::map<service_id, std::string>& wanted);

}  // namespace cornelstall
