#include "standins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr milliseconds message_limit{20'000};

const auto case_start = steady::now();

sockaddr_in socket_address_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) { return std::tolower(character); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t index = 0; index < bytes; ++index)
    {
        text[bytes - 1 - index] = static_cast<char>((value >> (8U * index)) & 0xFFU);
    }
    return text;
}

std::string base64(const std::string& bytes)
{
    constexpr std::string_view digits{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part)
        {
            const bool present = index + part < bytes.size();
            group = (group << 8U) | (present ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit)
        {
            const bool padding = index + digit > bytes.size();
            text += padding ? '=' : digits[(group >> (18U - 6U * digit)) & 0x3FU];
        }
    }
    return text;
}

std::string query_value(const std::string& target, const std::string& name)
{
    std::stringstream parts(target.substr(std::min(target.size(), target.find('?') + 1)));
    for (std::string part; std::getline(parts, part, '&');)
    {
        if (part.starts_with(name + "="))
        {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

std::uint64_t query_number(const std::string& target, const std::string& name)
{
    const auto value = query_value(target, name);
    return value.empty() ? 0 : std::stoull(value);
}

std::string response(const std::string& status, const std::string& type, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
}

std::string free_address(const std::string& ip)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = socket_address_of(ip + ":0");
    socklen_t size = sizeof(address);
    if (::bind(probe, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        throw std::runtime_error("no free port on " + ip);
    }
    ::close(probe);
    return ip + ":" + std::to_string(ntohs(address.sin_port));
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

}  // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - case_start).count();
}

void sleep_ms(std::int64_t duration)
{
    std::this_thread::sleep_for(milliseconds{duration});
}

void record::line(const std::string& text)
{
    const std::scoped_lock lock(mutex_);
    file_ << now_ms() << " " << text << '\n' << std::flush;
}

connection::~connection()
{
    ::close(handle_);
}

bool connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string connection::receive(milliseconds limit, bool* timed_out) const
{
    pollfd waiting{handle_, POLLIN, 0};
    const int ready = ::poll(&waiting, 1, static_cast<int>(limit.count()));
    if (timed_out != nullptr)
    {
        *timed_out = ready == 0;
    }
    if (ready <= 0)
    {
        return {};
    }
    std::array<char, 65536> bytes{};
    const auto count = ::recv(handle_, bytes.data(), bytes.size(), 0);
    return count <= 0 ? std::string() : std::string(bytes.data(), static_cast<std::size_t>(count));
}

std::unique_ptr<connection> connect_to(const std::string& address)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto result = std::make_unique<connection>(handle);
    const auto target = socket_address_of(address);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0)
    {
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return result;
}

std::string message::field(const std::string& name) const
{
    const auto found = fields_.find(name);
    return found == fields_.end() ? std::string() : found->second;
}

std::string message::method() const
{
    return start_line_.substr(0, start_line_.find(' '));
}

std::string message::target() const
{
    const auto first = start_line_.find(' ');
    const auto second = start_line_.find(' ', first + 1);
    return first == std::string::npos ? std::string() : start_line_.substr(first + 1, second - first - 1);
}

int message::status() const
{
    const auto first = start_line_.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start_line_.c_str() + first);
}

std::optional<message> message_reader::read(milliseconds limit, bool without_body)
{
    const auto deadline = steady::now() + limit;
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now());
        const auto bytes = left.count() <= 0 ? std::string() : from_.receive(left);
        buffer_ += bytes;
        return !bytes.empty();
    };
    while (buffer_.find("\r\n\r\n") == std::string::npos)
    {
        if (!more())
        {
            return std::nullopt;
        }
    }
    message result;
    const auto head_end = buffer_.find("\r\n\r\n");
    std::stringstream head(buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    std::getline(head, result.start_line_);
    result.start_line_ = trimmed(result.start_line_);
    for (std::string line; std::getline(head, line);)
    {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            result.fields_[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
    }
    if (without_body)
    {
        return result;
    }
    const auto length_text = result.field("content-length");
    const std::size_t length = length_text.empty() ? 0 : std::stoull(length_text);
    while (buffer_.size() < length)
    {
        if (!more())
        {
            return std::nullopt;
        }
    }
    result.body_ = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return result;
}

std::string message_reader::rest(milliseconds limit)
{
    const auto deadline = steady::now() + limit;
    while (steady::now() < deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now());
        const auto bytes = from_.receive(std::max(milliseconds{1}, left));
        if (bytes.empty())
        {
            break;
        }
        buffer_ += bytes;
    }
    return buffer_;
}

