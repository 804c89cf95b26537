#include <fstream>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "runtime/peer_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

task<int> call_error(std::string url, milliseconds timeout = milliseconds{100})
{
    http_call call;
    call.base_url_ = std::move(url);
    call.timeout_ = timeout;
    try
    {
        (void)co_await make_call(std::move(call));
    }
    catch (const connection_error& problem)
    {
        co_return problem.id();
    }
    co_return 0;
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

/// A server that sends @a start and then @a repeated until the caller closes, but at most @a max_bytes.
task<> send_without_end(boost::asio::ip::tcp::acceptor& acceptor, std::string start, std::string repeated,
                        std::size_t max_bytes, std::shared_ptr<std::size_t> sent)
{
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    boost::system::error_code failed;
    auto socket = co_await acceptor.async_accept(redirect_error(use_awaitable, failed));
    co_await boost::asio::async_write(socket, boost::asio::buffer(start), redirect_error(use_awaitable, failed));
    while (!failed && *sent < max_bytes)
    {
        *sent += co_await boost::asio::async_write(socket, boost::asio::buffer(repeated),
                                                   redirect_error(use_awaitable, failed));
    }
    // Silent from here on, as a server that has sent part of an answer.
    char byte = 0;
    co_await socket.async_read_some(boost::asio::buffer(&byte, 1), redirect_error(use_awaitable, failed));
    while (!failed)
    {
        co_await socket.async_read_some(boost::asio::buffer(&byte, 1), redirect_error(use_awaitable, failed));
    }
}

}  // namespace

TEST_CASE("a call whose answer has no end is ended before it fills the memory")
{
    // A faulty engine or log service must not fill the memory of the process that called it.
    using boost::asio::ip::tcp;
    constexpr std::size_t offered_bytes = 256ULL * 1024 * 1024;
    constexpr std::size_t max_growth_bytes = 64ULL * 1024 * 1024;
    const std::string filler(65'536, 'x');
    const std::string start =
        GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n",
                 "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=");
    boost::asio::io_context io(1);
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    auto sent = std::make_shared<std::size_t>(0);
    boost::asio::co_spawn(io, send_without_end(acceptor, start, filler, offered_bytes, sent), boost::asio::detached);
    const auto url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto before = resident_bytes();
    std::size_t peak = before;
    auto end = std::make_shared<task_end<int>>();
    boost::asio::co_spawn(io, record_end(call_error(url, milliseconds{3000}), end), boost::asio::detached);
    REQUIRE(run_until(io, [&] {
        peak = std::max(peak, resident_bytes());
        return end->ended();
    }));
    CAPTURE(start, *sent, peak - before);
    CHECK(end->value_ != 0);
    CHECK(peak - before < max_growth_bytes);
}

TEST_CASE("a call that was given up and fails later does not end the process")
{
    // pplx traps when a task's exception is never looked at: a silent server that closes late once ended the process.
    using boost::asio::ip::tcp;
    boost::asio::io_context io(1);
    auto acceptor = std::make_unique<tcp::acceptor>(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto url = "http://127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
    for (int round = 0; round < 5; ++round)
    {
        auto end = std::make_shared<task_end<int>>();
        boost::asio::co_spawn(io, record_end(call_error(url), end), boost::asio::detached);
        REQUIRE(run_until(io, [end] { return end->ended(); }));
        REQUIRE(end->value_ == http_timed_out);
    }
    acceptor.reset();
    // The cancelled exchanges end on the library's threads; a call to the closed port goes through the same pool.
    auto refused = std::make_shared<task_end<int>>();
    boost::asio::co_spawn(io, record_end(call_error(url), refused), boost::asio::detached);
    REQUIRE(run_until(io, [refused] { return refused->ended(); }));
    REQUIRE(refused->value_ == http_connect_failed);
}
