#include <algorithm>
#include <array>

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "gateway/placed_requests.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

/// Later than the start times of all servers of the fixture, which are unknown.
constexpr std::uint64_t first_start_ms = 1000;
/// Longer than a test waits for the release of memory.
constexpr milliseconds long_timeout{60'000};

route long_route(request_kind kind = request_kind::non_idempotent)
{
    route matched;
    matched.kind_ = kind;
    matched.max_attempts_ = 2;
    matched.timeout_ = long_timeout;
    matched.latency_target_ = milliseconds{1200};
    return matched;
}

/// A request whose prompt needs 1.5 times the memory of one engine.
std::string long_request(const std::string& tokens = "150000")
{
    return request_text("POST", "X-Prompt: " + tokens + "\r\n", "prompt");
}

bool is_order(const fake_server::request& message, const std::string& order)
{
    return message["X-Order"] == order;
}

int order_count(const fake_server& server, const std::string& order)
{
    return static_cast<int>(std::ranges::count_if(server.received_requests_,
                                                  [&order](const auto& message) { return is_order(message, order); }));
}

int order_count(const gateway_fixture& gateway, const std::string& order)
{
    int found = 0;
    std::ranges::for_each(gateway.servers_, [&](const auto& server) { found += order_count(*server, order); });
    return found;
}

/// Applies a record of the server list.
void change_entry(gateway_fixture& gateway, const listed_server& entry, bool removed)
{
    server_list_change change;
    change.at_ = gateway.state_.server_list_.next_;
    change.server_ = entry;
    change.removed_ = removed;
    apply_change(gateway.state_, change);
    gateway.state_.server_list_.next_ = change.at_.next();
}

void set_start_times(gateway_fixture& gateway)
{
    gateway.state_.server_list_.next_ = log_offset{gateway.servers_.size()};
    const auto entries = gateway.state_.directory_.servers_;
    std::ranges::for_each(entries, [&gateway](const auto& entry) {
        auto listed = entry.second.listed_;
        listed.started_at_ms_ = first_start_ms;
        change_entry(gateway, listed, false);
    });
}

listed_server entry_of(const gateway_fixture& gateway, const fake_server& server)
{
    const auto address = server.address();
    const auto& servers = gateway.state_.directory_.servers_;
    const auto found = std::ranges::find_if(
        servers, [&address](const auto& entry) { return entry.second.listed_.address_.get() == address; });
    REQUIRE(found != servers.end());
    return found->second.listed_;
}

/// A caller that stays connected, and what it has received.
struct waiting_caller
{
    explicit waiting_caller(gateway_fixture& gateway, const std::string& request) : socket_(gateway.io_)
    {
        socket_.connect(gateway.acceptor_.local_endpoint());
        boost::asio::write(socket_, boost::asio::buffer(request));
        socket_.non_blocking(true);
    }

    /// True when all that the caller is sent has arrived and the connection has been closed.
    bool has_answer()
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code failed;
        while (!failed)
        {
            received_.append(bytes.data(), socket_.read_some(boost::asio::buffer(bytes), failed));
        }
        return failed != boost::asio::error::would_block;
    }

    boost::asio::ip::tcp::socket socket_;
    std::string received_;
};

/// Three engines, a joint prefill on two of them, and the caller that waits for it.
struct joint_prefill_fixture
{
    /// @param memory_use what the engines say about the use of the memory that they were last asked to reserve; empty
    /// when they say nothing
    explicit joint_prefill_fixture(const std::function<scripted_response()>& answer, const std::string& memory_use = {})
    {
        gateway_.state_.settings_.max_unused_memory_ = milliseconds{2400};
        gateway_.activate_route(long_route(), small_engine());
        for (int index = 0; index < 3; ++index)
        {
            auto reserved = std::make_shared<std::string>();
            gateway_.add_server([answer, memory_use, reserved](const auto& message) {
                if (is_order(message, "reserve"))
                {
                    *reserved = std::string(message["X-Reservation"]);
                }
                const bool is_query = message.method() == boost::beast::http::verb::get;
                return message.target() == "/r/x"
                           ? answer()
                           : plain_response("200 OK", is_query ? memory_use + " " + *reserved : "");
            });
        }
        set_start_times(gateway_);
    }

