#include <catch2/catch.hpp>

#include "runtime/peer_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

/// One VM: listener, member loop and counters. Its handlers are added after the listener has chosen a port.
class vm
{
  public:
    vm(boost::asio::io_context& io, const std::string& id, const std::string& data_centre, std::vector<peer_seed> seeds,
       const std::string& key = "key", int forwarder_port = 0)
        : server_(std::make_unique<peer_server>(io.get_executor(), loopback(0), peer_credentials{key, {}, {}, {}},
                                                forwarding_handlers(), counters_))
    {
        if (forwarder_port != 0)
        {
            forwarder_ = std::make_unique<tcp_forwarder>(io, server_->port());
        }
        settings_.self_ = {vm_id{id}, forwarder_ ? loopback(forwarder_->port()) : loopback(server_->port()),
                           data_centre_id{data_centre}, incarnation{1}, member_state::alive};
        settings_.seeds_ = std::move(seeds);
        settings_.credentials_.key_ = key;
        // On a loaded machine an exchange may take long; the checks wait for conditions, not for times.
        settings_.exchange_limit_ = 2s;
        settings_.probe_limit_ = 3s;
        member_events events;
        events.member_died_ = [this](const member& each) {
            died_.push_back(each.id_);
        };
        events.live_members_changed_ = [this] {
            ++changes_;
        };
        events.adopt_configuration_ = [this](fetch_configuration_reply reply) -> task<> {
            loop_->view_.version_ = reply.version_;
            adopted_ = reply;
            co_return;
        };
        loop_ = start_member_loop(io.get_executor(), settings_, events, counters_);
        add_member_handlers(handlers_, loop_);
        handlers_.fetch_configuration_ = [this](fetch_configuration_request,
                                                const std::shared_ptr<peer_call>&) -> task<fetch_configuration_reply> {
            co_return fetch_configuration_reply{loop_->view_.version_, {{service_id{"s"}, "text", log_offset{1}}}};
        };
    }

    ~vm()
    {
        kill();
    }
    vm(const vm&) = delete;
    vm& operator=(const vm&) = delete;
    vm(vm&&) = delete;
    vm& operator=(vm&&) = delete;

    /// Ends without a word to the others.
    void kill()
    {
        stop(*loop_);
        server_.reset();
    }

    [[nodiscard]] peer_seed seed() const
    {
        return {settings_.self_.peer_address_, {}};
    }

    [[nodiscard]] std::size_t live() const
    {
        return live_members(loop_->view_.members_, settings_.self_.data_centre_).size();
    }

    metrics counters_;
    peer_handlers handlers_;
    member_settings settings_;
    std::vector<vm_id> died_;
    int changes_ = 0;
    std::optional<fetch_configuration_reply> adopted_;
    std::unique_ptr<tcp_forwarder> forwarder_;
    std::unique_ptr<peer_server> server_;
    member_loop_ptr loop_;

  private:
    peer_handlers forwarding_handlers()
    {
        peer_handlers handlers;
        handlers.exchange_ = [this](exchange_delta delta, std::shared_ptr<peer_call> call) {
            return handlers_.exchange_(std::move(delta), std::move(call));
        };
        handlers.probe_ = [this](probe_request request, std::shared_ptr<peer_call> call) {
            return handlers_.probe_(std::move(request), std::move(call));
        };
        handlers.fetch_configuration_ = [this](fetch_configuration_request request, std::shared_ptr<peer_call> call) {
            return handlers_.fetch_configuration_(request, std::move(call));
        };
        return handlers;
    }
};

/// The tasks of stopped loops must end before their state goes.
struct fleet
{
    fleet() = default;
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;
    ~fleet()
    {
        std::ranges::for_each(vms_, [](const auto& each) { each->kill(); });
        std::ranges::for_each(vms_, [](const auto& each) { each->forwarder_.reset(); });
        io_.restart();
        io_.run_for(generous);
    }

    vm& add(const std::string& id, const std::string& data_centre = "home", const std::string& key = "key",
            int forwarder_port = 0)
    {
        const auto seeds = vms_.empty() ? std::vector<peer_seed>{} : std::vector{vms_.front()->seed()};
        vms_.push_back(std::make_unique<vm>(io_, id, data_centre, seeds, key, forwarder_port));
        return *vms_.back();
    }

    bool until(const std::function<bool()>& condition)
    {
        return run_until(io_, condition);
    }

    boost::asio::io_context io_;
    std::vector<std::unique_ptr<vm>> vms_;
};

}  // namespace

