#include <atomic>
#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "gateway/stop_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

using boost::asio::ip::tcp;

constexpr milliseconds request_interval{10};
/// Time between connecting and sending the request, as of a caller on a slow link.
constexpr milliseconds send_delay{40};

/// What the callers of one run have seen.
struct observations
{
    std::atomic<int> answered_{0};
    std::atomic<int> cut_off_{0};
    std::atomic<int> not_accepted_{0};
};

/// Connects to @a gateway, sends one request and reads the answer to its end.
void make_request(const tcp::endpoint& gateway, observations& seen)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code failed;
    socket.connect(gateway, failed);
    if (failed)
    {
        ++seen.not_accepted_;
        return;
    }
    std::this_thread::sleep_for(send_delay);
    boost::asio::write(socket, boost::asio::buffer(request_text("GET")), failed);
    std::string answer;
    std::array<char, 4096> bytes{};
    while (!failed)
    {
        const auto size = socket.read_some(boost::asio::buffer(bytes), failed);
        answer.append(bytes.data(), size);
    }
    const bool whole = answer.find("200 OK") != std::string::npos && answer.ends_with("whole answer");
    ++(whole ? seen.answered_ : seen.cut_off_);
}

}  // namespace

TEST_CASE("a planned stop at 100 requests a second answers each request whose connection was accepted")
{
    const auto settings = loopback_settings();
    std::vector<std::shared_ptr<fake_server>> servers;
    std::atomic<bool> started{false};
    std::atomic<bool> ended{false};
    gateway_callbacks callbacks;
    callbacks.on_start_ = [&](gateway_state& state) {
        activate_table(state, one_route());
        add_server(state, servers);
        started = true;
    };
    callbacks.on_reload_ = [](gateway_state&) {
    };
    std::thread process([&] {
        (void)run_gateway(settings, test_protocol(), callbacks);
        ended = true;
    });
    while (!started)
    {
        std::this_thread::sleep_for(milliseconds{5});
    }
    const auto gateway = *parse_endpoint(settings.listen_.get());
    observations seen;
    std::vector<std::thread> callers;
    const auto begin = std::chrono::steady_clock::now();
    bool stop_sent = false;
    while (!ended && std::chrono::steady_clock::now() - begin < std::chrono::seconds{15})
    {
        if (!stop_sent && std::chrono::steady_clock::now() - begin > milliseconds{500})
        {
            std::raise(SIGTERM);
            stop_sent = true;
        }
        callers.emplace_back([&] { make_request(gateway, seen); });
        std::this_thread::sleep_for(request_interval);
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    process.join();
    CHECK(ended);
    CHECK(seen.cut_off_ == 0);
    CHECK(seen.answered_ > 200);
    CHECK(seen.not_accepted_ > 0);
}

TEST_CASE("a process that is stopped while a stream is open ends in order")
{
    // The tasks of open requests were destroyed after the state that they refer to: SIGSEGV instead of exit code 0.
    auto settings = loopback_settings();
    settings.stop_limit_ = milliseconds{3200};
    std::vector<std::shared_ptr<fake_server>> servers;
    std::atomic<bool> started{false};
    gateway_callbacks callbacks;
    callbacks.on_start_ = [&](gateway_state& state) {
        activate_table(state, one_route(request_kind::streaming, milliseconds{20'000}));
        add_server(state, servers, {stream_events(1, 2), true});
        started = true;
    };
    callbacks.on_reload_ = [](gateway_state&) {
    };
    std::atomic<int> exit_code{-1};
    std::thread process([&] { exit_code = run_gateway(settings, test_protocol(), callbacks); });
    while (!started)
    {
        std::this_thread::sleep_for(milliseconds{5});
    }
    const auto gateway = *parse_endpoint(settings.listen_.get());
    std::string begun;
    std::thread caller([&] { begun = receive_answer(gateway, "X-Left: 20000\r\n"); });
    std::this_thread::sleep_for(milliseconds{300});
    std::raise(SIGTERM);
    process.join();
    caller.join();
    CHECK(exit_code == 0);
    // The caller can tell that the stream is incomplete.
    CHECK(begun.find("data: e2") != std::string::npos);
    CHECK_FALSE(begun.ends_with(last_chunk));
}

TEST_CASE("a planned stop cuts off no request that came late in the grace period")
{
    // Requests were passed on until the end of the grace period, and cut off there without an answer, among them
    // requests that must not be repeated.
    auto settings = loopback_settings();
    settings.stop_limit_ = milliseconds{4000};
    std::vector<std::shared_ptr<fake_server>> servers;
    std::atomic<bool> started{false};
    gateway_callbacks callbacks;
    callbacks.on_start_ = [&](gateway_state& state) {
        activate_table(state, one_route(request_kind::non_idempotent, milliseconds{20'000}));
        add_server(state, servers, {"", true});
        started = true;
    };
    callbacks.on_reload_ = [](gateway_state&) {
    };
    std::thread process([&] { (void)run_gateway(settings, test_protocol(), callbacks); });
    while (!started)
    {
        std::this_thread::sleep_for(milliseconds{5});
    }
    const auto gateway = *parse_endpoint(settings.listen_.get());
    std::string open_at_the_stop;
    std::string cannot_end;
    std::string can_end;
    std::vector<std::thread> callers;
    callers.emplace_back([&] { open_at_the_stop = receive_answer(gateway, "X-Left: 20000\r\n"); });
    std::this_thread::sleep_for(milliseconds{300});
    std::raise(SIGTERM);
    std::this_thread::sleep_for(milliseconds{1000});
    const auto begin = std::chrono::steady_clock::now();
    callers.emplace_back([&] { can_end = receive_answer(gateway, "X-Left: 400\r\n"); });
    callers.emplace_back([&] {
        cannot_end = receive_answer(gateway, "X-Left: 10000\r\n");
        CHECK(std::chrono::steady_clock::now() - begin < milliseconds{1000});
    });
    for (auto& caller : callers)
    {
        caller.join();
    }
    process.join();
    CHECK(is_whole(open_at_the_stop));
    CHECK(open_at_the_stop.starts_with("HTTP/1.1 504"));
    CHECK(is_whole(cannot_end));
    CHECK(cannot_end.starts_with("HTTP/1.1 503"));
    CHECK(cannot_end.find("Retry-After") != std::string::npos);
    CHECK(can_end.starts_with("HTTP/1.1 504"));
    CHECK(servers.front()->received_requests_.size() == 2);
}
