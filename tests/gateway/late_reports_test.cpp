#include <thread>

#include <catch2/catch.hpp>

#include "cornelstall/gateway/connection/load_exchange.hpp"
#include "cornelstall/gateway/process/follow_servers.hpp"
#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

constexpr log_position list_end = at_offset(5);

/// A gateway that exchanges load reports with others on the loopback interface.
class reporting_gateway : public gateway_fixture
{
  public:
    explicit reporting_gateway(const std::string& name)
    {
        state_.settings_.name_ = name;
        state_.settings_.ip_ = "127.0.0.1";
        exchange_ = std::make_shared<load_exchange>(
            state_, boost::asio::ip::udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        state_.settings_.load_port_ = exchange_->socket_.local_endpoint().port();
        spawn(state_.executor_, "receive_load", receive_load(exchange_));
        spawn(state_.executor_, "report_load", report_load(exchange_));
        state_.server_list_.next_ = list_end;
    }

    void add(const reporting_gateway& other)
    {
        const auto port = std::to_string(other.state_.settings_.load_port_);
        add_peer(state_.peers_, vm_id{other.state_.settings_.name_}, socket_address{"127.0.0.1:" + port},
                 std::chrono::steady_clock::now());
    }

    void run_for(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            io_.run_one_for(milliseconds{2});
        }
    }

    std::shared_ptr<load_exchange> exchange_;
};

void read_and_report(reporting_gateway& reader)
{
    confirm_list_read(reader.state_, list_end, boot_time());
    reader.state_.schedule_load_report_();
    reader.run_for(milliseconds{20});
}

}  // namespace

TEST_CASE("a report that waited in the socket's buffer does not make the server list look up to date")
{
    // On a VM whose processor is overloaded reports wait for seconds. Their contents were taken for as old as they were
    // when the report was sent, so the VM did not read the log and went on sending to servers that had left.
    constexpr milliseconds wait{700};
    reporting_gateway reader("vm-1");
    reporting_gateway slow("vm-2");
    reader.add(slow);
    for (int report = 0; report < 15; ++report)
    {
        read_and_report(reader);
        slow.run_for(milliseconds{20});
    }
    const auto known_before = slow.state_.server_list_.confirmed_at_;
    REQUIRE(known_before.count() > 0);
    read_and_report(reader);
    std::this_thread::sleep_for(wait);
    slow.run_for(milliseconds{20});
    CHECK(server_list_age(slow.state_) >= wait);
}

TEST_CASE("a VM whose read of the server list failed once reads again within the staleness bound")
{
    // A VM that follows the reports of others slept for 4 s after one failed read, twice as long as its list may age.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    state.settings_.name_ = "vm";
    for (int peer = 0; peer < 40; ++peer)
    {
        auto& reader = state.peers_.peers_[vm_id{"reader-" + std::to_string(peer)}];
        reader.log_reachable_ = true;
        reader.heard_at_ = std::chrono::steady_clock::now() + std::chrono::minutes{1};  // heard of all the while
    }
    std::vector<time_point> reads;
    record_log log;
    log.read_newest_ = []() -> task<record_page> {
        record_page page;
        page.reached_ = true;
        co_return page;
    };
    log.read_from_ = [&reads](log_position from, milliseconds) -> task<record_page> {
        reads.push_back(std::chrono::steady_clock::now());
        record_page page;
        page.reached_ = reads.size() > 1;
        page.next_ = from;
        co_return page;
    };
    spawn(state.executor_, "follow_servers",
          follow_servers(state, log, [](const keyed_record&) -> std::optional<listed_server> { return std::nullopt; }));
    REQUIRE(gateway.run_until([&reads] { return reads.size() >= 2; }));
    CHECK(reads[1] - reads[0] < state.settings_.staleness_bound_ / 2);
}
