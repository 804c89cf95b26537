#pragma once

#include <map>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What a backend server says of itself.
enum class server_state
{
    ready,
    draining
};

/// @brief A backend server as the platform lists it.
struct listed_server
{
    server_id id_;
    service_id service_;
    socket_address address_;
    data_centre_id data_centre_;
    int slots_ = 1;
    server_state state_ = server_state::ready;
    std::uint64_t started_at_ms_ = 0;  ///< Unix millisecond of the start; tells a restart under the same id
    milliseconds cold_remaining_{0};
};

/// @brief A listed server with what this VM found out about it.
struct known_server
{
    listed_server listed_;
    log_offset listed_at_;        ///< offset of the record that the entry came from
    time_point cold_until_;       ///< the server works more slowly until then
    time_point avoid_until_;      ///< not chosen before, unless nothing else is left
    milliseconds avoid_step_{0};  ///< grows with failures in a row
    double slowdown_ = 1.0;       ///< measured time over predicted time; above 1 is slower than its profile
    double least_ratio_ = 0.0;    ///< smallest of the measured ratios since the pace was last set
    int ratios_ = 0;              ///< measured since the pace was last set
    int failures_in_a_row_ = 0;
};

/// @brief All backend servers that the platform lists.
struct server_directory
{
    std::map<server_id, known_server> servers_;
    std::map<server_id, log_offset> removed_;  ///< offsets of removals that a stale entry must not undo
};

/// @brief Takes over @a entry, read at @a at. A restart under the same id forgets what was found out before.
/// @return true when the server is new, was restarted or changed its state
bool upsert_listed_server(server_directory& directory, listed_server entry, log_offset at, time_point now);

/// @brief Removes the server named @a id unless a newer entry is known.
/// @return true when it was listed
bool remove_listed_server(server_directory& directory, const server_id& id, log_offset at);

/// @brief The server named @a id, or null when it is not listed.
[[nodiscard]] known_server* find_server(server_directory& directory, const server_id& id);

/// @brief Notes that a request failed on @a server in a way that says something about the server.
void record_failure(known_server& server, time_point now);

/// @brief Notes that @a server refused work because it is full.
void record_full(known_server& server, time_point now);

/// @brief Notes that a pass took @a ratio times as long as predicted. The pace follows the smallest of a few ratios,
/// since work of other VMs that is not known yet only makes passes longer.
void record_pass_ratio(known_server& server, double ratio);

/// @brief Notes an answer of @a server to a request.
void record_success(known_server& server);

/// @brief The ready servers of @a service.
[[nodiscard]] std::vector<known_server*> ready_servers(server_directory& directory, const service_id& service);

/// @brief True when a server of any service is ready.
[[nodiscard]] bool any_ready(const server_directory& directory);

}  // namespace cornelstall