listener::listener(std::string ip, std::function<void(connection&)> serve, int port)
    : ip_(std::move(ip)), serve_(std::move(serve))
{
    handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socket_address_of(ip_ + ":" + std::to_string(port));
    socklen_t size = sizeof(address);
    if (::bind(handle_, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(handle_, 512) != 0 ||
        ::getsockname(handle_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        throw std::runtime_error("cannot listen on " + ip_);
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, handle = handle_] {
        while (true)
        {
            const int accepted = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
            {
                return;
            }
            const int nodelay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
            std::thread([serve = serve_, accepted] {
                connection served(accepted);
                try
                {
                    serve(served);
                }
                catch (const std::exception& failure)
                {
                    std::cerr << "stand-in: " << failure.what() << '\n';
                }
            }).detach();
        }
    });
}

listener::~listener()
{
    close();
}

void listener::close()
{
    if (!thread_.joinable())
    {
        return;
    }
    ::shutdown(handle_, SHUT_RDWR);
    thread_.join();
    ::close(handle_);
}

std::string store::open_for(const std::string& vm)
{
    listeners_.push_back(std::make_unique<listener>("127.0.0.1", [this, vm](connection& from) { serve(vm, from); }));
    return listeners_.back()->address();
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
}

void store::serve(const std::string& vm, connection& from)
{
    message_reader reader(from);
    const auto call = reader.read(message_limit);
    if (!call || (before_call_ && !before_call_(vm, call->start_line_)))
    {
        return;
    }
    // The platform's store takes some milliseconds for an answer.
    sleep_ms(4);
    from.send(answer(*call));
}

std::string store::answer(const message& call)
{
    const auto target = call.target();
    const auto topic = query_value(target, "topic");
    if (target.starts_with("/log-append"))
    {
        std::string body = call.body_;
        while (body.size() >= length_bytes)
        {
            std::uint64_t length = 0;
            for (std::size_t index = 0; index < length_bytes; ++index)
            {
                length = (length << 8U) | static_cast<unsigned char>(body[index]);
            }
            append(topic, body.substr(length_bytes, length));
            body.erase(0, length_bytes + length);
        }
        return response("200 OK", "application/json", R"({"offset":0,"end":0})");
    }
    if (target.starts_with("/log-read"))
    {
        const milliseconds wait{static_cast<std::int64_t>(query_number(target, "wait_ms"))};
        return response("200 OK", "application/octet-stream", read(topic, query_number(target, "from"), wait));
    }
    if (target.starts_with("/log-newest"))
    {
        return response("200 OK", "application/json", newest(topic, query_value(target, "after")));
    }
    return response("404 Not Found", "application/json", "{}");
}

std::string store::read(const std::string& topic, std::uint64_t from, milliseconds wait)
{
    std::unique_lock lock(mutex_);
    appended_.wait_for(lock, wait, [&] { return topics_[topic].records_.size() > from; });
    const auto& records = topics_[topic].records_;
    std::string body = big_endian(records.size(), offset_bytes) + big_endian(0, offset_bytes);
    // The second number is the first offset that is kept; it lies before the records that are asked for.
    for (std::size_t index = from; index < records.size(); ++index)
    {
        body += big_endian(records[index].size(), length_bytes) + records[index];
    }
    return body;
}

std::string store::newest(const std::string& topic, const std::string& after)
{
    const std::scoped_lock lock(mutex_);
    const auto& state = topics_[topic];
    std::string items;
    std::for_each(state.newest_.upper_bound(after), state.newest_.end(), [&items](const auto& item) {
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + item.first + R"(","value":")" + base64(item.second.value_) + R"(","offset":)" +
                 std::to_string(item.second.offset_) + "}";
    });
    return R"({"items":[)" + items + R"(],"has_more":false,"end":)" + std::to_string(state.records_.size()) + "}";
}

