#include <catch2/catch.hpp>

#include "cornelstall/runtime.hpp"

using namespace cornelstall;

TEST_CASE("a task that ends with an exception is started again, and one that returns is not")
{
    boost::asio::io_context io{1};
    int runs = 0;
    const auto fail_twice = [](int& count) -> task<> {
        ++count;
        if (count == 1)
        {
            throw std::runtime_error("unexpected input");
        }
        if (count == 2)
        {
            throw 17;  // NOLINT(hicpp-exception-baseclass): an exception of an unknown type
        }
        co_return;
    };
    spawn_restarting(io.get_executor(), "fail_twice", [&fail_twice, &runs] { return fail_twice(runs); });
    io.run_for(milliseconds{2000});
    CHECK(runs == 3);
}
