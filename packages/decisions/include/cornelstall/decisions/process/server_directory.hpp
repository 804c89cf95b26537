#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cornelstall/decisions/process/evacuations.hpp"
#include "cornelstall/decisions/process/server_limits.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief The state that a backend server reports about itself.
enum class server_state
{
    ready,
    draining
};

/// @brief A backend server as listed by the platform.
struct listed_server
{
    server_id id_;
    service_id service_;
    socket_address address_;
    data_centre_id data_centre_;
    int slots_ = 1;
    server_state state_ = server_state::ready;
    std::uint64_t started_at_ms_ = 0;  ///< Unix time of the process start; tells restarts under the same id apart
    milliseconds cold_remaining_{0};   ///< remaining warm-up time at the time of the record
};

/// @brief A listed server and what this VM has observed about it.
struct known_server
{
    listed_server listed_;
    log_position record_position_;  ///< of the record that the entry came from
    time_point warm_up_until_;      ///< the server is warming up and slower until then
    time_point avoid_until_;        ///< not chosen until then unless no other server is left
    milliseconds backoff_{0};       ///< current backoff; doubles with each consecutive failure
    double slowdown_ = 1.0;         ///< measured time divided by predicted time; above 1 when slower than its profile
    double min_ratio_ = 0.0;        ///< smallest ratio measured since `slowdown_` was last updated
    int ratio_count_ = 0;           ///< number of ratios measured since `slowdown_` was last updated
    int consecutive_failures_ = 0;
};

/// @brief What a server has said about itself in its answers. Holds for one lifetime of the server: neither its list
/// entry nor its removal from the list undoes it.
struct server_notice
{
    std::uint64_t started_at_ms_ = 0;  ///< lifetime of the server that the notice is about
    socket_address address_;
    bool leaving_ = false;     ///< the server is shutting down and takes no new work
    bool own_ = false;         ///< this VM received the answer itself; other notices come from load reports
    time_point noted_at_;      ///< when the server said that it leaves
    time_point paused_until_;  ///< the server takes no work from this VM until then
};

/// @brief The removal of a server from the list.
struct removed_server
{
    log_position position_;
    std::uint64_t started_at_ms_ = 0;  ///< lifetime that was listed last; 0 when this VM never knew one
};

/// @brief All backend servers listed by the platform.
struct server_directory
{
    std::map<server_id, known_server> servers_;
    std::map<server_id, removed_server> removed_;  ///< older entries must not undo these
    std::map<server_id, server_notice> notices_;
    server_limits limits_;
    evacuations evacuations_;
};

/// @brief A server that this VM or another one knows to be leaving.
struct leaving_server
{
    server_id id_;
    std::uint64_t started_at_ms_ = 0;  ///< lifetime of the server that is leaving
    milliseconds age_{0};              ///< time since the server said so
};

/// @brief True when nothing as new as an entry at @a position is known of the server @a id.
[[nodiscard]] bool is_newer_entry(const server_directory& directory, const server_id& id, log_position position);

/// @brief Adds or updates @a entry, read at @a position. A restart under the same id discards all observations.
/// @return true when the server is new, was restarted or changed its state
bool upsert_listed_server(server_directory& directory, listed_server entry, log_position position, time_point now);

/// @brief True when @a entry says less than is known of the server: that a lifetime is listed which was removed or
/// replaced, or that a draining server is ready. Such an entry may be one that a log has kept in an older copy.
[[nodiscard]] bool may_be_outdated(const server_directory& directory, const listed_server& entry);

/// @brief Removes the server @a id unless a newer entry is known.
/// @return true when the server was listed
bool remove_listed_server(server_directory& directory, const server_id& id, log_position position);

/// @brief The server @a id, or null when it is not listed.
[[nodiscard]] known_server* find_server(server_directory& directory, const server_id& id);

