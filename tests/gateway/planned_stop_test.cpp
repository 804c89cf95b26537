#include <atomic>
#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "free_port.hpp"
#include "gateway/gateway_fixture.hpp"

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

std::shared_ptr<const routing_table> one_route()
{
    route matched;
    matched.kind_ = request_kind::idempotent;
    matched.host_ = "h";
    matched.path_prefix_ = "/r/";
    matched.timeout_ = milliseconds{3000};
    matched.services_ = {{service_id{"s"}, 1.0}};
    auto table = std::make_shared<routing_table>();
    table->version_ = configuration_version{1};
    add_route(*table, matched);
    table->services_[service_id{"s"}] = service_description{service_id{"s"}, "/health", 100, std::nullopt};
    return table;
}

/// Starts a server in the gateway's own thread and lists it.
void add_server(gateway_state& state, std::vector<std::shared_ptr<fake_server>>& servers)
{
    auto server = std::make_shared<fake_server>(state.executor_,
                                                [](const auto&) { return plain_response("200 OK", "whole answer"); });
    spawn(state.executor_, "accept_connections", accept_connections(server));
    listed_server entry;
    entry.id_ = server_id{"server-0"};
    entry.service_ = service_id{"s"};
    entry.address_ = socket_address{server->address()};
    entry.slots_ = 1000;
    upsert_listed_server(state.directory_, entry, log_offset{1}, std::chrono::steady_clock::now());
    state.server_list_.listed_ = true;
    servers.push_back(server);
}

}  // namespace

TEST_CASE("a planned stop at 100 requests a second answers each request whose connection was accepted")
{
    gateway_settings settings;
    settings.name_ = "vm-1";
    settings.ip_ = "127.0.0.1";
    settings.listen_ = free_address();
    settings.readiness_listen_ = free_address();
    settings.load_port_ = parse_endpoint(free_address().get())->port();
    settings.metrics_port_ = parse_endpoint(free_address().get())->port();
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