    /// Requests of the caller that the engines have received.
    int prompt_count()
    {
        return count_requests([](const auto& message) { return message.target() == "/r/x"; });
    }

    /// Questions about the use of memory that the engines have received.
    int query_count()
    {
        return count_requests([](const auto& message) { return message.method() == boost::beast::http::verb::get; });
    }

    int count_requests(const std::function<bool(const fake_server::request&)>& is_counted)
    {
        int found = 0;
        std::ranges::for_each(gateway_.servers_, [&](const auto& server) {
            found += static_cast<int>(std::ranges::count_if(server->received_requests_, is_counted));
        });
        return found;
    }

    /// Sends the request, and waits until the leading engine has it.
    void start()
    {
        caller_.emplace(gateway_, long_request());
        REQUIRE(gateway_.run_until([this] { return leading() != nullptr; }));
        REQUIRE(gateway_.state_.open_leases_ == 1);
    }

    std::shared_ptr<fake_server> leading()
    {
        const auto found = std::ranges::find_if(gateway_.servers_, [](const auto& server) {
            return std::ranges::any_of(server->received_requests_,
                                       [](const auto& message) { return message.target() == "/r/x"; });
        });
        return found == gateway_.servers_.end() ? nullptr : *found;
    }

    listed_server leading_entry()
    {
        return entry_of(gateway_, *leading());
    }

    /// Lets the leading engine answer no further connection, not even by a refusal, as one does whose packets are lost.
    void darken_leading()
    {
        auto& acceptor = leading()->acceptor_;
        const auto endpoint = acceptor.local_endpoint();
        boost::system::error_code ignored;
        acceptor.cancel(ignored);
        gateway_.run_until([] { return true; });
        gateway_.io_.poll();
        REQUIRE(::listen(acceptor.native_handle(), 0) == 0);
        // Connections that nobody accepts fill the queue; the kernel then drops the packets of further ones.
        for (int count = 0; count < 3; ++count)
        {
            fillers_.emplace_back(gateway_.io_, endpoint.protocol());
            fillers_.back().native_non_blocking(true);
            (void)::connect(fillers_.back().native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size()));
        }
    }

    /// Runs the tasks until @a condition holds. The server list is read all the time.
    bool run_until(const std::function<bool()>& condition)
    {
        return gateway_.run_until([&] {
            gateway_.state_.server_list_.confirmed_at_ = boot_time();
            return condition();
        });
    }

    /// True when the memory is released while the caller still waits, and the caller is told that the request may have
    /// run.
    bool ends_without_leading()
    {
        return run_until([this] { return gateway_.state_.open_leases_ == 0 && caller_->has_answer(); }) &&
               order_count(gateway_, "release") == 1 && caller_->received_.starts_with("HTTP/1.1 502");
    }

    gateway_fixture gateway_;
    std::optional<waiting_caller> caller_;
    std::vector<boost::asio::ip::tcp::socket> fillers_;
};

scripted_response silent_response()
{
    return {"", true};
}

/// Answers after a silence that exceeds the forecast, and the time limits of all probes for a server that is gone.
scripted_response late_response()
{
    scripted_response response{""};
    response.later_ = plain_response("200 OK", "answer").bytes_;
    response.silence_ = milliseconds{7000};
    return response;
}

}  // namespace

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine was restarted under its id")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    auto entry = joint.leading_entry();
    entry.started_at_ms_ = first_start_ms + 1;
    change_entry(joint.gateway_, entry, false);
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although another server has its leading engine's address")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    auto entry = joint.leading_entry();
    entry.id_ = server_id{"successor"};
    entry.started_at_ms_ = first_start_ms + 1;
    change_entry(joint.gateway_, entry, false);
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine has left the list and ended")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    change_entry(joint.gateway_, joint.leading_entry(), true);
    joint.leading()->acceptor_.close();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine has left the list and is dark")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    change_entry(joint.gateway_, joint.leading_entry(), true);
    joint.darken_leading();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine is dark past its forecast")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    joint.darken_leading();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although its leading engine refuses connections")
{
    joint_prefill_fixture joint(silent_response);
    joint.start();
    joint.leading()->acceptor_.close();
    CHECK(joint.ends_without_leading());
}