TEST_CASE("peers find each other from one seed, and a killed one is dead to the others")
{
    fleet peers;
    vm& a = peers.add("a");
    vm& b = peers.add("b");
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2; }));
    vm& c = peers.add("c");
    REQUIRE(peers.until([&] { return a.live() == 3 && b.live() == 3 && c.live() == 3; }));
    REQUIRE(a.changes_ > 0);

    c.kill();
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2; }));
    REQUIRE(a.died_ == std::vector{vm_id{"c"}});
    REQUIRE(b.died_ == std::vector{vm_id{"c"}});
    REQUIRE_FALSE(is_present(a.loop_->view_.members_, vm_id{"c"}));
}

TEST_CASE("a leaving member is known as leaving, not as dead")
{
    fleet peers;
    vm& a = peers.add("a");
    vm& b = peers.add("b");
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2; }));
    leave(*b.loop_, std::chrono::steady_clock::now());
    REQUIRE(peers.until([&] { return a.live() == 1; }));
    REQUIRE(is_present(a.loop_->view_.members_, vm_id{"b"}));
    REQUIRE(a.died_.empty());
    // Its grants would never be released if its end went unnoticed.
    b.kill();
    REQUIRE(peers.until([&] { return !a.died_.empty(); }));
}

TEST_CASE("a peer with a wrong key changes nothing and is counted")
{
    fleet peers;
    vm& a = peers.add("a");
    vm& stranger = peers.add("stranger", "home", "wrong");
    REQUIRE(peers.until([&] {
        return a.counters_.counter("peer_refused_total", {{"reason", "key"}}) >= 2 &&
               stranger.counters_.counter("seed_exchange_failures_total") >= 2;
    }));
    REQUIRE(a.loop_->view_.members_.members_.size() == 1);
    REQUIRE(a.loop_->peers_.empty());
    REQUIRE(stranger.loop_->view_.members_.members_.size() == 1);
}

TEST_CASE("a silent connection is replaced while its peer stays alive")
{
    fleet peers;
    vm& a = peers.add("a");
    vm& b = peers.add("b", "home", "key", 1);
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2 && b.forwarder_->connections() > 0; }));
    const int before = b.forwarder_->connections();
    b.forwarder_->go_silent();
    const auto sent = [&] {
        return a.counters_.counter("peer_messages_sent_total");
    };
    REQUIRE(peers.until([&] { return b.forwarder_->connections() > before; }));
    const auto then = sent();
    REQUIRE(peers.until([&] { return sent() > then + 4; }));
    REQUIRE(a.counters_.counter("peer_exchange_failures_total") > 0);
    REQUIRE(a.counters_.counter("members_suspected_total") == 0);
    REQUIRE(a.live() == 2);
}

TEST_CASE("members that were cut off from each other until they were dead come back")
{
    fleet peers;
    vm& a = peers.add("a", "home", "key", 1);
    vm& b = peers.add("b", "home", "key", 1);
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2; }));
    a.forwarder_->set_cut(true);
    b.forwarder_->set_cut(true);
    REQUIRE(peers.until([&] { return a.live() == 1 && b.live() == 1; }));
    a.forwarder_->set_cut(false);
    b.forwarder_->set_cut(false);
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2; }));
}

TEST_CASE("a newer configuration is fetched from a peer")
{
    fleet peers;
    vm& a = peers.add("a");
    vm& b = peers.add("b");
    REQUIRE(peers.until([&] { return a.live() == 2 && b.live() == 2; }));
    b.loop_->view_.version_ = configuration_version{7};
    REQUIRE(peers.until([&] { return a.adopted_.has_value(); }));
    REQUIRE(a.loop_->view_.version_ == configuration_version{7});
    REQUIRE(a.adopted_.value_or(fetch_configuration_reply{}).declarations_.at(0).text_ == "text");
    REQUIRE_FALSE(b.adopted_.has_value());
}

TEST_CASE("data centres exchange summaries, not members")
{
    fleet peers;
    vm& a = peers.add("a", "home");
    vm& b = peers.add("b", "far");
    const auto knows = [](const vm& each, const std::string& other) {
        return has_recent_summary(each.loop_->view_.data_centres_, data_centre_id{other},
                                  std::chrono::steady_clock::now());
    };
    REQUIRE(peers.until([&] { return knows(a, "far") && knows(b, "home"); }));
    REQUIRE(channel_to(*a.loop_, vm_id{"b"}) != nullptr);
    REQUIRE(a.loop_->view_.members_.members_.size() == 1);

    // Contact is kept: summaries are refreshed without the seed.
    const auto revision = [&] {
        return a.loop_->view_.data_centres_.at(data_centre_id{"far"}).summary_.revision_;
    };
    const auto first = revision();
    REQUIRE(peers.until([&] { return revision() > first; }));
}