void store::append(const std::string& topic, const std::string& content)
{
    const std::scoped_lock lock(mutex_);
    auto& state = topics_[topic];
    const std::size_t key_length = content.empty() ? 0 : static_cast<unsigned char>(content.front());
    const auto name = content.substr(1, key_length);
    const auto value = content.substr(1 + key_length);
    if (value.empty())
    {
        state.newest_.erase(name);
    }
    else
    {
        state.newest_[name] = {value, state.records_.size()};
    }
    state.records_.push_back(content);
    appended_.notify_all();
}

server::server(std::string id, record& into, milliseconds work)
    : id_(std::move(id)),
      record_(into),
      work_(work),
      born_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()),
      listener_(std::make_unique<listener>("127.0.0.1", [this](connection& from) { serve(from); }))
{}

std::string server::entry(const std::string& service, const std::string& state) const
{
    return R"({"service":")" + service + R"(","address":")" + address() +
           R"(","zone":"z-a","version":"1","slots":16,"state":")" + state + R"(","cold_remaining_ms":0,"sequence":)" +
           std::to_string(sequence_.load()) + R"(,"born":)" + std::to_string(born_) + "}";
}

void server::stop()
{
    listener_->close();
}

std::vector<std::pair<std::int64_t, std::string>> server::runs() const
{
    const std::scoped_lock lock(mutex_);
    return runs_;
}

