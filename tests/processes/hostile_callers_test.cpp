#include <poll.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>

#include "processes/process_fixture.hpp"
#include "processes/tls_client.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

/// The memory that docs/design.md names as the control budget of an entry process.
constexpr std::size_t max_memory_bytes = 256'000'000;
/// The process's own descriptors, one for each caller of the crowd, and room for the ordinary request.
constexpr std::size_t max_descriptors = 400;
constexpr std::size_t callers_per_kind = 8;
/// Twice the default of `limits.max_body_bytes`.
constexpr std::size_t body_bytes = 16'777'216;
constexpr std::size_t large_chunk = 65'536;
constexpr std::size_t small_chunk = 16;
/// Sending ends then; callers that the process has stopped reading from are still open.
constexpr std::chrono::seconds sending_limit{20};
constexpr int poll_interval_ms = 50;

/// One chunk of @a size bytes in chunked transfer encoding.
std::string chunk_of(std::size_t size)
{
    std::array<char, 20> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", size);
    return std::string(length.data()) + std::string(size, 'x') + "\r\n";
}

std::string repeated(const std::string& text, std::size_t at_least)
{
    std::string result;
    while (result.size() < at_least)
    {
        result += text;
    }
    return result;
}

/// What a hostile caller sends: a head, then a pattern again and again.
struct hostile_body
{
    std::string head_;
    std::string pattern_;
    std::size_t bytes_ = body_bytes;  ///< of the pattern, in all
    std::string end_;                 ///< empty when the caller stops short of the body's end
};

std::string head_of(const std::string& path, const std::string& key, const std::string& length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nAuthorization: Bearer " +
           key + "\r\n" + length + "\r\n\r\n";
}

std::vector<hostile_body> hostile_bodies()
{
    const std::string path = "/v1/completions";
    const std::string chunked = "Transfer-Encoding: chunked";
    const auto announced = "Content-Length: " + std::to_string(body_bytes);
    const auto large = chunk_of(large_chunk);
    const auto small = repeated(chunk_of(small_chunk), large_chunk);
    const auto plain = std::string(large_chunk, 'x');
    // Small chunks are framed in more bytes than they carry; these callers send as many bytes as the others.
    return {
        {head_of(path, driver_key, announced), plain, body_bytes - large_chunk, {}},
        {head_of(path, driver_key, chunked), large, body_bytes, "0\r\n\r\n"},
        {head_of(path, driver_key, chunked), large, body_bytes, {}},
        {head_of(path, driver_key, chunked), small, body_bytes, {}},
        {head_of(path, "key-that-nobody-declared", announced), plain, body_bytes - large_chunk, {}},
        {head_of("/no/such/path", driver_key, chunked), large, body_bytes, {}},
    };
}

/// A caller on a raw socket that never waits: it sends what the socket takes and keeps the connection open.
class hostile_caller
{
  public:
    hostile_caller(const socket_address& address, SSL_CTX* context, hostile_body body)
        : body_(std::move(body)), connection_(address, context), pending_(body_.head_)
    {
        REQUIRE(connection_.is_connected());
    }

    [[nodiscard]] int socket() const
    {
        return connection_.socket();
    }

    /// True when there is nothing more to send, or nobody to send it to.
    [[nodiscard]] bool finished() const
    {
        return closed_ || (ended_ && sent_ == pending_.size());
    }

    void send_some()
    {
        while (!finished())
        {
            if (sent_ == pending_.size())
            {
                prepare_next();
                continue;
            }
            const auto count = connection_.write_some(std::string_view(pending_).substr(sent_));
            closed_ = !count;
            if (count.value_or(0) == 0)
            {
                return;
            }
            sent_ += *count;
            total_ += *count;
        }
    }

    [[nodiscard]] std::size_t total() const
    {
        return total_;
    }

  private:
    void prepare_next()
    {
        sent_ = 0;
        if (prepared_ < body_.bytes_)
        {
            pending_ = body_.pattern_;
            prepared_ += pending_.size();
            return;
        }
        pending_ = body_.end_;
        ended_ = true;
    }

    hostile_body body_;
    raw_connection connection_;
    std::string pending_;
    std::size_t sent_ = 0;
    std::size_t prepared_ = 0;
    std::size_t total_ = 0;
    bool ended_ = false;
    bool closed_ = false;
};

using crowd = std::vector<std::unique_ptr<hostile_caller>>;

