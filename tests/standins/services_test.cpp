#include <array>
#include <future>

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "http_calls.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const std::string records = "/streams/claims/records";

json texts(std::initializer_list<const char*> all)
{
    return {{"records", json(all)}};
}

/// One connection that is reused for several requests, which cpprestsdk's pool does not promise.
class raw_connection
{
  public:
    explicit raw_connection(const standins::running_standin& standin)
    {
        const std::string& text = standin.address().get();
        const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(text.rfind(':') + 1)));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    /// True when an answer came back, false when the connection was closed instead.
    bool post(const std::string& body, const std::string& key)
    {
        const std::string request = "POST /book HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + key +
                                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket_, boost::asio::buffer(request));
        std::array<char, 4096> buffer{};
        boost::system::error_code failure;
        return socket_.read_some(boost::asio::buffer(buffer), failure) > 0;
    }

  private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
};

}  // namespace

TEST_CASE("the log numbers the records of each stream from 1")
{
    const auto log = standins::start_log({}, any_port);
    caller client{log};
    REQUIRE(client.post(records, texts({"a", "b"})).body()["first_offset"] == 1);
    REQUIRE(client.post("/streams/leases/records", texts({"x"})).body()["first_offset"] == 1);
    REQUIRE(client.post(records, texts({"c"})).body()["first_offset"] == 3);
    const json read = client.get(records + "?from=2&limit=1").body();
    REQUIRE(read["records"] == json::array({{{"offset", 2}, {"data", "b"}}}));
    REQUIRE(read["oldest"] == 1);
    REQUIRE(read["next"] == 4);
}

