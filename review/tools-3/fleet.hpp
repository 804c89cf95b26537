#pragma once

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_service.hpp"

namespace review
{

using json = nlohmann::json;

/// Writes lines with the time in milliseconds to the record of a case.
class recorder
{
  public:
    explicit recorder(const std::string& path) : file_(path) {}
    void write(const std::string& line);

  private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// Stand-in of the platform's store: keyed topics with one partition each.
class platform_store
{
  public:
    explicit platform_store(const std::string& ip);
    [[nodiscard]] const std::string& address() const
    {
        return service_.address();
    }

    /// Appends a record as the operator or a server. An empty @a value removes the key.
    /// @return the offset of the record, or nothing while the store is away
    std::optional<std::uint64_t> append(const std::string& topic, const std::string& key, const std::string& value);

    /// Keeps a copy of all topics.
    void copy();

    /// Makes the store unreachable, as callers see it.
    void go_away(http_service::absence kind);

    /// Makes the store reachable again, with the records of the last copy and the next era.
    void return_from_copy();

    /// Makes the store reachable again, with all its records.
    void come_back();

    [[nodiscard]] std::uint64_t end(const std::string& topic);

  private:
    struct record
    {
        std::string key_;
        std::string value_;
    };
    using topics = std::map<std::string, std::vector<record>>;

    response serve(const request& call);
    response serve_append(const request& call, const std::string& topic);
    response serve_read(const request& call, const std::string& topic, std::uint64_t from, int wait_ms);
    response serve_newest(const request& call, const std::string& topic);

    std::mutex mutex_;
    std::condition_variable changed_;
    topics topics_;
    topics copy_;
    std::uint64_t era_ = 1;
    bool away_ = false;
    http_service service_;
};

/// What a server saw of a request that it ran.
struct run_record
{
    std::string server_;
    std::string attempt_;
    std::int64_t arrived_ms_ = 0;
};

/// The runs of all servers.
class run_log
{
  public:
    void add(run_record run);
    [[nodiscard]] std::vector<run_record> all();

  private:
    std::mutex mutex_;
    std::vector<run_record> runs_;
};

/// A sound server of a plain service. It writes to the store at each heartbeat until it leaves.
class plain_server
{
  public:
    plain_server(platform_store& store, run_log& runs, std::string id, std::string zone, const std::string& ip);
    /// Starts the heartbeats, one every @a interval_ms.
    void start(int interval_ms);
    /// The entry is removed, and the server goes on serving.
    /// @return time of the acknowledgement on the clock of `now_ms`
    std::int64_t remove_entry();
    /// Stops serving: new connections are reset.
    void stop();
    [[nodiscard]] const std::string& id() const
    {
        return id_;
    }

  private:
    response serve(const request& call);

    platform_store& store_;
    run_log& runs_;
    std::string id_;
    std::string zone_;
    std::atomic<bool> listed_{true};
    std::atomic<int> sequence_{0};
    std::int64_t born_ms_ = 0;
    http_service service_;
};

/// One process of the system on a machine of its own.
struct machine
{
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string front_;
    std::string ready_;
    pid_t process_ = 0;
};

/// Bounds of a deployment that the settings file names, in milliseconds.
struct deployment_bounds
{
    int stable_window_ms_ = 3000;
    int drain_ms_ = 2000;
    int config_apply_ms_ = 2000;
    int revoke_ms_ = 5000;
    std::optional<int> evacuate_ms_;
};

/// Starts the process of each machine with the command of the deploy file.
void start_machines(std::vector<machine>& machines, const std::vector<int>& ports, const deployment_bounds& bounds,
                    const std::string& store_address, const std::string& folder);

/// Waits until each machine says that it is ready.
/// @return whether all were ready within @a limit_ms milliseconds
bool wait_until_ready(const std::vector<machine>& machines, std::int64_t limit_ms);

/// Sends SIGTERM to each process, and SIGKILL after the grace period.
/// @return whether all processes were still running before
bool stop_machines(std::vector<machine>& machines);

/// Settings of the requests that a client sends.
struct client_settings
{
    std::string key_;
    int interval_ms_ = 100;
    int time_limit_ms_ = 1000;
};

/// What a client saw of one request.
struct sent_request
{
    std::string attempt_;
    std::string key_;
    std::string machine_;
    std::int64_t sent_ms_ = 0;
    unsigned status_ = 0;
};

/// Sends idempotent requests to one machine, one after the other, each on a new connection.
class client
{
  public:
    client(machine to, client_settings settings);
    [[nodiscard]] std::vector<sent_request> sent();

  private:
    void send_requests();

    machine to_;
    client_settings settings_;
    std::mutex mutex_;
    std::vector<sent_request> sent_;
};

/// The configuration of the operator: one service, one route for idempotent requests, one tenant with @a keys.
std::string make_configuration(int version, const std::vector<std::string>& keys);

}  // namespace review
