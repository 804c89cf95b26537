#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>

#include "cornelstall/gateway/connection/caller_socket.hpp"
#include "cornelstall/gateway/process/gateway_settings.hpp"
#include "cornelstall/gateway/process/server_list.hpp"
#include "cornelstall/gateway/request/protocol.hpp"
#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief All state of one gateway process. Used from the Asio thread only.
struct gateway_state
{
    gateway_state(gateway_settings values, gateway_protocol spoken, executor where);

    gateway_settings settings_;
    gateway_protocol protocol_;
    executor executor_;
    metrics metrics_;
    std::mt19937_64 random_;

    std::shared_ptr<const routing_table> table_;      ///< null until the first configuration is known
    std::chrono::nanoseconds table_confirmed_at_{0};  ///< boot time at which the table was known to be the newest
    std::chrono::nanoseconds table_read_at_{0};       ///< boot time of this VM's own last read of the configuration
    bool server_list_reachable_ = false;              ///< the last read of the list of servers was answered
    server_list server_list_;
    server_directory directory_;
    fleet_load fleet_load_;
    vm_peers peers_;
    shared_retry_budget retry_budget_;

    time_point started_at_ = std::chrono::steady_clock::now();
    incarnation incarnation_;
    std::uint32_t next_key_ = 0;
    std::vector<reported_work> local_work_;
    std::function<void()> schedule_load_report_ = [] {
    };
    std::chrono::nanoseconds last_report_at_{0};  ///< boot time; a long gap means that this VM stood still
    std::chrono::nanoseconds ignore_updates_until_{
        0};  ///< boot time until which datagrams may be from before a standstill

    bool stopping_ = false;          ///< SIGTERM arrived
    std::size_t open_requests_ = 0;  ///< not finished yet; a stop waits for them
    std::size_t open_leases_ = 0;    ///< reservations of engine memory that are not released yet; a stop waits for them
    std::set<std::shared_ptr<caller_socket>> idle_callers_;
};

/// @brief Adds one to a count for as long as it lives.
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

/// @brief Time since the VM started, including time in which it was suspended.
[[nodiscard]] std::chrono::nanoseconds boot_time();

/// @brief True when this VM knows a configuration and the list of servers.
[[nodiscard]] bool has_initial_data(const gateway_state& state);

/// @brief True when this VM can serve callers.
[[nodiscard]] bool is_ready(const gateway_state& state);

/// @brief True while this VM's news of the configuration is fresh enough to accept keys.
[[nodiscard]] bool can_accept_keys(const gateway_state& state);

/// @brief A key for a request that this process sends; unique over all VMs.
[[nodiscard]] execution_id make_execution_id(gateway_state& state);

/// @brief Puts @a table in force unless it is older than the present one.
/// @return true when the version is new
bool activate_table(gateway_state& state, std::shared_ptr<const routing_table> table);

}  // namespace cornelstall
