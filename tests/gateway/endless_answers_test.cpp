#include <fstream>

#include <catch2/catch.hpp>

#include "cornelstall/gateway/connection/status_listener.hpp"
#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

using boost::asio::ip::tcp;

const std::string plain_head{"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n"};
const std::string chunked_head{plain_head + "Transfer-Encoding: chunked\r\n\r\n"};
const std::string interim_answer{"HTTP/1.1 100 Continue\r\n\r\n"};
const std::string sealed_interim_answer{"HTTP/1.1 103 Early Hints\r\nX-Id: q1\r\nX-Seal: s\r\n\r\n"};
/// The requests of the tests with many connections are all open at the same time.
constexpr std::size_t connections = 200;

route tested_route(request_kind kind)
{
    route matched;
    matched.kind_ = kind;
    matched.resumable_ = kind == request_kind::streaming;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{6000};
    matched.latency_target_ = milliseconds{500};
    matched.max_event_gap_ = milliseconds{250};
    return matched;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t resident_bytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    statistics >> total_pages >> resident_pages;
    constexpr std::size_t page_bytes = 4096;
    return resident_pages * page_bytes;
}

/// Text that is sent again and again.
std::string repeated(const std::string& text, std::size_t size)
{
    std::string all;
    while (all.size() < size)
    {
        all += text;
    }
    return all;
}

scripted_response endless_answer(std::string start, std::string repeated_bytes, milliseconds pause = milliseconds{0})
{
    return {std::move(start), false, std::move(repeated_bytes), pause};
}

/// The server of the first request answers as @a response says, the other with @a good_answer.
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

/// A caller that sends @a request and reads nothing yet.
std::unique_ptr<tcp::socket> send_request(gateway_fixture& gateway, const std::string& request)
{
    auto caller = std::make_unique<tcp::socket>(gateway.io_);
    caller->connect(gateway.acceptor_.local_endpoint());
    boost::asio::write(*caller, boost::asio::buffer(request));
    return caller;
}

}  // namespace

TEST_CASE("interim answers without end and a body without a length are ended, and another server answers")
{
    // A server that only sends interim answers must not hold the request until its time limit.
    const std::string filler(4096, 'x');
    const auto endless =
        GENERATE_COPY(endless_answer("", interim_answer), endless_answer("", repeated(interim_answer, 4096)),
                      endless_answer("", sealed_interim_answer), endless_answer(plain_head + "\r\n", filler),
                      endless_answer("HTTP/1.0 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\n", filler),
                      endless_answer(chunked_head, "FFFFFFFFFF\r\n" + filler));
    gateway_fixture gateway;
    gateway.activate_route(tested_route(request_kind::idempotent));
    add_bad_and_good_server(gateway, endless, plain_response("200 OK", "good").bytes_);
    const auto answer = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(answer, "good"));
    CHECK_FALSE(contains(answer, "xxxx"));
    CHECK(gateway.run_until([&gateway] { return endless_ended(gateway) == 1; }));
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("a stream that begins with interim answers, or has endless trailers or extensions, is resumed elsewhere")
{
    const std::string filler(4096, 'x');
    const auto endless = GENERATE_COPY(
        endless_answer("", interim_answer), endless_answer("", sealed_interim_answer),
        endless_answer(stream_events(1, 2) + "1;ext=", filler),
        endless_answer(stream_events(1, 2) + "0\r\n", "X-Trailer: " + filler + "\r\n"),
        endless_answer(stream_events(1, 2) + "FFFFFFFF\r\n", filler),
        endless_answer("HTTP/1.0 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n",
                       filler));
    gateway_fixture gateway;
    gateway.activate_route(tested_route(request_kind::streaming));
    add_bad_and_good_server(gateway, endless, stream_events(3, 4) + last_chunk);
    const auto answer = gateway.send_raw_request(request_text("POST"));
    CHECK(contains(answer, "data: e4"));
    CHECK(contains(answer, last_chunk));
    CHECK_FALSE(contains(answer, "xxxx"));
    CHECK(gateway.run_until([&gateway] { return endless_ended(gateway) == 1; }));
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("interim answers before the answer are skipped")
{
    // They were taken for the answer: the caller received no other one, or the request failed although it had run.
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming, request_kind::non_idempotent);
    const auto interim = GENERATE_COPY(std::string(interim_answer), std::string(sealed_interim_answer),
                                       interim_answer + sealed_interim_answer);
    const auto whole = kind == request_kind::streaming ? stream_events(1, 2) + last_chunk
                                                       : plain_response("200 OK", "data: e2").bytes_;
    gateway_fixture gateway;
    gateway.activate_route(tested_route(kind));
    gateway.add_server([&](const auto&) { return scripted_response{interim + whole, false}; });
    const auto answer = gateway.send_raw_request(request_text("POST"));
    CAPTURE(interim, whole, answer);
    CHECK(answer.starts_with("HTTP/1.1 200 OK"));
    CHECK(contains(answer, "data: e2"));
    CHECK(gateway.servers_[0]->received_requests_.size() == 1);
}

