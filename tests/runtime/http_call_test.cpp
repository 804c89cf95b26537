#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "runtime/peer_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::testing;

namespace
{

task<int> call_error(std::string url)
{
    http_call call;
    call.base_url_ = std::move(url);
    call.timeout_ = milliseconds{100};
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

}  // namespace

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
