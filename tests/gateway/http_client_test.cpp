#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

namespace http = boost::beast::http;

std::string response_text(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A service that answers each request on a connection with its target, and sends each answer a second time 50 ms
/// later.
task<> serve_answers_twice(boost::asio::ip::tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code failed;
    while (!failed)
    {
        fake_server::request message;
        co_await http::async_read(socket, buffer, message,
                                  boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (failed)
        {
            break;
        }
        const auto text = response_text(std::string(message.target()));
        co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        co_await sleep_for(milliseconds{50});
        co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    }
}

task<> accept_and_answer_twice(boost::asio::ip::tcp::acceptor& acceptor, executor where)
{
    while (acceptor.is_open())
    {
        boost::system::error_code failed;
        auto socket = co_await acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (failed)
        {
            co_return;
        }
        spawn(where, "serve_answers_twice", serve_answers_twice(std::move(socket)));
    }
}

/// Calls @a server and waits for the end of the call.
client_response call_once(gateway_fixture& gateway, const fake_server& server)
{
    std::optional<client_response> response;
    const auto call_server = [](http_client to, std::optional<client_response>& result) -> task<> {
        auto received = co_await call(to, "GET", "/", "", "", milliseconds{700});
        result = std::move(received);
    };
    spawn(gateway.state_.executor_, "call",
          call_server(http_client{gateway.state_.executor_, server.address()}, response));
    REQUIRE(gateway.run_until([&response] { return response.has_value(); }));
    return std::move(*response);
}

}  // namespace

TEST_CASE("a call does not receive the late second copy of the response to an earlier call")
{
    boost::asio::io_context io{1};
    auto acceptor = listen_on(io.get_executor(), "127.0.0.1:0");
    spawn(io.get_executor(), "accept", accept_and_answer_twice(acceptor, io.get_executor()));
    const http_client client{io.get_executor(), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
    std::vector<std::string> received;
    const auto call_three_times = [](http_client to, std::vector<std::string>& bodies) -> task<> {
        for (int number = 0; number < 3; ++number)
        {
            const auto response = co_await call(to, "GET", "/" + std::to_string(number), "", "", milliseconds{2000});
            bodies.push_back(response.body_);
            co_await sleep_for(milliseconds{100});
        }
    };
    spawn(io.get_executor(), "call", call_three_times(client, received));
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (received.size() < 3 && std::chrono::steady_clock::now() < deadline)
    {
        io.run_one_for(milliseconds{20});
    }
    CHECK(received == std::vector<std::string>{"/0", "/1", "/2"});
}

TEST_CASE("a call whose response exceeds its limit fails within its timeout")
{
    gateway_fixture gateway;
    const std::string filler(4096, 'x');
    const auto endless =
        GENERATE_COPY(scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", false, filler},
                      scripted_response{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;e=", false, filler},
                      scripted_response{"HTTP/1.1 200 OK\r\nX-Long: ", false, filler},
                      scripted_response{"HTTP/1.1 200 OK\r\nX-Slow: ", false, "x", milliseconds{100}});
    const auto server = gateway.add_server([&endless](const auto&) { return scripted_response(endless); });
    CHECK(call_once(gateway, *server).status_ == 0);
    CHECK(gateway.run_until([&server] { return server->endless_ended_ == 1; }));
}

TEST_CASE("a call fails when its response is malformed, cut short, or not the last one")
{
    // Nothing that such a response says may hold: neither that an engine refused an order nor what the store contains.
    const std::string length{"Content-Length: 2\r\n\r\n{}"};
    const auto response = GENERATE_COPY(
        scripted_response{"HTTP/1.1 000 None\r\n" + length, true},
        scripted_response{"HTTP/1.1 099 None\r\n" + length, true},
        scripted_response{"HTTP/1.1 101 Switching Protocols\r\n\r\n", true},
        scripted_response{"HTTP/1.1 600 None\r\n" + length, true},
        scripted_response{"HTTP/1.1 409 Conflict\r\nContent-Length : 1\r\n" + length, true},
        scripted_response{"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length, true},
        scripted_response{"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + length, true},
        scripted_response{"HTTP/1.1 200 OK\r\nX-First: 1\r\n X-Odd: 1\r\n" + length, true},
        scripted_response{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
                          true},
        scripted_response{.bytes_ = "HTTP/1.1 200 OK\r\n\r\n{", .reset_ = true});
    CAPTURE(response.bytes_);
    gateway_fixture gateway;
    const auto server = gateway.add_server([&response](const auto&) { return scripted_response(response); });
    const auto received = call_once(gateway, *server);
    CHECK(received.status_ == 0);
    CHECK(received.body_.empty());
    CHECK(received.head_.begin() == received.head_.end());
}

TEST_CASE("a call receives sound responses with unusual statuses, fields and ends")
{
    const auto status = GENERATE(as<std::string>{}, "200 OK", "299 ", "409 Conflict", "599 ");
    const auto rest = GENERATE(as<std::string>{}, "Content-Length: 2\r\n\r\n{}", "!#$%&'*+-.^_`|~9: \xe9\t1\r\n\r\n{}",
                               "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: 1\r\n\r\n");
    gateway_fixture gateway;
    const auto server = gateway.add_server([&](const auto&) {
        return scripted_response{"HTTP/1.1 " + status + "\r\n" + rest, false};
    });
    const auto received = call_once(gateway, *server);
    CHECK(std::to_string(received.status_) == status.substr(0, 3));
    CHECK(received.body_ == "{}");
}