TEST_CASE("the memory of a joint prefill stays reserved although the leading engine reset the connection")
{
    joint_prefill_fixture joint([] {
        auto response = scripted_response{""};
        response.reset_ = true;
        return response;
    });
    joint.start();
    CHECK(joint.ends_without_leading());
}

// Guards against a hanging engine for which the memory of others is renewed until the caller's time limit.
TEST_CASE("the memory of a joint prefill stays reserved although its leading engine hangs and never uses it")
{
    joint_prefill_fixture joint(silent_response, "unused");
    joint.start();
    CHECK(joint.ends_without_leading());
    CHECK(joint.prompt_count() == 1);
}

TEST_CASE("a prompt is not sent to other engines although its leading engine hangs and it may be repeated")
{
    int sends = 0;
    joint_prefill_fixture joint(
        [&sends] { return ++sends == 1 ? silent_response() : scripted_response{stream_events(1, 2) + last_chunk}; },
        "unused");
    auto matched = long_route(request_kind::streaming);
    matched.resumable_ = true;
    joint.gateway_.activate_route(matched, small_engine());
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.ends_with(stream_events(1, 2, false) + last_chunk));
    CHECK(joint.prompt_count() == 2);
    CHECK(joint.run_until([&joint] { return joint.gateway_.state_.open_leases_ == 0; }));
    CHECK(order_count(joint.gateway_, "release") == 2);
}

TEST_CASE("a send is ended because its leading engine is silent although it uses the memory of others")
{
    joint_prefill_fixture joint(late_response, "used");
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
    CHECK(joint.query_count() == 1);
}

TEST_CASE("memory stays reserved for a hanging engine after the caller has gone")
{
    joint_prefill_fixture joint(silent_response, "unused");
    joint.start();
    joint.caller_->socket_.close();
    CHECK(joint.run_until([&joint] { return joint.gateway_.state_.open_leases_ == 0; }));
    CHECK(joint.query_count() == 0);
    CHECK(order_count(joint.gateway_, "release") == 1);
}

TEST_CASE("memory stays reserved for a hanging engine after the requests were ended for a stop")
{
    joint_prefill_fixture joint(silent_response, "unused");
    joint.start();
    end_open_requests(joint.gateway_.state_);
    CHECK(joint.run_until([&joint] { return joint.gateway_.state_.open_leases_ == 0 && joint.caller_->has_answer(); }));
    CHECK(joint.query_count() == 0);
    CHECK(order_count(joint.gateway_, "release") == 1);
}

TEST_CASE("a send is ended because its leading engine has left the list although it goes on serving")
{
    joint_prefill_fixture joint(late_response);
    joint.start();
    change_entry(joint.gateway_, joint.leading_entry(), true);
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a send is ended because its leading engine is silent past its forecast although it accepts connections")
{
    joint_prefill_fixture joint(late_response);
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a send is ended because this VM reaches neither its leading engine nor the server list")
{
    // A VM that is cut off from everything proves nothing about a server.
    joint_prefill_fixture joint(late_response);
    joint.start();
    joint.darken_leading();
    REQUIRE(joint.gateway_.run_until([&joint] { return joint.caller_->has_answer(); }));
    CHECK(joint.caller_->received_.starts_with("HTTP/1.1 200"));
}

TEST_CASE("servers get connections without a request although none is silent")
{
    joint_prefill_fixture joint([] { return plain_response("200 OK", "answer"); });
    joint.start();
    REQUIRE(joint.run_until([&joint] { return joint.caller_->has_answer(); }));
    const auto now = std::chrono::steady_clock::now();
    joint.run_until([now] { return std::chrono::steady_clock::now() > now + std::chrono::seconds{4}; });
    std::ranges::for_each(joint.gateway_.servers_, [](const auto& server) {
        CHECK(server->accepted_ == static_cast<int>(server->received_requests_.size()));
    });
}

TEST_CASE("a stream that makes progress is cut because its server has left the list")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(request_kind::streaming));
    scripted_response slow{stream_events(1, 2)};
    slow.later_ = stream_events(3, 4, false) + last_chunk;
    slow.silence_ = milliseconds{3000};
    const auto server = gateway.add_server([slow](const auto&) { return slow; });
    waiting_caller caller(gateway, request_text("POST", {}, "prompt"));
    REQUIRE(gateway.run_until([&server] { return !server->received_requests_.empty(); }));
    change_entry(gateway, entry_of(gateway, *server), true);
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.ends_with(stream_events(3, 4, false) + last_chunk));
}

