#include <catch2/catch.hpp>

#include "runtime/peer_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

const peer_credentials shared_key{"the-shared-key", {}, {}, {}};

struct peer_pair
{
    explicit peer_pair(peer_handlers handlers, const peer_credentials& ours = shared_key)
        : server_(std::make_unique<peer_server>(io_.get_executor(), loopback(0), shared_key, std::move(handlers),
                                                counters_)),
          channel_(vm_id{"caller"}, loopback(server_->port()), ours, counters_)
    {}

    boost::asio::io_context io_;
    metrics counters_;
    std::unique_ptr<peer_server> server_;
    peer_channel channel_;
};

reserve_request reservation()
{
    reserve_request request;
    request.request_ = request_id{"r1"};
    request.holder_ = vm_id{"caller"};
    request.caller_ = caller_id{"clerk"};
    request.model_ = model_id{"m"};
    request.remaining_ = 20s;
    return request;
}

}  // namespace

TEST_CASE("a peer's reply reaches the caller, with the sender's id at the handler")
{
    std::string sender;
    peer_handlers handlers;
    handlers.wanted_ = [&](wanted_request request, std::shared_ptr<peer_call> call) -> task<wanted_reply> {
        sender = call->sender_.get();
        co_return wanted_reply{{request.requests_.back()}};
    };
    peer_pair pair(std::move(handlers));
    const auto end = start(pair.io_, pair.channel_.wanted({{request_id{"a"}, request_id{"b"}}}, 20s));
    REQUIRE(run_until(pair.io_, [&] { return end->ended(); }));
    REQUIRE(end->value_.value().wanted_ == std::vector{request_id{"b"}});
    REQUIRE(sender == "caller");
}

TEST_CASE("a caller without the peer key is refused and counted, and its message changes nothing")
{
    bool reached = false;
    peer_handlers handlers;
    handlers.probe_ = [&](probe_request, std::shared_ptr<peer_call>) -> task<probe_reply> {
        reached = true;
        co_return probe_reply{true};
    };
    const std::string key = GENERATE("", "the-shared-kez", "the-shared-key ");
    peer_pair pair(std::move(handlers), {key, {}, {}, {}});
    const auto end = start(pair.io_, pair.channel_.probe({vm_id{"x"}, loopback(1)}, 20s));
    REQUIRE(run_until(pair.io_, [&] {
        return end->ended() && pair.counters_.counter("peer_refused_total", {{"reason", "key"}}) == 1;
    }));
    REQUIRE(end->error_id_ == peer_refused_us);
    REQUIRE_FALSE(reached);
}

TEST_CASE("a malformed message is refused and counted before a handler sees it")
{
    bool reached = false;
    peer_handlers handlers;
    handlers.reserve_ = [&](reserve_request, std::shared_ptr<peer_call>) -> task<reserve_reply> {
        reached = true;
        co_return reserve_reply{};
    };
    peer_pair pair(std::move(handlers));
    reserve_request nameless = reservation();
    nameless.request_ = request_id{};
    const auto end = start(pair.io_, pair.channel_.reserve(nameless, 20s));
    REQUIRE(run_until(pair.io_, [&] {
        return end->ended() && pair.counters_.counter("peer_refused_total", {{"reason", "malformed"}}) == 1;
    }));
    REQUIRE(end->error_id_ == peer_message_malformed);
    REQUIRE_FALSE(reached);
}

TEST_CASE("a cancelled Reserve reaches the handler that waits")
{
    // The queue entry of a caller that has gone would otherwise hold back others until its deadline.
    bool waiting = false;
    bool withdrawn = false;
    boost::asio::io_context* io = nullptr;
    peer_handlers handlers;
    handlers.reserve_ = [&](reserve_request, std::shared_ptr<peer_call> call) -> task<reserve_reply> {
        boost::asio::steady_timer granted(*io, std::chrono::hours{1});
        call->on_cancel_ = [&] {
            withdrawn = true;
            granted.cancel();
        };
        waiting = true;
        boost::system::error_code ignored;
        co_await granted.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        co_return reserve_reply{};
    };
    peer_pair pair(std::move(handlers));
    io = &pair.io_;

    SECTION("the caller gives up")
    {
        const auto control = std::make_shared<call_control>();
        const auto end = start(pair.io_, pair.channel_.reserve(reservation(), 20s, control));
        REQUIRE(run_until(pair.io_, [&] { return waiting; }));
        REQUIRE_FALSE(withdrawn);
        control->cancel_();
        REQUIRE(run_until(pair.io_, [&] { return withdrawn && end->ended(); }));
        REQUIRE(end->error_id_ == peer_cancelled);
        REQUIRE_FALSE(control->cancel_);
    }
    SECTION("the deadline passes")
    {
        const auto end = start(pair.io_, pair.channel_.reserve(reservation(), 300ms));
        REQUIRE(run_until(pair.io_, [&] { return withdrawn && end->ended(); }));
        REQUIRE(end->error_id_ == peer_silent);
    }
    SECTION("the server stops while the call waits; it must neither hang nor leave the caller waiting")
    {
        const auto end = start(pair.io_, pair.channel_.reserve(reservation(), 20s));
        REQUIRE(run_until(pair.io_, [&] { return waiting; }));
        pair.server_.reset();
        REQUIRE(run_until(pair.io_, [&] { return withdrawn && end->ended(); }));
        REQUIRE((end->error_id_ == peer_unreachable || end->error_id_ == peer_cancelled));
    }
}

TEST_CASE("a connection that went silent is left behind by a new channel")
{
    peer_handlers handlers;
    handlers.probe_ = [](probe_request, std::shared_ptr<peer_call>) -> task<probe_reply> {
        co_return probe_reply{true};
    };
    peer_pair pair(std::move(handlers));
    tcp_forwarder forwarder(pair.io_, pair.server_->port());
    peer_channel channel(vm_id{"caller"}, loopback(forwarder.port()), shared_key, pair.counters_);
    const probe_request probe{vm_id{"x"}, loopback(1)};

    const auto before = start(pair.io_, channel.probe(probe, 20s));
    REQUIRE(run_until(pair.io_, [&] { return before->value_.has_value(); }));
    forwarder.go_silent();
    // A call that still waits keeps the silent connection open, as a queued Reserve does.
    const auto waiting = start(pair.io_, channel.probe(probe, 20s));
    const auto silent = start(pair.io_, channel.probe(probe, 300ms));
    REQUIRE(run_until(pair.io_, [&] { return silent->ended(); }));
    REQUIRE(silent->error_id_ == peer_silent);

    channel.replace();
    const auto after = start(pair.io_, channel.probe(probe, 20s));
    REQUIRE(run_until(pair.io_, [&] { return after->ended(); }));
    REQUIRE(after->value_.has_value());
    REQUIRE(forwarder.connections() == 2);
    REQUIRE_FALSE(waiting->value_.has_value());
    REQUIRE(run_until(pair.io_, [&] { return waiting->ended(); }));
}

TEST_CASE("a listener that cannot be opened is an error at the start")
{
    boost::asio::io_context io;
    metrics counters;
    const peer_server first(io.get_executor(), loopback(0), shared_key, {}, counters);
    REQUIRE_THROWS_AS(peer_server(io.get_executor(), loopback(first.port()), shared_key, {}, counters), process_error);
    REQUIRE_THROWS_AS(load_peer_credentials("key", "certificate.pem", "", ""), process_error);
    REQUIRE_THROWS_AS(load_peer_credentials("", "", "", ""), process_error);
}