void server::serve(connection& from)
{
    message_reader reader(from);
    const auto call = reader.read(message_limit);
    if (!call)
    {
        return;
    }
    const auto attempt = call->field("attempt-id");
    const auto expected = call->field("expect-instance");
    if (!expected.empty() && expected != id_)
    {
        from.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt +
                  "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    if (call->target() == "/health" || call->target() == "/report")
    {
        from.send("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        runs_.emplace_back(now_ms(), attempt);
    }
    record_.line("server " + id_ + " runs " + call->method() + " " + call->target() + " Attempt-Id " + attempt);
    std::this_thread::sleep_for(work_);
    const auto body = "answer to " + attempt;
    from.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: " + id_ +
              "." + attempt + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              (call->method() == "HEAD" ? "" : body));
}

vm_process::vm_process(std::string name, std::string ip, std::string command, std::string folder,
                       std::string store_address, record& into)
    : name_(std::move(name)),
      ip_(std::move(ip)),
      command_(std::move(command)),
      folder_(std::move(folder)),
      front_(free_address(ip_)),
      ready_(free_address(ip_)),
      load_port_(port_of(free_address(ip_))),
      metrics_port_(port_of(free_address(ip_))),
      store_address_(std::move(store_address)),
      record_(into)
{}

void vm_process::write_settings(bool first) const
{
    std::ofstream settings(folder_ + "/" + name_ + ".toml");
    settings << "node_name = \"" << name_ << "\"\nrole = \"gateway\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n"
             << "ip = \"" << ip_ << "\"\nzone = \"z-a\"\nregion = \"z\"\ninternal_ports = [" << load_port_ << ", "
             << metrics_port_ << "]\nbootstrap = " << (first ? "true" : "false") << "\nfault_counted = false\n"
             << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n[zones]\nz-a = \"z\"\n"
             << "[listen_addrs]\nfront = \"" << front_ << "\"\nready_addr = \"" << ready_
             << "\"\n[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4200\n"
             << "link_mbps = 1000.0\ndisk_mb = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
             << "stable_window_ms = 3000\nack_ms = 4000\ncatchup_s = 4\ndrain_ms = 2000\ngrace_period_s = 8\n"
             << "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
             << "strict_revoke = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n"
             << "retry_budget_extra = 100\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 0\nstall_ms = 1500\n"
             << "max_hold_ms = 20000\nfree_ms = 4000\nmax_idle_ms = 9000\n[platform]\naddress = \"" << store_address_
             << "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n";
}

vm_process::~vm_process()
{
    if (process_ > 0)
    {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void vm_process::start(bool first)
{
    write_settings(first);
    std::vector<std::string> words;
    std::stringstream split(command_);
    for (std::string word; split >> word;)
    {
        words.push_back(word);
    }
    std::vector<char*> arguments;
    std::ranges::transform(words, std::back_inserter(arguments), [](std::string& word) { return word.data(); });
    arguments.push_back(nullptr);
    const auto variable = "CORNELSTALL_NODE_FILE=" + folder_ + "/" + name_ + ".toml";
    const auto log = folder_ + "/" + name_ + ".log";
    process_ = ::fork();
    if (process_ == 0)
    {
        // A case that is ended by its time limit leaves no process behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::putenv(const_cast<char*>(variable.c_str()));
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
    record_.line("started " + name_);
}

void vm_process::signal(int number) const
{
    record_.line("signal " + std::to_string(number) + " to " + name_);
    ::kill(process_, number);
}

void vm_process::wait(milliseconds limit)
{
    const auto deadline = steady::now() + limit;
    int status = 0;
    while (steady::now() < deadline && ::waitpid(process_, &status, WNOHANG) == 0)
    {
        sleep_ms(10);
    }
    if (::waitpid(process_, &status, WNOHANG) == 0)
    {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, &status, 0);
        record_.line(name_ + " was killed after its grace period");
    }
    process_ = -1;
    record_.line(name_ + " has ended");
}

bool vm_process::is_ready() const
{
    const auto connected = connect_to(ready_);
    if (!connected || !connected->send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
    {
        return false;
    }
    message_reader reader(*connected);
    const auto got = reader.read(milliseconds{1000});
    return got && got->status() == 200;
}

std::int64_t vm_process::resident_bytes() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

bool vm_process::wait_ready(milliseconds limit) const
{
    const auto deadline = steady::now() + limit;
    while (steady::now() < deadline)
    {
        if (is_ready())
        {
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

std::string configuration(int version, const std::string& added)
{
    const auto route = [](const std::string& prefix, const std::string& kind, int attempts, int timeout_ms) {
        return R"({"name":")" + prefix + R"(","host":")" + host + R"(","path_prefix":"/)" + prefix +
               R"(/","service":"calls","kind":")" + kind + R"(","timeout_ms":)" + std::to_string(timeout_ms) +
               R"(,"target_latency_ms":100,"max_attempts":)" + std::to_string(attempts) + R"(,"priority":2,"public":)";
    };
    const auto public_route = added.empty() ? std::string() : route(added, "idempotent", 2, 1000) + "true},";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + public_route +
           route("status", "idempotent", 2, 1000) + "false}," + route("book", "non_idempotent", 1, 1000) + "false}," +
           route("report", "non_idempotent", 1, 10000) +
           R"(false}],"services":[{"name":"calls","health_path":"/health","max_connections":400}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"tenants":[{"name":"desk","api_keys":[")" +
           key + R"("]}]})";
}

bool is_disturbed()
{
    const char* const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void finish(int status, const std::string& summary)
{
    std::cout << summary << std::endl;
    std::_Exit(status);
}

std::string request_head(const std::string& method, const std::string& target, const std::string& id,
                         const std::string& more_fields)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer " + key + "\r\n" + more_fields + "\r\n";
}

std::optional<message> ask(const std::string& address, const std::string& method, const std::string& target,
                           const std::string& id, milliseconds limit)
{
    const auto connected = connect_to(address);
    if (!connected)
    {
        return std::nullopt;
    }
    connected->send(request_head(method, target, id, "Connection: close\r\n"));
    message_reader reader(*connected);
    return reader.read(limit, method == "HEAD");
}

}  // namespace review