TEST_CASE("a body of small chunks with long extensions ends at the request's time limit")
{
    // The size limit counts the body only, so that the time limit has to end such an answer.
    const std::string filler(4096, 'x');
    gateway_fixture gateway;
    auto matched = tested_route(request_kind::idempotent);
    matched.timeout_ = milliseconds{1000};
    gateway.activate_route(matched);
    gateway.add_server(
        [&filler](const auto&) { return endless_answer(chunked_head, "1;ext=" + filler + "\r\nx\r\n"); });
    const auto sent_at = std::chrono::steady_clock::now();
    const auto answer = gateway.send_raw_request(request_text("GET"));
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds{2000});
    CHECK(gateway.run_until([&gateway] { return gateway.servers_[0]->endless_ended_ == 1; }));
}

TEST_CASE("bytes after a whole answer do not reach the caller, and the connection to the server is closed")
{
    const std::string filler(4096, 'x');
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming);
    const auto whole = kind == request_kind::streaming ? stream_events(1, 2) + last_chunk
                                                       : plain_response("200 OK", "data: e2").bytes_;
    gateway_fixture gateway;
    gateway.activate_route(tested_route(kind));
    gateway.add_server([&](const auto&) { return endless_answer(whole, filler); });
    const auto answer = gateway.send_raw_request(request_text("POST"));
    CHECK(contains(answer, "data: e2"));
    CHECK_FALSE(contains(answer, "xxxx"));
    CHECK(gateway.run_until([&gateway] { return gateway.servers_[0]->endless_ended_ == 1; }));
}

TEST_CASE("an answer that goes on after the caller has left is ended")
{
    // The route's time limit is 6 s; the answer of a caller that has left must end long before.
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming, request_kind::non_idempotent);
    const auto pause = GENERATE(milliseconds{0}, milliseconds{20});
    auto endless = kind == request_kind::streaming
                       ? endless_answer(stream_events(1, 2), stream_events(3, 3, false), pause)
                       : endless_answer(plain_head + "Content-Length: 100000000\r\n\r\n", "x", pause);
    gateway_fixture gateway;
    gateway.activate_route(tested_route(kind));
    gateway.add_server([&endless](const auto&) { return endless; });
    auto caller = send_request(gateway, request_text("POST"));
    REQUIRE(gateway.run_until([&gateway] { return gateway.servers_[0]->received_requests_.size() == 1; }));
    const auto leaves_at = std::chrono::steady_clock::now() + milliseconds{100};
    gateway.run_until([leaves_at] { return std::chrono::steady_clock::now() >= leaves_at; });
    caller.reset();
    const auto left_at = std::chrono::steady_clock::now();
    CHECK(gateway.run_until([&gateway] { return gateway.servers_[0]->endless_ended_ == 1; }));
    CHECK(std::chrono::steady_clock::now() - left_at < milliseconds{1500});
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_requests_ == 0; }));
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("an answer ends by the time limit when a further request hides that the caller has left")
{
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming);
    auto endless = kind == request_kind::streaming
                       ? endless_answer(stream_events(1, 2), stream_events(3, 3, false))
                       : endless_answer(plain_head + "Content-Length: 100000000\r\n\r\n", "x", milliseconds{20});
    gateway_fixture gateway;
    auto matched = tested_route(kind);
    matched.timeout_ = milliseconds{2000};
    gateway.activate_route(matched);
    gateway.add_server([&endless](const auto&) { return endless; });
    const auto sent_at = std::chrono::steady_clock::now();
    auto caller = send_request(gateway, request_text("POST"));
    REQUIRE(gateway.run_until([&gateway] { return gateway.servers_[0]->received_requests_.size() == 1; }));
    boost::asio::write(*caller, boost::asio::buffer(request_text("POST")));
    const auto leaves_at = std::chrono::steady_clock::now() + milliseconds{100};
    gateway.run_until([leaves_at] { return std::chrono::steady_clock::now() >= leaves_at; });
    caller.reset();
    CHECK(gateway.run_until([&gateway] { return gateway.servers_[0]->endless_ended_ == 1; }));
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_requests_ == 0; }));
    CHECK(std::chrono::steady_clock::now() - sent_at < matched.timeout_ + milliseconds{500});
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("two hundred open answers without end leave memory for the request of another caller")
{
    // Less than the 160 MB of the smallest VM.
    constexpr std::size_t max_growth_bytes = 120ULL * 1024 * 1024;
    const auto kind = GENERATE(request_kind::idempotent, request_kind::streaming);
    const std::string filler(16384, 'x');
    const milliseconds pause{100};
    const auto endless =
        GENERATE_COPY(endless_answer(plain_head + "Content-Length: 100000000000\r\n\r\n", filler, pause),
                      endless_answer(plain_head + "\r\n", filler, pause),
                      endless_answer(chunked_head + "FFFFFFFF\r\n", filler, pause),
                      endless_answer(plain_head, "X-Field: 1\r\n" + filler, pause));
    const auto good_answer = kind == request_kind::streaming ? stream_events(1, 2) + last_chunk
                                                             : plain_response("200 OK", "data: e2").bytes_;
    gateway_fixture gateway;
    auto matched = tested_route(kind);
    matched.max_attempts_ = 1;
    gateway.activate_route(matched);
    const auto server = gateway.add_server([&](const fake_server::request& message) {
        return message.find("X-Good") == message.end() ? endless : scripted_response{good_answer, false};
    });
    listed_server entry;
    entry.id_ = server_id{"server-0"};
    entry.service_ = service_id{"s"};
    entry.address_ = socket_address{server->address()};
    entry.slots_ = 2 * connections;
    upsert_listed_server(gateway.state_.directory_, entry, at_offset(10), std::chrono::steady_clock::now());
    const auto before = resident_bytes();
    std::size_t peak = before;
    std::vector<std::unique_ptr<tcp::socket>> callers;
    for (std::size_t index = 0; index < connections; ++index)
    {
        callers.push_back(send_request(gateway, request_text("GET")));
    }
    REQUIRE(gateway.run_until([&] { return server->received_requests_.size() == connections; }));
    const auto sent_at = std::chrono::steady_clock::now();
    const auto answer = gateway.send_raw_request(request_text("GET", "X-Good: 1\r\n"));
    CHECK(contains(answer, "data: e2"));
    CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds{2000});
    REQUIRE(gateway.run_until([&] {
        peak = std::max(peak, resident_bytes());
        return server->endless_ended_ == static_cast<int>(connections);
    }));
    CHECK(peak - before < max_growth_bytes);
    CHECK(gateway.state_.answer_buffers_.used_ == byte_count{0});
}

