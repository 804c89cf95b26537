#include <fstream>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const std::string plain_head{"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n"};
const std::string chunked_head{plain_head + "Transfer-Encoding: chunked\r\n\r\n"};

route resumable_route()
{
    route matched;
    matched.kind_ = request_kind::streaming;
    matched.resumable_ = true;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{8000};
    matched.latency_target_ = milliseconds{200};
    matched.max_event_gap_ = milliseconds{250};
    return matched;
}

route plain_route()
{
    auto matched = resumable_route();
    matched.kind_ = request_kind::idempotent;
    return matched;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Resident memory of this process in bytes.
std::size_t resident_bytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    statistics >> total_pages >> resident_pages;
    constexpr std::size_t page_bytes = 4096;
    return resident_pages * page_bytes;
}

/// The server of the first request answers as @a response says, all others with @a good_answer.
void add_bad_and_good_server(gateway_fixture& gateway, const scripted_response& response,
                             const std::string& good_answer)
{
    auto bad_served = std::make_shared<bool>(false);
    for (int index = 0; index < 2; ++index)
    {
        gateway.add_server([bad_served, response, good_answer](const auto&) {
            return std::exchange(*bad_served, true) ? scripted_response{good_answer, false} : response;
        });
    }
}

int endless_ended(const gateway_fixture& gateway)
{
    return gateway.servers_[0]->endless_ended_ + gateway.servers_[1]->endless_ended_;
}

}  // namespace

TEST_CASE("an answer that goes on without end is ended, and another server answers the request")
{
    const std::string filler(4096, 'x');
    const auto endless =
        GENERATE_COPY(scripted_response{"HTTP/1.1 200 OK\r\nX-Long: ", false, filler},
                      scripted_response{"HTTP/1.1 200 OK\r\n", false, "X-Field: " + filler + "\r\n"},
                      scripted_response{"", false, filler}, scripted_response{chunked_head + "5;ext=", false, filler},
                      scripted_response{chunked_head + "0\r\n", false, "X-Trailer: " + filler + "\r\n"},
                      scripted_response{plain_head + "Content-Length: 100000000000\r\n\r\n", false, filler});
    gateway_fixture gateway;
    gateway.activate_route(plain_route());
    add_bad_and_good_server(gateway, endless, plain_response("200 OK", "good").bytes_);
    const auto answer = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(answer, "good"));
    CHECK_FALSE(contains(answer, "xxxx"));
    CHECK(gateway.run_until([&gateway] { return endless_ended(gateway) == 1; }));
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("a stream whose event goes on without end is resumed on another server")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    const std::string filler(4096, 'x');
    add_bad_and_good_server(gateway,
                            scripted_response{stream_events(1, 2) + "FFFFFFFF\r\nid: 3\ndata: ", false, filler},
                            stream_events(3, 4) + last_chunk);
    const auto answer = gateway.send_raw_request(request_text("POST"));
    CHECK(contains(answer, "data: e4"));
    CHECK(contains(answer, last_chunk));
    CHECK_FALSE(contains(answer, "xxxx"));
    CHECK(gateway.run_until([&gateway] { return endless_ended(gateway) == 1; }));
}

TEST_CASE("two hundred answers without end leave the process within its memory")
{
    // 1 MB for each connection, and less than the 160 MB of the smallest VM for all of them.
    constexpr std::size_t connections = 200;
    constexpr std::size_t max_growth_bytes = 120ULL * 1024 * 1024;
    gateway_fixture gateway;
    auto matched = plain_route();
    matched.max_attempts_ = 1;
    gateway.activate_route(matched);
    const std::string filler(16384, 'x');
    gateway.add_server([&filler](const auto&) {
        return scripted_response{plain_head + "Content-Length: 100000000000\r\n\r\n", false, filler};
    });
    const auto before = resident_bytes();
    std::size_t peak = before;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> callers;
    for (std::size_t index = 0; index < connections; ++index)
    {
        callers.push_back(std::make_unique<boost::asio::ip::tcp::socket>(gateway.io_));
        callers.back()->connect(gateway.acceptor_.local_endpoint());
        boost::asio::write(*callers.back(), boost::asio::buffer(request_text("GET")));
    }
    REQUIRE(gateway.run_until([&] {
        peak = std::max(peak, resident_bytes());
        return gateway.servers_[0]->endless_ended_ == static_cast<int>(connections);
    }));
    CHECK(peak - before < max_growth_bytes);
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("a stalled stream that sends a byte now and then is resumed on another server")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    // Chunks with one byte of a comment, which is no event.
    add_bad_and_good_server(gateway, scripted_response{stream_events(1, 2), false, "1\r\n:\r\n", milliseconds{200}},
                            stream_events(3, 4) + last_chunk);
    const auto started_at = std::chrono::steady_clock::now();
    const auto answer = gateway.send_raw_request(request_text("POST"));
    CHECK(contains(answer, "data: e4"));
    CHECK(contains(answer, last_chunk));
    // Callers leave after a pause of 2 s.
    CHECK(std::chrono::steady_clock::now() - started_at < milliseconds{4000});
    CHECK(gateway.run_until([&gateway] { return endless_ended(gateway) == 1; }));
}

TEST_CASE("a slow stream that sends an event before callers leave is not cut")
{
    gateway_fixture gateway;
    gateway.activate_route(resumable_route());
    auto served = std::make_shared<int>(0);
    for (int index = 0; index < 2; ++index)
    {
        gateway.add_server([served](const auto&) {
            ++*served;
            return scripted_response{stream_events(1, 1), false, stream_events(2, 2, false), milliseconds{1200}};
        });
    }
    const auto answer = gateway.send_raw_request(request_text("POST"), [](const std::string& received) {
        std::size_t events = 0;
        for (auto at = received.find("data: "); at != std::string::npos; at = received.find("data: ", at + 1))
        {
            ++events;
        }
        return events >= 4;
    });
    CHECK(contains(answer, "data: e2"));
    CHECK(*served == 1);
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_requests_ == 0; }));
}