crowd make_crowd(const socket_address& address, SSL_CTX* context)
{
    crowd callers;
    for (const auto& body : hostile_bodies())
    {
        for (std::size_t number = 0; number < callers_per_kind; ++number)
        {
            callers.push_back(std::make_unique<hostile_caller>(address, context, body));
        }
    }
    return callers;
}

/// Sends until all bodies are sent or refused, or the limit has passed.
/// @return bytes that the process's sockets took
std::size_t send_all(crowd& callers)
{
    const auto end = std::chrono::steady_clock::now() + sending_limit;
    while (std::chrono::steady_clock::now() < end)
    {
        std::vector<pollfd> waiting;
        for (const auto& caller : callers)
        {
            if (!caller->finished())
            {
                waiting.push_back({caller->socket(), POLLOUT, 0});
            }
        }
        if (waiting.empty())
        {
            break;
        }
        (void)::poll(waiting.data(), waiting.size(), poll_interval_ms);
        std::ranges::for_each(callers, [](const auto& caller) { caller->send_some(); });
    }
    std::size_t total = 0;
    std::ranges::for_each(callers, [&total](const auto& caller) { total += caller->total(); });
    return total;
}

/// `VmHWM` of the process, in bytes; 0 when it has ended.
std::size_t peak_memory_of(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word)
    {
        std::size_t kibibytes = 0;
        if (word == "VmHWM:" && file >> kibibytes)
        {
            return kibibytes * 1024;
        }
    }
    return 0;
}

std::size_t descriptors_of(pid_t process)
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Sends one request and waits for its answer.
std::string exchange(const socket_address& address, SSL_CTX* context, const std::string& request)
{
    raw_connection connection(address, context);
    std::string answer;
    if (!connection.is_connected() || connection.write_some(request) != request.size())
    {
        return answer;
    }
    const auto end = std::chrono::steady_clock::now() + generous;
    std::optional<std::size_t> count{0};
    while (count && std::chrono::steady_clock::now() < end)
    {
        pollfd waiting{connection.socket(), POLLIN, 0};
        (void)::poll(&waiting, 1, poll_interval_ms);
        count = connection.read_some(answer);
    }
    return answer;
}

std::string ordinary_request()
{
    const auto body = question("an ordinary request", 4);
    return head_of("/v1/completions", driver_key,
                   "Connection: close\r\nContent-Length: " + std::to_string(body.size())) +
           body;
}

/// Sends the crowd's bodies and checks what the process needed for them.
void check_under_crowd(entry_process& entry, SSL_CTX* context)
{
    const auto memory_before = peak_memory_of(entry.process_.id());
    auto callers = make_crowd(entry.address_, context);
    const auto sent = send_all(callers);
    const auto peak = peak_memory_of(entry.process_.id());
    const auto descriptors = descriptors_of(entry.process_.id());
    const auto answer = exchange(entry.address_, context, ordinary_request());

    INFO("bytes sent: " << sent << ", peak memory before the crowd: " << memory_before);
    CHECK_FALSE(entry.process_.ended().has_value());
    CHECK(peak < max_memory_bytes);
    CHECK(peak > 0);
    CHECK(descriptors < max_descriptors);
    CHECK(answer.starts_with("HTTP/1.1 200 "));
}

}  // namespace

// Guards against a listener that keeps the bodies of callers that keep to no limit: the process's memory then grows
// with what is sent to it, until the platform kills it.
TEST_CASE("bodies far over the limit do not grow an entry process beyond its memory")
{
    fleet world;
    (void)world.add_engine("dc-1");
    auto entry = world.start_entry("dc-1");
    REQUIRE(world.publish_examples() == 0);
    REQUIRE(world.eventually([&] { return world.version(entry.address_) == 1 && world.knows(entry.address_, 1, 1); }));
    check_under_crowd(entry, nullptr);
}

TEST_CASE("bodies far over the limit do not grow an entry process beyond its memory over TLS")
{
    // OpenSSL writes with write(), which raises SIGPIPE on a closed connection.
    std::signal(SIGPIPE, SIG_IGN);  // NOLINT(cert-err33-c)
    fleet world;
    (void)world.add_engine("dc-1");
    const self_signed_files files;
    const auto context = trusting_context();
    auto entry = world.start_entry("dc-1", files.flags());
    REQUIRE(world.publish_examples() == 0);
    // An answer shows that the configuration and the engine are known.
    REQUIRE(world.eventually(
        [&] { return exchange(entry.address_, context.get(), ordinary_request()).starts_with("HTTP/1.1 200 "); }));
    check_under_crowd(entry, context.get());
}