TEST_CASE("a call to another VM, an engine or the store ends when the response does not")
{
    const std::string filler(4096, 'x');
    const std::string chunked{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
    auto endless = GENERATE_COPY(
        endless_answer("", interim_answer), endless_answer("", repeated(interim_answer, 4096)), endless_answer("", "X"),
        endless_answer("HTTP/1.0 200 OK\r\n\r\n", filler), endless_answer(chunked, "1\r\nx\r\n"),
        endless_answer(chunked + "FFFFFFFF\r\n", filler), endless_answer(chunked + "0\r\n", "X-Trailer: 1\r\n"),
        endless_answer(chunked + "1\r\nx\r\n0\r\nX-Trailer: ", filler),
        endless_answer("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "x", milliseconds{50}));
    gateway_fixture gateway;
    const auto server = gateway.add_server([&endless](const auto&) { return endless; });
    std::optional<client_response> response;
    const auto call_once = [](http_client to, std::optional<client_response>& result) -> task<> {
        auto received = co_await call(to, "GET", "/", "", "", milliseconds{700});
        result = std::move(received);
    };
    const auto called_at = std::chrono::steady_clock::now();
    spawn(gateway.state_.executor_, "call",
          call_once(http_client{gateway.state_.executor_, server->address()}, response));
    REQUIRE(gateway.run_until([&response] { return response.has_value(); }));
    CHECK(response->status_ != 200);
    CHECK(std::chrono::steady_clock::now() - called_at < milliseconds{1500});
    CHECK(gateway.run_until([&server] { return server->endless_ended_ == 1; }));
}

TEST_CASE("a question to the status listener whose stated length is above its limit leaves the process running")
{
    // Other VMs fetch configurations here.
    const auto length =
        GENERATE(std::string{"2000000"}, std::string{"100000000000000"}, std::string{"18446744073709551614"});
    gateway_fixture gateway;
    auto acceptor = listen_on(gateway.state_.executor_, "127.0.0.1:0");
    spawn(gateway.state_.executor_, "serve_status",
          serve_status(gateway.state_.executor_, acceptor, [](const std::string&) {
              return status_response{200, "fine"};
          }));
    const auto ask = [&](const std::string& text) {
        tcp::socket caller(gateway.io_);
        caller.connect(acceptor.local_endpoint());
        boost::asio::write(caller, boost::asio::buffer(text));
        caller.non_blocking(true);
        std::string received;
        std::array<char, 4096> bytes{};
        (void)gateway.run_until([&] {
            boost::system::error_code failed;
            const auto size = caller.read_some(boost::asio::buffer(bytes), failed);
            received.append(bytes.data(), size);
            return failed && failed != boost::asio::error::would_block;
        });
        return received;
    };
    CHECK_FALSE(contains(ask("GET / HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n"), "fine"));
    CHECK(contains(ask("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "fine"));
}
