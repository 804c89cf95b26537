#include <catch2/catch.hpp>

#include "cornelstall/platform.hpp"
#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

/// One page of the answer to a read of all newest records: one record, and the statement that more follow.
std::string newest_page(int number, const std::string& value)
{
    return R"({"end":9,"has_more":true,"items":[{"key":"k)" + std::to_string(number) + R"(","offset":1,"value":")" +
           value + R"("}]})";
}

std::string http_answer_text(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Reads the newest records of a topic of @a store into @a page.
void begin_read(gateway_fixture& gateway, const fake_server& store, std::optional<record_page>& page)
{
    const auto log = platform::open_topic(gateway.state_.executor_, store.address(), "servers");
    const auto read = [](record_log from, std::optional<record_page>& result) -> task<> {
        auto received = co_await from.read_newest_();
        result = std::move(received);
    };
    spawn(gateway.state_.executor_, "read", read(log, page));
}

}  // namespace

TEST_CASE("a read of the newest records fails when the store's pages have no end")
{
    // A faulty store that always has another page would otherwise fill this VM's memory, and the reader of the server
    // list would wait for ever.
    const bool large = GENERATE(true, false);
    const std::string value(large ? 1'000'000 : 4, 'A');
    gateway_fixture gateway;
    auto served = std::make_shared<int>(0);
    const auto store = gateway.add_server([served, value](const auto&) {
        return scripted_response{http_answer_text(newest_page((*served)++, value)), false};
    });
    std::optional<record_page> page;
    begin_read(gateway, *store, page);
    constexpr int max_pages = 500;
    (void)gateway.run_until([&] { return page.has_value() || *served > max_pages; });
    REQUIRE(page.has_value());
    CHECK_FALSE(page->reached_);
    CHECK(page->records_.empty());
    CHECK(*served <= max_pages);
}

TEST_CASE("a read of the newest records that takes several pages is whole")
{
    gateway_fixture gateway;
    auto served = std::make_shared<int>(0);
    const auto store = gateway.add_server([served](const auto&) {
        auto body = newest_page(*served, "AAAA");
        constexpr int last_page = 19;
        if ((*served)++ == last_page)
        {
            body.replace(body.find("true"), 4, "false");
        }
        return scripted_response{http_answer_text(body), false};
    });
    std::optional<record_page> page;
    begin_read(gateway, *store, page);
    REQUIRE(gateway.run_until([&page] { return page.has_value(); }));
    CHECK(page->reached_);
    CHECK(page->records_.size() == 20);
}

// A reader that took such an answer for the whole would take the missing keys for removed.
TEST_CASE("a read of the newest records that the store ends early is marked as not complete")
{
    gateway_fixture gateway;
    const bool ends_early = GENERATE(true, false);
    const auto store = gateway.add_server([ends_early](const auto& message) {
        const bool first = message.target().find("after") == std::string::npos;
        const auto body = ends_early && !first ? R"({"end":9,"has_more":true,"items":[]})"
                          : first              ? newest_page(1, "AAAA")
                                               : R"({"end":9,"has_more":false,"items":[]})";
        return scripted_response{http_answer_text(body), false};
    });
    std::optional<record_page> page;
    begin_read(gateway, *store, page);
    REQUIRE(gateway.run_until([&page] { return page.has_value(); }));
    CHECK(page->reached_);
    CHECK(page->records_.size() == 1);
    CHECK(page->complete_ == !ends_early);
}

// Guards against a list that is half from before and half from after a return of the store from a copy.
TEST_CASE("a read of the newest records fails when the store comes back from a copy between its pages")
{
    gateway_fixture gateway;
    const bool returns = GENERATE(true, false);
    const auto store = gateway.add_server([returns](const auto& message) {
        const bool first = message.target().find("after") == std::string::npos;
        const auto body = first ? newest_page(1, "AAAA") : R"({"end":9,"has_more":false,"items":[]})";
        const std::string era = !first && returns ? "4" : "3";
        return scripted_response{"HTTP/1.1 200 OK\r\nStore-Era: " + era +
                                     "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                                 false};
    });
    std::optional<record_page> page;
    begin_read(gateway, *store, page);
    REQUIRE(gateway.run_until([&page] { return page.has_value(); }));
    CHECK(page->reached_ == !returns);
    CHECK(page->era_ == log_era{returns ? 4U : 3U});
    CHECK((returns || page->next_ == at_offset(9, log_era{3})));
}

TEST_CASE("a call to the store ends when its answer does not")
{
    const std::string filler(65536, 'x');
    auto endless = GENERATE_COPY(
        scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", false, filler},
        scripted_response{"HTTP/1.0 200 OK\r\n\r\n", false, filler},
        scripted_response{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n", false, filler},
        scripted_response{"", false, "HTTP/1.1 100 Continue\r\n\r\n"},
        scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", false, "x", milliseconds{50}});
    gateway_fixture gateway;
    const auto store = gateway.add_server([&endless](const auto&) { return endless; });
    const auto log = platform::open_topic(gateway.state_.executor_, store->address(), "servers");
    int ended = 0;
    const auto call_all = [](record_log to, int& count) -> task<> {
        const auto newest = co_await to.read_newest_();
        count += newest.reached_ ? 0 : 1;
        const auto changes = co_await to.read_from_(at_offset(0), milliseconds{100});
        count += changes.reached_ ? 0 : 1;
        const auto appended = co_await to.append_("key", "value");
        count += appended.acknowledged_ ? 0 : 1;
    };
    spawn(gateway.state_.executor_, "call", call_all(log, ended));
    CHECK(gateway.run_until([&ended] { return ended == 3; }));
    CHECK(gateway.run_until([&store] { return store->endless_ended_ == 3; }));
}