TEST_CASE("a stream is cut because its server, which leaves in an orderly way, accepts no more connections")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(request_kind::streaming));
    scripted_response slow{stream_events(1, 2)};
    slow.later_ = stream_events(3, 4, false) + last_chunk;
    slow.silence_ = milliseconds{3000};
    const auto server = gateway.add_server([slow](const auto&) { return slow; });
    set_start_times(gateway);
    waiting_caller caller(gateway, request_text("POST", {}, "prompt"));
    REQUIRE(gateway.run_until([&server] { return !server->received_requests_.empty(); }));
    auto entry = entry_of(gateway, *server);
    entry.state_ = server_state::draining;
    change_entry(gateway, entry, false);
    change_entry(gateway, entry, true);
    server->acceptor_.close();
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.ends_with(stream_events(3, 4, false) + last_chunk));
}

TEST_CASE("memory stays reserved while a caller reads an answer that is whole")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    const std::string body(std::size_t{7} * 1024 * 1024, 'a');
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([&body](const auto& message) {
            return message.target() == "/r/x" ? plain_response("200 OK", body) : plain_response("200 OK", "");
        });
    }
    waiting_caller caller(gateway, long_request());
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 1; }));
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == 1);
    CHECK(gateway.state_.open_requests_ == 1);
}

TEST_CASE("a resumable stream waits for its server, which was restarted, although another one can go on with it")
{
    gateway_fixture gateway;
    auto matched = long_route(request_kind::streaming);
    matched.resumable_ = true;
    matched.latency_target_ = milliseconds{20'000};
    matched.max_event_gap_ = milliseconds{20'000};
    gateway.activate_route(matched);
    const auto script = [](const auto& message) {
        return message["X-After"] == "2" ? scripted_response{stream_events(3, 4) + last_chunk}
                                         : scripted_response{stream_events(1, 2), true};
    };
    gateway.add_server(script);
    gateway.add_server(script);
    set_start_times(gateway);
    waiting_caller caller(gateway, request_text("POST", {}, "prompt"));
    REQUIRE(gateway.run_until([&caller] { return !caller.has_answer() && caller.received_.ends_with("e2\n\n\r\n"); }));
    const auto& servers = gateway.servers_;
    auto entry = entry_of(gateway, *(servers[0]->received_requests_.empty() ? servers[1] : servers[0]));
    entry.started_at_ms_ = first_start_ms + 1;
    change_entry(gateway, entry, false);
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.ends_with(stream_events(1, 4, false) + last_chunk));
}

TEST_CASE("memory stays reserved for a plan that is not used because another engine refuses")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    int reserve_orders = 0;
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([&reserve_orders](const auto& message) {
            const bool refuses = is_order(message, "reserve") && ++reserve_orders % 2 == 0;
            return refuses ? plain_response("409 Conflict", "") : plain_response("200 OK", "answer");
        });
    }
    // Needs two helpers.
    waiting_caller caller(gateway, long_request("250000"));
    REQUIRE(gateway.run_until([&caller] { return caller.has_answer(); }));
    CHECK(caller.received_.starts_with("HTTP/1.1 503"));
    CHECK(reserve_orders >= 2);
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") == reserve_orders / 2);
}

TEST_CASE("memory stays reserved because the order to release it is answered late")
{
    gateway_fixture gateway;
    gateway.activate_route(long_route(), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        gateway.add_server([](const auto& message) {
            auto response = plain_response("200 OK", "answer");
            if (is_order(message, "release"))
            {
                response.later_ = std::exchange(response.bytes_, "");
                response.silence_ = milliseconds{2000};
            }
            return response;
        });
    }
    (void)gateway.send_raw_request(long_request());
    // Repeated until the reservation has expired by itself, then given up.
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    CHECK(order_count(gateway, "release") > order_count(gateway, "reserve"));
}