TEST_CASE("a long poll ends with the next append and not before")
{
    const auto log = standins::start_log({}, any_port);
    caller client{log};
    auto waiting = std::async(std::launch::async, [&log] {
        return caller{log, milliseconds{20'000}}.get(records + "?from=1&wait_ms=15000").body();
    });
    REQUIRE(
        eventually([&client] { return client.get("/control/counters").body()["counters"].value("reads", 0) == 1; }));
    client.post(records, texts({"a"}));
    REQUIRE(waiting.get()["records"].size() == 1);
}

TEST_CASE("a lost acknowledgement of the log did append")
{
    const auto log = standins::start_log({}, any_port);
    caller client{log};
    client.post("/control/faults", {{"lose_acknowledgement", 1}, {"match", "POST /streams/"}});
    REQUIRE(client.get(records).status_ == 200);
    REQUIRE(caller{log}.post(records, texts({"claim-7"})).status_ == 0);
    REQUIRE(client.get(records).body()["records"][0]["data"] == "claim-7");
    REQUIRE(client.post(records, texts({"claim-8"})).status_ == 200);
}

TEST_CASE("records vanish after the retention and their offsets are not used again")
{
    standins::log_settings settings;
    settings.retention_ = milliseconds{100};
    const auto log = standins::start_log(settings, any_port);
    caller client{log};
    client.post(records, texts({"a", "b"}));
    REQUIRE(eventually([&client] { return client.get(records).body()["oldest"] == 3; }));
    REQUIRE(client.get(records).body()["records"].empty());
    REQUIRE(client.post(records, texts({"c"})).body()["first_offset"] == 3);
}

TEST_CASE("appends above the rate are refused and do not append")
{
    standins::log_settings settings;
    settings.appends_per_second_ = 0.001;
    const auto log = standins::start_log(settings, any_port);
    caller client{log};
    REQUIRE(client.post(records, texts({"a"})).status_ == 200);
    REQUIRE(client.post(records, texts({"b"})).status_ == 429);
    REQUIRE(client.get(records).body()["next"] == 2);
}

TEST_CASE("the log refuses all calls in an outage and keeps its records")
{
    const auto log = standins::start_log({}, any_port);
    caller client{log};
    client.post(records, texts({"a"}));
    client.post("/control/faults", {{"outage", true}});
    REQUIRE(client.post(records, texts({"b"})).status_ == 503);
    REQUIRE(client.get(records).status_ == 503);
    client.post("/control/faults", {{"outage", false}});
    REQUIRE(client.get(records).body()["next"] == 2);
}

TEST_CASE("a change of the VM list becomes visible only after the lag")
{
    standins::platform_settings settings;
    settings.visibility_lag_ = milliseconds{500};
    const auto platform = standins::start_platform(settings, any_port);
    caller client{platform};
    const json vms = json::array({{{"id", "e1"}, {"state", "live"}}});
    const auto changed_at = std::chrono::steady_clock::now();
    client.call("PUT", "/control/vms", {{"vms", vms}});
    REQUIRE(eventually([&client] { return client.get("/vms").body()["generation"] == 1; }));
    REQUIRE(std::chrono::steady_clock::now() - changed_at >= settings.visibility_lag_);
    REQUIRE(client.get("/vms").body()["vms"] == vms);
}

TEST_CASE("the weight store refuses transfers above its limit")
{
    standins::platform_settings settings;
    settings.concurrent_transfers_ = 1;
    settings.transfer_duration_ = milliseconds{600};
    const auto platform = standins::start_platform(settings, any_port);
    caller client{platform};
    auto first = std::async(std::launch::async, [&] { return caller{platform}.get("/weights/small/1").status_; });
    REQUIRE(eventually([&client] { return client.get("/status").body()["in_progress"] == 1; }));
    REQUIRE(client.get("/weights/small/2").status_ == 429);
    REQUIRE(first.get() == 200);
    REQUIRE(eventually([&client] { return client.get("/status").body()["in_progress"] == 0; }));
}

TEST_CASE("an engine loads a model only after the weight store has sent it")
{
    standins::platform_settings slow;
    slow.transfer_duration_ = milliseconds{100};
    const auto platform = standins::start_platform(slow, any_port);
    standins::engine_settings settings;
    settings.load_duration_ = milliseconds{10};
    settings.weight_store_ = platform.address();
    const auto engine = standins::start_engine(settings, any_port);
    caller client{engine};
    client.post("/v1/orders", {{"order_id", "1"}, {"kind", "load_model"}, {"model", "large"}, {"version", "1"}});
    REQUIRE(eventually([&client] { return client.get("/v1/load").body()["models"].size() == 2; }));
    const json counted = caller{platform}.get("/control/counters").body()["counters"];
    REQUIRE(counted["transfers_finished"] == 1);
}

TEST_CASE("the plain service proves how often a call arrived")
{
    const auto plain = standins::start_plain({}, any_port);
    caller client{plain};
    SECTION("a call whose answer was lost has arrived")
    {
        client.post("/control/faults", {{"lose_acknowledgement", 1}});
        REQUIRE(caller{plain}.call("POST", "/book", {{"pickup", 1}}, "key-1").status_ == 0);
        REQUIRE(client.get("/control/counters").body()["keys"]["key-1"] == 1);
        REQUIRE(client.get("/control/counters").body()["counters"]["ran"] == 1);
    }
    SECTION("a silent server has read the call")
    {
        caller impatient{plain, milliseconds{300}};
        client.post("/control/faults", {{"silent", 1}});
        REQUIRE(impatient.call("POST", "/book", {{"pickup", 1}}, "key-1").status_ == 0);
        REQUIRE(client.call("POST", "/book", {{"pickup", 1}}, "key-2").status_ == 200);
        REQUIRE(client.get("/control/counters").body()["keys"] == json{{"key-1", 1}, {"key-2", 1}});
    }
    SECTION("a draining server says that the call did not run")
    {
        client.post("/control/faults", {{"drain", true}});
        REQUIRE(client.call("POST", "/book", {{"pickup", 1}}, "key-1").status_ == 503);
        REQUIRE(client.get("/control/counters").body()["counters"].value("ran", 0) == 0);
    }
    SECTION("a call on a reused connection is read before the connection is closed")
    {
        client.post("/control/faults", {{"close_reused", 1}});
        raw_connection connection{plain};
        REQUIRE(connection.post("{}", "key-1"));
        REQUIRE_FALSE(connection.post("{}", "key-2"));
        REQUIRE(client.get("/control/counters").body()["keys"]["key-2"] == 1);
    }
}

TEST_CASE("a stopped stand-in refuses connections like a dead process")
{
    auto plain = standins::start_plain({}, any_port);
    caller client{plain, milliseconds{1000}};
    REQUIRE(client.get("/x").status_ == 200);
    plain.stop();
    REQUIRE(client.get("/x").status_ == 0);
}
