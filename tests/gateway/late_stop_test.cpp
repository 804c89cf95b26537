#include <sys/wait.h>
#include <unistd.h>

#include <future>
#include <optional>
#include <ranges>

#include <catch2/catch.hpp>

#include "gateway/stop_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

/// A request on a connection that the caller keeps open.
const std::string kept_request{"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\n\r\n"};
/// A request that is passed on late in a stop, because it ends before the process does.
const std::string short_request{"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nX-Left: 400\r\n\r\n"};
const std::string whole_answer{"whole answer"};

gateway_settings settings_with_limit(milliseconds stop_limit)
{
    auto settings = loopback_settings();
    settings.stop_limit_ = stop_limit;
    return settings;
}

/// A route to engines that answer within some 100 ms by forecast, whose streams can be resumed.
std::shared_ptr<const routing_table> engine_route()
{
    route matched;
    matched.kind_ = request_kind::streaming;
    matched.resumable_ = true;
    matched.host_ = "h";
    matched.path_prefix_ = "/r/";
    matched.timeout_ = milliseconds{20'000};
    matched.services_ = {{service_id{"s"}, 1.0}};
    engine_profile engine;
    engine.slots_ = 16;
    engine.kv_capacity_ = token_count{400'000};
    engine.prefill_tokens_per_ms_ = 100;
    engine.decode_steps_per_pass_ = 34;
    engine.mean_output_tokens_ = token_count{100};
    auto table = std::make_shared<routing_table>();
    table->version_ = configuration_version{1};
    add_route(*table, matched);
    table->services_[service_id{"s"}] = service_description{service_id{"s"}, "/health", 100, engine};
    return table;
}

}  // namespace

TEST_CASE("a stop passes on a late request by a forecast and cuts its stream at the end")
{
    // Callers with an open connection can send until it is closed; another VM can take their requests at once.
    running_gateway gateway(settings_with_limit(milliseconds{6000}), engine_route(), {stream_events(1, 2), true});
    blocking_caller caller(gateway.address());
    gateway.stop();
    gateway.sleep_until(milliseconds{2900});
    caller.send(kept_request);
    const auto answer = caller.receive();
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 503"));
    CHECK(is_whole(answer));
}

TEST_CASE("a stop closes a connection whose request arrived while the loop was blocked")
{
    // Idle connections are closed from 3.1 s after the signal without a look at what the kernel holds for them.
    running_gateway gateway(settings_with_limit(milliseconds{5000}), request_kind::idempotent,
                            plain_response("200 OK", whole_answer));
    blocking_caller caller(gateway.address());
    gateway.stop();
    gateway.run_at(milliseconds{2900}, [&] {
        // Runs after the poll that finds the stop's timer expired, and before that timer's handler.
        gateway.run_next([&] {
            std::this_thread::sleep_for(milliseconds{100});
            caller.send(short_request);
            std::this_thread::sleep_for(milliseconds{300});
        });
        std::this_thread::sleep_for(milliseconds{150});
    });
    gateway.wait_for_end();
    CHECK_THAT(caller.receive(), Catch::EndsWith(whole_answer));
}

TEST_CASE("a stop closes connections whose requests arrived together while the loop was blocked")
{
    // One poll of the kernel reports 128 events; the connections beyond them count as idle.
    running_gateway gateway(settings_with_limit(milliseconds{5000}), request_kind::idempotent,
                            plain_response("200 OK", whole_answer));
    std::vector<std::unique_ptr<blocking_caller>> callers(160);
    std::ranges::generate(callers, [&gateway] { return std::make_unique<blocking_caller>(gateway.address()); });
    gateway.stop();
    gateway.run_at(milliseconds{2950}, [&callers] {
        std::this_thread::sleep_for(milliseconds{150});
        std::ranges::for_each(callers, [](const auto& caller) { caller->send(short_request); });
        std::this_thread::sleep_for(milliseconds{250});
    });
    gateway.wait_for_end();
    const auto answered =
        std::ranges::count_if(callers, [](const auto& caller) { return caller->receive().ends_with(whole_answer); });
    CHECK(answered == 160);
}

TEST_CASE("the idle deadline does not close a connection whose request arrived while the loop was blocked")
{
    // Callers reuse a connection for up to four fifths of the idle limit; the loop may be late beyond its end.
    constexpr milliseconds idle_limit{1000};
    gateway_fixture fixture;
    route matched;
    matched.kind_ = request_kind::idempotent;
    fixture.activate_route(matched);
    auto table = std::make_shared<routing_table>(*fixture.state_.table_);
    table->version_ = configuration_version{2};
    table->limits_.idle_timeout_ = idle_limit;
    activate_table(fixture.state_, table);
    fixture.add_server([](const auto&) { return plain_response("200 OK", whole_answer); });
    blocking_caller caller(fixture.acceptor_.local_endpoint());
    REQUIRE(fixture.run_until([&fixture] { return fixture.state_.idle_callers_.size() == 1; }));
    std::this_thread::sleep_for(idle_limit * 4 / 5);
    caller.send(request_text("GET"));
    std::this_thread::sleep_for(milliseconds{500});
    auto answer = std::async(std::launch::async, [&caller] { return caller.receive(); });
    fixture.run_until([&answer] { return answer.wait_for(milliseconds{0}) == std::future_status::ready; });
    CHECK_THAT(answer.get(), Catch::EndsWith(whole_answer));
}

TEST_CASE("a stop loses the request of the only caller that waits in the accept queue")
{
    // The task of a connection that was just accepted has not run when the stop looks for open callers.
    running_gateway gateway(settings_with_limit(milliseconds{5000}), request_kind::idempotent,
                            plain_response("200 OK", whole_answer));
    gateway.stop();
    std::optional<blocking_caller> caller;
    gateway.run_at(milliseconds{2450}, [&] {
        std::this_thread::sleep_for(milliseconds{100});
        caller.emplace(gateway.address());
        caller->send(short_request);
        std::this_thread::sleep_for(milliseconds{300});
    });
    gateway.wait_for_end();
    REQUIRE(caller);
    CHECK_THAT(caller->receive(), Catch::EndsWith(whole_answer));
}

TEST_CASE("a stop whose signal is handled late gives the final answers within its limit")
{
    // The limit counts from the signal; what is open when it has passed is killed without an answer.
    running_gateway gateway(settings_with_limit(milliseconds{3600}), request_kind::non_idempotent, {"", true});
    blocking_caller caller(gateway.address());
    caller.send(kept_request);
    std::this_thread::sleep_for(milliseconds{100});
    gateway.run_next([&gateway] {
        gateway.stop();
        std::this_thread::sleep_for(milliseconds{600});
    });
    CHECK_THAT(caller.receive(), Catch::StartsWith("HTTP/1.1 504"));
    CHECK(std::chrono::steady_clock::now() - gateway.stopped_at_.load() < milliseconds{3600});
}

TEST_CASE("a stop lasts longer than its limit because the signal was handled late")
{
    // The platform kills the process when the limit has passed, before it has ended its connections in order.
    running_gateway gateway(settings_with_limit(milliseconds{3600}), request_kind::streaming,
                            {stream_events(1, 2), true});
    blocking_caller caller(gateway.address());
    caller.send(kept_request);
    std::this_thread::sleep_for(milliseconds{100});
    gateway.run_next([&gateway] {
        gateway.stop();
        std::this_thread::sleep_for(milliseconds{600});
    });
    gateway.wait_for_end();
    CHECK(gateway.ended_at_ - gateway.stopped_at_.load() < milliseconds{3600});
}

TEST_CASE("a stop cuts requests without an answer because the loop was late near its end")
{
    // The step that gives the final answers is left out when its whole time has passed.
    running_gateway gateway(settings_with_limit(milliseconds{4000}), request_kind::non_idempotent, {"", true});
    blocking_caller caller(gateway.address());
    caller.send(kept_request);
    std::this_thread::sleep_for(milliseconds{100});
    gateway.stop();
    gateway.run_at(milliseconds{3030}, [] { std::this_thread::sleep_for(milliseconds{600}); });
    CHECK_THAT(caller.receive(), Catch::StartsWith("HTTP/1.1 504"));
    CHECK(std::chrono::steady_clock::now() - gateway.stopped_at_.load() < milliseconds{4000});
}

TEST_CASE("a stop answers requests whose body in chunks arrives late")
{
    // A body may still arrive when the listening socket and idle connections are closed, and after the final answers.
    running_gateway gateway(settings_with_limit(milliseconds{5000}), request_kind::idempotent,
                            plain_response("200 OK", whole_answer));
    const std::string begin{
        "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nX-Left: 1400\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"};
    blocking_caller in_time(gateway.address());
    blocking_caller too_late(gateway.address());
    gateway.stop();
    gateway.run_at(milliseconds{2500}, [&] {
        in_time.send(begin);
        too_late.send(begin);
    });
    gateway.run_at(milliseconds{3400}, [&] { in_time.send("2\r\nde\r\n" + last_chunk); });
    gateway.run_at(milliseconds{4300}, [&] { too_late.send(last_chunk); });
    gateway.wait_for_end();
    CHECK_THAT(in_time.receive(), Catch::EndsWith(whole_answer));
    const auto refused = too_late.receive();
    CHECK_THAT(refused, Catch::StartsWith("HTTP/1.1 503"));
    CHECK(is_whole(refused));
}

TEST_CASE("the end of a stop does not reset a connection that holds bytes nobody has read")
{
    // A reset discards what the caller has not received yet of the final answer.
    running_gateway gateway(settings_with_limit(milliseconds{3200}), request_kind::non_idempotent, {"", true});
    blocking_caller caller(gateway.address());
    caller.send(kept_request + kept_request);
    std::this_thread::sleep_for(milliseconds{100});
    gateway.stop();
    gateway.run_at(milliseconds{2250}, [&caller] { caller.send(kept_request); });
    gateway.wait_for_end();
    const auto answer = caller.receive();
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 504"));
    CHECK(is_whole(answer));
    CHECK(caller.failed_ == boost::asio::error::eof);
}

TEST_CASE("a stop signal at the start of the process kills it")
{
    // Callers' connections are accepted by the kernel before the signal handler is there.
    const auto settings = settings_with_limit(milliseconds{3200});
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0)
    {
        std::signal(SIGTERM, SIG_DFL);  // the test framework has a handler
        gateway_callbacks callbacks;
        callbacks.on_start_ = [](gateway_state&) {
            std::raise(SIGTERM);
        };
        callbacks.on_reload_ = [](gateway_state&) {
        };
        std::_Exit(run_gateway(settings, test_protocol(), callbacks));
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(status == 0);
}

TEST_CASE("a second stop signal and a reload beside it do not shorten the stop")
{
    // A signal without a handler ends the process at once, with all open requests.
    running_gateway gateway(settings_with_limit(milliseconds{3600}), request_kind::non_idempotent, {"", true});
    blocking_caller caller(gateway.address());
    caller.send(kept_request);
    std::this_thread::sleep_for(milliseconds{100});
    std::raise(SIGHUP);
    gateway.stop();
    std::raise(SIGHUP);
    gateway.sleep_until(milliseconds{300});
    std::raise(SIGTERM);
    CHECK_THAT(caller.receive(), Catch::StartsWith("HTTP/1.1 504"));
    gateway.wait_for_end();
    CHECK(gateway.reloads_ >= 1);
    CHECK(gateway.exit_code_ == 0);
    CHECK(gateway.ended_at_ - gateway.stopped_at_.load() > milliseconds{2600});
}

TEST_CASE("a caller that shuts down its sending side after the request gets no answer")
{
    // Reading the end of the caller's data is taken for the end of its connection.
    gateway_fixture fixture;
    route matched;
    matched.kind_ = request_kind::idempotent;
    fixture.activate_route(matched);
    fixture.add_server([](const auto&) {
        scripted_response response;
        response.later_ = plain_response("200 OK", whole_answer).bytes_;
        response.silence_ = milliseconds{200};
        return response;
    });
    blocking_caller caller(fixture.acceptor_.local_endpoint());
    caller.send(request_text("GET"));
    caller.socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    auto answer = std::async(std::launch::async, [&caller] { return caller.receive(); });
    fixture.run_until([&answer] { return answer.wait_for(milliseconds{0}) == std::future_status::ready; });
    CHECK_THAT(answer.get(), Catch::EndsWith(whole_answer));
}