/// @brief Records that @a server announced in an answer to this VM that it is leaving.
/// @return true when this was not known before
bool record_leaving(server_directory& directory, const listed_server& server, time_point now);

/// @brief Records that another VM reported @a server as leaving. Ignored when another lifetime of it is listed.
/// @return true when this was not known before
bool record_reported_leaving(server_directory& directory, const leaving_server& server, time_point now);

/// @brief Records that @a server refused work and wants none from this VM for @a duration.
void record_pause(server_directory& directory, const listed_server& server, milliseconds duration, time_point now);

/// @brief True when the lifetime @a server has announced that it is leaving, also after its entry was removed.
[[nodiscard]] bool is_leaving(const server_directory& directory, const listed_server& server);

/// @brief The servers of which this VM learned from their own answers, within the last @a limit, that they are leaving.
[[nodiscard]] std::vector<leaving_server> recently_leaving(const server_directory& directory, milliseconds limit,
                                                           time_point now);

/// @brief True when @a server is listed as ready, has not announced that it is leaving and has not asked for a pause.
[[nodiscard]] bool accepts_work(const server_directory& directory, const known_server& server, time_point now);

/// @brief True when the server @a id is listed in the lifetime @a started_at_ms and accepts work.
[[nodiscard]] bool accepts_work(const server_directory& directory, const server_id& id, std::uint64_t started_at_ms,
                                time_point now);

/// @brief Time until the first server of @a service that asked for a pause and is not among @a tried accepts work
/// again.
/// @return nothing when no such server has asked for one
[[nodiscard]] std::optional<milliseconds> time_until_pause_ends(const server_directory& directory,
                                                                const service_id& service,
                                                                const std::vector<server_id>& tried, time_point now);

/// @brief True when @a server names a limit for the requests of all VMs together.
[[nodiscard]] bool has_limit(const server_directory& directory, const known_server& server);

/// @brief True when the limit that @a server names, if any, lets this VM send it a request.
[[nodiscard]] bool is_within_limit(const server_directory& directory, const known_server& server, time_point now);

/// @brief Takes one request from this VM's share in the limit of the server @a id.
/// @return false when the limit does not let this VM send now; true when the server has no limit
[[nodiscard]] bool take_from_limit(server_directory& directory, const server_id& id, time_point now);

/// @brief Time until the limit of a server of @a service lets this VM send it a request. Servers in @a tried do not
/// count.
/// @return nothing when this VM has no share in the limit of any server that accepts work
[[nodiscard]] std::optional<milliseconds> time_until_within_limit(const server_directory& directory,
                                                                  const service_id& service,
                                                                  const std::vector<server_id>& tried, time_point now);

/// @brief Records a failed request whose cause may be @a server.
void record_failure(known_server& server, time_point now);

/// @brief Records that @a server rejected work because it is full.
void record_full(known_server& server, time_point now);

/// @brief Records that a pass took @a ratio times its predicted length. The slowdown is the smallest of several ratios,
/// because requests of other VMs that are not known yet only make passes longer.
void record_pass_ratio(known_server& server, double ratio);

/// @brief Records a successful response of @a server.
void record_success(known_server& server);

/// @brief The servers of @a service that accept work at @a now.
[[nodiscard]] std::vector<known_server*> ready_servers(server_directory& directory, const service_id& service,
                                                       time_point now);

/// @brief The servers of a service by whether a request may be sent to them.
struct service_servers
{
    std::size_t accepting_ = 0;  ///< take work now
    std::size_t paused_ = 0;     ///< take work after a pause
    std::size_t evacuated_ = 0;  ///< would take work, now or after a pause, if their data centre were not evacuated
};

/// @brief Counts the servers of @a service that are ready and not leaving.
[[nodiscard]] service_servers count_servers(const server_directory& directory, const service_id& service,
                                            time_point now);

/// @brief True when a server of any service is ready.
[[nodiscard]] bool any_ready(const server_directory& directory);

}  // namespace cornelstall
