#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

route make_call_route()
{
    route matched;
    matched.kind_ = request_kind::non_idempotent;
    return matched;
}

/// The head of a request whose body has @a length bytes, and the first @a sent of them.
std::string begun_request(std::size_t length, std::size_t sent)
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q0\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
           std::string(sent, 'x');
}

task<> send_and_stay(boost::asio::ip::tcp::endpoint gateway, std::string bytes, std::shared_ptr<std::string> received)
{
    boost::asio::ip::tcp::socket socket(co_await boost::asio::this_coro::executor);
    boost::system::error_code failed;
    co_await socket.async_connect(gateway, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    std::array<char, 4096> part{};
    while (!failed)
    {
        const auto size = co_await socket.async_read_some(
            boost::asio::buffer(part), boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        received->append(part.data(), size);
    }
}

}  // namespace

// Guards against stalled bodies that keep the memory for bodies, and against a refusal that is not true.
TEST_CASE("a stalled body is refused for one that needs its memory, and its request has not run")
{
    gateway_fixture gateway;
    gateway.activate_route(make_call_route());
    gateway.state_.body_memory_.limit_ = byte_count{1024ULL * 1024};
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "done"); });
    const auto stalled = std::make_shared<std::string>();
    constexpr std::size_t large = 700ULL * 1024;
    spawn(gateway.state_.executor_, "send_and_stay",
          send_and_stay(gateway.acceptor_.local_endpoint(), begun_request(large, large - 1), stalled));
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.body_memory_.used_ > byte_count{600ULL * 1024}; }));
    const auto answer = gateway.send_raw_request(request_text("POST", "", std::string(large, 'y')));
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
    REQUIRE(gateway.run_until([&stalled] { return !stalled->empty(); }));
    CHECK_THAT(*stalled, Catch::StartsWith("HTTP/1.1 503"));
    CHECK_THAT(*stalled, Catch::Contains("Retry-After: ") && Catch::Contains("Connection: close") &&
                             Catch::Contains("X-Id: q0") && Catch::Contains("memory_exhausted"));
    CHECK(server->received_requests_.size() == 1);
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.body_memory_.used_ == byte_count{0}; }));
}

TEST_CASE("a body arrives unchanged at the server, with a length and in chunks")
{
    gateway_fixture gateway;
    gateway.activate_route(make_call_route());
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "done"); });
    std::string body(100'000, '\0');
    std::ranges::generate(body, [value = 0U]() mutable { return static_cast<char>('a' + (value++ * 7) % 26); });
    (void)gateway.send_raw_request(request_text("POST", "", body));
    std::string chunks;
    for (std::size_t from = 0; from < body.size(); from += 9999)
    {
        const auto part = body.substr(from, 9999);
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16);
        chunks += std::string(size.data(), end.ptr) + "\r\n" + part + "\r\n";
    }
    (void)gateway.send_raw_request(
        "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunks + last_chunk);
    REQUIRE(server->received_requests_.size() == 2);
    CHECK(server->received_requests_[0].body() == body);
    CHECK(server->received_requests_[1].body() == body);
    CHECK(gateway.state_.body_memory_.used_ == byte_count{0});
}

// Guards against callers that use up the descriptors of the process with connections on which nothing arrives.
TEST_CASE("a new caller finds a place when all others are idle")
{
    gateway_fixture gateway;
    gateway.activate_route(make_call_route());
    gateway.state_.caller_connections_.limit_ = 8;
    (void)gateway.add_server([](const auto&) { return plain_response("200 OK", "done"); });
    for (int caller = 0; caller < 20; ++caller)
    {
        spawn(gateway.state_.executor_, "send_and_stay",
              send_and_stay(gateway.acceptor_.local_endpoint(), "", std::make_shared<std::string>()));
    }
    const auto answer = gateway.send_raw_request(request_text("POST", "", "text"));
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
    CHECK(gateway.state_.caller_connections_.connections_.size() <= 8);
}
