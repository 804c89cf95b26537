#pragma once

#include <filesystem>
#include <random>

#include "child_process.hpp"
#include "connection/proxy.hpp"
#include "process/promises.hpp"

namespace cornelstall::soak
{

/// @brief Sizes of a soak.
struct soak_settings
{
    std::uint64_t seed_ = 1;
    std::chrono::seconds length_{20};  ///< of the time with faults
    std::size_t vms_ = 3;
    std::size_t servers_ = 4;  ///< of each service
    std::size_t callers_ = 16;
    std::filesystem::path programs_;   ///< folder of the build
    std::filesystem::path folder_;     ///< for logs, journals and settings files
    int events_ = 10;                  ///< of each generation
    milliseconds duration_{15};        ///< of a plain call and before each event
    milliseconds stream_target_{250};  ///< target of the first event of a stream
    milliseconds idle_limit_{15'000};  ///< of callers' connections
    bool planned_stops_ = false;       ///< planned work and slow servers only
    std::string added_tables_;         ///< TOML tables added to the settings file of each VM
    promise_bounds bounds_;
};

/// @brief One entry VM: a process of the product behind proxies for its callers and its store.
struct vm_process
{
    std::string name_;
    std::shared_ptr<proxy> front_;
    std::shared_ptr<proxy> store_;
    socket_address listen_;
    socket_address ready_;
    std::optional<testing::child_process> process_;
    int starts_ = 0;
    bool in_rotation_ = false;
    int misses_ = 0;
    bool stopping_ = false;  ///< SIGTERM was sent to the present process
};

/// @brief One backend server behind a proxy; a new process has a new id.
struct server_process
{
    std::string service_;
    std::string id_;
    std::shared_ptr<proxy> link_;
    std::optional<testing::child_process> process_;
};

/// @brief All processes of a soak, and what was seen of them.
struct deployment
{
    deployment(executor where, soak_settings settings);

    executor executor_;
    soak_settings settings_;
    std::mt19937_64 random_;
    observations seen_;
    std::optional<testing::child_process> store_;
    socket_address store_address_;
    std::vector<vm_process> vms_;
    std::vector<server_process> servers_;
    std::uint64_t version_ = 1;
    bool publishing_ = false;  ///< a version is being written
    std::vector<std::string> keys_{"key-a", "key-b", "key-c"};
    std::vector<std::string> added_routes_;  ///< path prefixes beside the four basic ones
    std::uint64_t next_request_ = 0;
    int next_server_ = 0;
    bool ending_ = false;  ///< callers send nothing more

    [[nodiscard]] std::size_t draw(std::size_t end);
};

/// @brief The path prefix of the route for @a kind.
[[nodiscard]] std::string path_of(call_kind kind);

/// @brief Starts store, servers and VMs, and waits until the VMs are ready.
[[nodiscard]] task<> start_deployment(deployment& all);

void start_vm(deployment& all, std::size_t index);

/// @brief Starts a server behind the link of @a index with a new id and lists it.
[[nodiscard]] task<> start_server_process(deployment& all, std::size_t index);

/// @brief Writes the entry of a server into the store; @a state is empty to remove it. Repeated until acknowledged.
[[nodiscard]] task<> list_server_process(deployment& all, std::size_t index, std::string state);

/// @brief Writes a configuration with the present keys and routes. Repeated until acknowledged.
[[nodiscard]] task<> publish_configuration(deployment& all);

/// @brief Asks each VM whether it is ready, as the balancer does, until the executor ends.
[[nodiscard]] task<> balance(deployment& all);

/// @brief Sets faults of a stand-in by its control address.
[[nodiscard]] task<> set_faults(deployment& all, socket_address address, std::string body);

/// @brief Adds what the servers have written into their journals since the last call.
void read_journals(deployment& all);

/// @brief The servers that still hold reserved memory.
[[nodiscard]] task<std::vector<finding>> check_memory_is_free(deployment& all);

/// @brief Notes a change that the store has acknowledged now.
void note_change(deployment& all, acknowledged_change::kind kind, const std::string& name);

/// @brief Notes a disruption until the returned index is ended.
[[nodiscard]] std::size_t begin_disruption(deployment& all, disrupted_part part, std::optional<std::size_t> vm);
void end_disruption(deployment& all, std::size_t begun);

}  // namespace cornelstall::soak
