#pragma once

/// @file
/// Stand-ins of the platform's store, of backend servers and of consumers, and the launcher of the program under
/// review. All of them run in the process of one case; the program runs as separate processes.

#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// @brief Milliseconds since the start of the case.
[[nodiscard]] std::int64_t now_ms();

void sleep_ms(std::int64_t duration);

/// @brief The file `record.txt`. Each line begins with the time since the start of the case.
class record
{
  public:
    explicit record(const std::string& path) : file_(path) {}
    void line(const std::string& text);

  private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// @brief A connected TCP socket; closed by the destructor.
class connection
{
  public:
    explicit connection(int handle) : handle_(handle) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection();

    [[nodiscard]] int handle() const
    {
        return handle_;
    }
    bool send(const std::string& bytes) const;
    /// Reads what is there, waiting at most @a limit.
    /// @return an empty text at the end of the stream, after an error or after @a limit
    std::string receive(milliseconds limit, bool* timed_out = nullptr) const;

  private:
    int handle_;
};

/// @brief Connects to `127.x.y.z:port`; null when nothing listens there.
[[nodiscard]] std::unique_ptr<connection> connect_to(const std::string& address);

/// @brief A message of HTTP/1.1 with its body.
struct message
{
    std::string start_line_;
    std::map<std::string, std::string> fields_;  ///< names in lower case
    std::string body_;

    [[nodiscard]] std::string field(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// @brief Reads messages from a connection; keeps the bytes that follow a message.
class message_reader
{
  public:
    explicit message_reader(const connection& from) : from_(from) {}

    /// @param without_body true for the answer to HEAD
    std::optional<message> read(milliseconds limit, bool without_body = false);
    /// Bytes that were received after the last message, waiting @a limit for more.
    std::string rest(milliseconds limit);

  private:
    const connection& from_;
    std::string buffer_;
};

/// @brief Listens on a free port and runs a function for each connection in a thread of its own.
class listener
{
  public:
    listener(std::string ip, std::function<void(connection&)> serve, int port = 0);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;
    ~listener();

    [[nodiscard]] std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }
    /// Stops accepting connections; those that are open go on.
    void close();

  private:
    std::string ip_;
    int port_ = 0;
    int handle_ = -1;
    std::function<void(connection&)> serve_;
    std::thread thread_;
};

/// @brief The platform's store with its keyed topics. Each VM gets an address of its own.
class store
{
  public:
    /// @return the address for the VM @a vm
    std::string open_for(const std::string& vm);
    /// Appends as the operator or a server does. The return is the acknowledgement.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Called with the VM and the start line of each call, before it is served; false drops the call without an answer.
    std::function<bool(const std::string& vm, const std::string& start_line)> before_call_;

  private:
    struct entry
    {
        std::string value_;
        std::uint64_t offset_ = 0;
    };
    struct topic_state
    {
        std::vector<std::string> records_;
        std::map<std::string, entry> newest_;
    };

    void serve(const std::string& vm, connection& from);
    std::string answer(const message& call);
    std::string read(const std::string& topic, std::uint64_t from, milliseconds wait);
    std::string newest(const std::string& topic, const std::string& after);
    void append(const std::string& topic, const std::string& content);

    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, topic_state> topics_;
    std::vector<std::unique_ptr<listener>> listeners_;
};

/// @brief A backend server that runs one plain call on a connection.
class server
{
  public:
    server(std::string id, record& into, milliseconds work);

    [[nodiscard]] const std::string& id() const
    {
        return id_;
    }
    [[nodiscard]] std::string address() const
    {
        return listener_->address();
    }
    [[nodiscard]] std::string entry(const std::string& service, const std::string& state) const;
    /// Ends the process of the server: nothing listens any more.
    void stop();
    /// Requests of consumers that began to run: time and `Attempt-Id`.
    [[nodiscard]] std::vector<std::pair<std::int64_t, std::string>> runs() const;

    std::atomic<int> sequence_{0};

  private:
    void serve(connection& from);

    std::string id_;
    record& record_;
    milliseconds work_;
    std::int64_t born_;
    mutable std::mutex mutex_;
    std::vector<std::pair<std::int64_t, std::string>> runs_;
    std::unique_ptr<listener> listener_;
};

/// @brief The program under review as a process of one VM.
class vm_process
{
  public:
    /// @param command the command of the deploy file
    vm_process(std::string name, std::string ip, std::string command, std::string folder, std::string store_address,
               record& into);
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;
    vm_process(vm_process&&) = delete;
    vm_process& operator=(vm_process&&) = delete;
    ~vm_process();

    /// @param first whether the whole system starts for the first time
    void start(bool first = true);
    void signal(int number) const;
    /// Waits until the process has ended, at most @a limit; then kills it.
    void wait(milliseconds limit);
    [[nodiscard]] bool is_ready() const;
    /// Memory that the process has in use, in bytes.
    [[nodiscard]] std::int64_t resident_bytes() const;
    bool wait_ready(milliseconds limit) const;
    [[nodiscard]] const std::string& front() const
    {
        return front_;
    }
    [[nodiscard]] const std::string& name() const
    {
        return name_;
    }

  private:
    void write_settings(bool first) const;

    std::string name_;
    std::string ip_;
    std::string command_;
    std::string folder_;
    std::string front_;
    std::string ready_;
    std::string load_port_;
    std::string metrics_port_;
    std::string store_address_;
    record& record_;
    int process_ = -1;
};

/// @brief A configuration of one host and one service with an idempotent and two non-idempotent routes.
/// @param added prefix of a further, public route; none when it is empty
[[nodiscard]] std::string configuration(int version, const std::string& added = {});

inline constexpr const char* host = "desk.example";
inline constexpr const char* key = "key-of-the-driver-app";

/// @brief True unless the variable `TROUBLE` is 0.
[[nodiscard]] bool is_disturbed();

/// @brief Prints @a summary and ends the case without waiting for the threads of the stand-ins.
[[noreturn]] void finish(int status, const std::string& summary);

/// @brief A request of a consumer without its body.
[[nodiscard]] std::string request_head(const std::string& method, const std::string& target, const std::string& id,
                                       const std::string& more_fields);

/// @brief Sends one request on a connection of its own and waits for the answer.
[[nodiscard]] std::optional<message> ask(const std::string& address, const std::string& method,
                                         const std::string& target, const std::string& id, milliseconds limit);

}  // namespace review
