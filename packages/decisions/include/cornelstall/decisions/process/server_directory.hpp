#pragma once

#include <map>
#include <vector>

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
    log_offset record_offset_;  ///< log offset of the record that the entry came from
    time_point warm_up_until_;  ///< the server is warming up and slower until then
    time_point avoid_until_;    ///< not chosen until then unless no other server is left
    milliseconds backoff_{0};   ///< current backoff; doubles with each consecutive failure
    double slowdown_ = 1.0;     ///< measured time divided by predicted time; above 1 when slower than its profile
    double min_ratio_ = 0.0;    ///< smallest ratio measured since `slowdown_` was last updated
    int ratio_count_ = 0;       ///< number of ratios measured since `slowdown_` was last updated
    int consecutive_failures_ = 0;
};

/// @brief All backend servers listed by the platform.
struct server_directory
{
    std::map<server_id, known_server> servers_;
    std::map<server_id, log_offset> removed_;  ///< log offsets of removals; older entries must not undo them
};

/// @brief Adds or updates @a entry, read at @a offset. A restart under the same id discards all observations.
/// @return true when the server is new, was restarted or changed its state
bool upsert_listed_server(server_directory& directory, listed_server entry, log_offset offset, time_point now);

/// @brief Removes the server @a id unless a newer entry is known.
/// @return true when the server was listed
bool remove_listed_server(server_directory& directory, const server_id& id, log_offset offset);

/// @brief The server @a id, or null when it is not listed.
[[nodiscard]] known_server* find_server(server_directory& directory, const server_id& id);

/// @brief Records a failed request whose cause may be @a server.
void record_failure(known_server& server, time_point now);

/// @brief Records that @a server rejected work because it is full.
void record_full(known_server& server, time_point now);

/// @brief Records that a pass took @a ratio times its predicted length. The slowdown is the smallest of several ratios,
/// because requests of other VMs that are not known yet only make passes longer.
void record_pass_ratio(known_server& server, double ratio);

/// @brief Records a successful response of @a server.
void record_success(known_server& server);

/// @brief The ready servers of @a service.
[[nodiscard]] std::vector<known_server*> ready_servers(server_directory& directory, const service_id& service);

/// @brief True when a server of any service is ready.
[[nodiscard]] bool any_ready(const server_directory& directory);

}  // namespace cornelstall
