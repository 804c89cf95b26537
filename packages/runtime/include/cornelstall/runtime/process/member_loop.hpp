#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "cornelstall/decisions.hpp"
#include "cornelstall/runtime/connection/peer_channel.hpp"
#include "cornelstall/runtime/connection/peer_server.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief An address where a member may be found.
struct peer_seed
{
    socket_address address_;
    data_centre_id data_centre_;  ///< empty when it is not known
};

/// @brief Settings of the member loop.
struct member_settings
{
    member self_;
    std::vector<peer_seed> seeds_;  ///< from the settings; set_seeds replaces those of the VM list
    peer_credentials credentials_;
    exchange_timing pace_;
    delta_limits limits_;
    milliseconds exchange_limit_{500};  ///< a peer in the same region answers within a few milliseconds
    milliseconds probe_limit_{1200};    ///< leaves the prober its own exchange_limit_ and the way there and back
    milliseconds seed_interval_{1000};  ///< between attempts to find members that are not known
    milliseconds sweep_interval_{100};  ///< between checks for suspects that are dead
    milliseconds fetch_limit_{5000};    ///< for a whole configuration
    std::uint64_t random_seed_ = 0;     ///< of jitter and of the choice of probers
};

/// @brief Called on the Asio thread. Functions that are not set are skipped.
struct member_events
{
    std::function<void(const member&)> member_died_;
    std::function<void()> live_members_changed_;  ///< ownership may have moved
    /// Called with the configuration fetched from a peer whose version is higher. It sets `view_.version_` if it adopts
    /// the configuration.
    std::function<task<>(fetch_configuration_reply)> adopt_configuration_;
};

/// @brief What this VM knows about one peer beyond its place in the view.
struct known_peer
{
    peer_progress progress_;
    exchange_scope scope_ = exchange_scope::own_data_centre;
    std::shared_ptr<peer_channel> channel_;
    bool has_task_ = false;
    time_point heard_at_;
};

/// @brief State of the member loop; owned by the Asio thread and shared by its tasks.
struct member_loop
{
    explicit member_loop(executor where, metrics& counters) : where_(std::move(where)), counters_(&counters) {}

    executor where_;
    metrics* counters_;
    member_settings settings_;
    member_events events_;
    fleet_view view_;
    std::map<vm_id, known_peer> peers_;
    std::vector<peer_seed> seeds_;                                ///< of the VM list
    std::map<socket_address, data_centre_id> seed_data_centres_;  ///< learned from replies
    std::mt19937_64 random_;
    std::set<boost::asio::steady_timer*> pauses_;  ///< of sleeping tasks; cancelled by stop
    bool fetching_ = false;
    bool stopping_ = false;
};

using member_loop_ptr = std::shared_ptr<member_loop>;

/// @brief Starts the tasks: one for each peer as it becomes known, one for the seeds, one that ends suspicions.
[[nodiscard]] member_loop_ptr start_member_loop(const executor& where, member_settings settings, member_events events,
                                                metrics& counters);

/// @brief Adds the handlers of `Exchange` and `Probe`.
void add_member_handlers(peer_handlers& handlers, const member_loop_ptr& loop);

/// @brief Replaces the seeds that come from the VM list.
void set_seeds(member_loop& loop, std::vector<peer_seed> seeds);

/// @brief Says to all peers that this VM is leaving: it owns nothing any more, its running requests go on.
void leave(member_loop& loop, time_point now);

/// @brief Lets all tasks end. The executor must run until they have.
void stop(member_loop& loop);

/// @brief The channel to a member of the own data centre or a contact member of another one; nothing when its address
/// is not known.
[[nodiscard]] std::shared_ptr<peer_channel> channel_to(member_loop& loop, const vm_id& who);

}  // namespace cornelstall
