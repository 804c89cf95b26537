#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "cornelstall/gateway/connection/caller_socket.hpp"
#include "cornelstall/gateway/process/buffer_budget.hpp"
#include "cornelstall/gateway/process/gateway_settings.hpp"
#include "cornelstall/gateway/process/known_era.hpp"
#include "cornelstall/gateway/process/loop_lateness.hpp"
#include "cornelstall/gateway/process/server_list.hpp"
#include "cornelstall/gateway/process/wait_queue.hpp"
#include "cornelstall/gateway/request/protocol.hpp"
#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

struct arriving_body;
struct exchange;

/// @brief The state of one gateway process. Accessed from the Asio thread only.
struct gateway_state
{
    gateway_state(gateway_settings settings, gateway_protocol protocol, executor io_executor);

    gateway_settings settings_;
    gateway_protocol protocol_;
    executor executor_;
    metrics metrics_;
    std::mt19937_64 random_;

    std::shared_ptr<const routing_table> table_;      ///< active version; null until one has been read
    configuration_document table_document_;           ///< the document that the active table was decoded from
    transfer_budget document_transfers_;              ///< documents sent to other VMs
    std::chrono::nanoseconds table_confirmed_at_{0};  ///< boot time at which the table was last known to be the newest
    std::chrono::nanoseconds table_read_at_{0};       ///< boot time of this VM's last read of the configuration log
    /// Like `table_confirmed_at_`, from this VM's own reads only. Reports carry this one: two VMs that passed on each
    /// other's confirmations would keep them young, because each report is a little older than it says.
    std::chrono::nanoseconds table_own_confirmed_at_{0};
    /// Boot time at which the evacuation requests were last known to be those in force. They come from the same log as
    /// the routing table, but another VM's report may confirm the table without them.
    std::chrono::nanoseconds evacuations_confirmed_at_{0};
    known_era era_;                                 ///< of the platform's log
    std::optional<list_return> evacuation_return_;  ///< the return of the log after which requests are doubted
    bool server_list_reachable_ = false;            ///< the last read of the server list succeeded
    server_list server_list_;
    server_directory directory_;
    fleet_load fleet_load_;
    vm_peers peers_;
    shared_retry_budget retry_budget_;
    suspect_parts suspect_parts_;
    bool fleet_news_ = false;  ///< evidence about prompt parts or limits of servers has not been reported yet
    wait_queues wait_queues_;

    time_point started_at_ = std::chrono::steady_clock::now();
    incarnation incarnation_;
    std::uint32_t last_execution_number_ = 0;  ///< low half of the last execution id
    std::vector<reported_work> local_work_;    ///< work of this VM's requests, as sent in load reports
    /// Brings the next load report forward; set by the load exchange.
    std::function<void()> schedule_load_report_ = [] {
    };

    buffer_budget answer_buffers_;
    body_memory body_memory_;
    std::map<body_id, arriving_body*> arriving_bodies_;  ///< those that have not arrived completely
    caller_connections caller_connections_;              ///< a stop waits for those with a request under way
    std::map<connection_id, std::weak_ptr<caller_socket>> caller_sockets_;
    loop_lateness loop_lateness_;
    bool stopping_ = false;                         ///< SIGTERM or SIGINT was received
    time_point listens_until_ = time_point::max();  ///< when the listening socket was closed
    time_point end_requests_at_;  ///< while stopping: requests without a begun answer get their final answer then
    std::set<exchange*> open_exchanges_;  ///< requests under way
    std::size_t open_requests_ = 0;       ///< a stop waits for them to finish
    std::size_t open_leases_ = 0;         ///< unreleased reservations of engine memory; a stop waits for their release
    std::set<std::shared_ptr<caller_socket>> idle_callers_;
};

/// @brief Increments a count for its own lifetime.
class scoped_count
{
  public:
    explicit scoped_count(std::size_t& count) : count_(count)
    {
        ++count_;
    }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;
    scoped_count(scoped_count&&) = delete;
    scoped_count& operator=(scoped_count&&) = delete;
    ~scoped_count()
    {
        --count_;
    }

  private:
    std::size_t& count_;
};

/// @brief Time since the VM booted, including time in which it was suspended.
[[nodiscard]] std::chrono::nanoseconds boot_time();

/// @brief True when a configuration, the evacuation requests and the full server list have been read.
[[nodiscard]] bool has_initial_data(const gateway_state& state);

/// @brief True when this VM can serve callers: it has its initial data and is not stopping.
[[nodiscard]] bool is_ready(const gateway_state& state);

/// @brief True when the configuration was confirmed recently enough to accept API keys by it.
[[nodiscard]] bool can_accept_keys(const gateway_state& state);

/// @brief Creates the id of one execution of a request on a backend server; unique across VMs and process starts.
[[nodiscard]] execution_id make_execution_id(gateway_state& state);

/// @brief Makes @a table the active routing table if its version is higher than the active one.
/// @return true when @a table became active
bool activate_table(gateway_state& state, std::shared_ptr<const routing_table> table);

}  // namespace cornelstall
