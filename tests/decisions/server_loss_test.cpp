#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point start{std::chrono::hours{1}};

listed_server make_server(const std::string& id, const std::string& address, std::uint64_t started_at_ms)
{
    listed_server server;
    server.id_ = server_id{id};
    server.address_ = socket_address{address};
    server.started_at_ms_ = started_at_ms;
    return server;
}

server_directory make_directory(const std::vector<listed_server>& servers)
{
    server_directory directory;
    std::uint64_t offset = 0;
    for (const auto& server : servers)
    {
        upsert_listed_server(directory, server, at_offset(++offset), start);
    }
    return directory;
}

/// A send that waits for its first event, which is late, from a server that has been silent for 5 s.
observed_send silent_send(lifetime_listing listing = lifetime_listing::listed)
{
    observed_send send;
    send.listing_ = listing;
    send.reserves_memory_ = true;
    send.first_event_due_ = start - std::chrono::seconds{1};
    send.silence_ = std::chrono::seconds{5};
    return send;
}

attempt_history history_of(const std::vector<connection_attempt>& attempts, bool is_list_current = true)
{
    attempt_history history;
    auto began_at = start - std::chrono::seconds{4};
    for (const auto attempt : attempts)
    {
        record_attempt(history, attempt, is_list_current, began_at);
        began_at += milliseconds{10};
    }
    return history;
}

std::vector<connection_attempt> unanswered(std::size_t count)
{
    std::vector<connection_attempt> attempts(count, connection_attempt::unanswered);
    return attempts;
}

send_step step_of(const observed_send& send, const attempt_history& history)
{
    return decide_on_send(send, history, start).step_;
}

}  // namespace

TEST_CASE("the listing of a lifetime follows its id, its start and its address")
{
    const auto server = make_server("a", "x:1", 100);
    CHECK(listing_of(make_directory({server}), server) == lifetime_listing::listed);
    CHECK(listing_of(make_directory({}), server) == lifetime_listing::unlisted);
    CHECK(listing_of(make_directory({make_server("a", "x:1", 101)}), server) == lifetime_listing::replaced);
    CHECK(listing_of(make_directory({make_server("a", "x:2", 101)}), server) == lifetime_listing::replaced);
    CHECK(listing_of(make_directory({make_server("a", "x:2", 100)}), server) == lifetime_listing::unlisted);
    CHECK(listing_of(make_directory({make_server("b", "x:1", 101)}), server) == lifetime_listing::replaced);
    CHECK(listing_of(make_directory({server, make_server("b", "x:2", 101)}), server) == lifetime_listing::listed);
}

TEST_CASE("an old entry at the address of a server is taken for its successor")
{
    // Entries of ended servers stay listed for some seconds.
    const auto server = make_server("b", "x:1", 200);
    CHECK(listing_of(make_directory({make_server("a", "x:1", 100), server}), server) == lifetime_listing::listed);
}

TEST_CASE("a start time that is not known proves a restart")
{
    const auto known = make_server("a", "x:1", 100);
    const auto unknown = make_server("a", "x:1", 0);
    CHECK(listing_of(make_directory({unknown}), known) == lifetime_listing::unlisted);
    CHECK(listing_of(make_directory({known}), unknown) == lifetime_listing::unlisted);
}

TEST_CASE("a send to a replaced server ends as soon as the bytes that had arrived are relayed")
{
    auto send = silent_send(lifetime_listing::replaced);
    send.reserves_memory_ = false;
    CHECK(step_of(send, {}) == send_step::end);
    send.silence_ = milliseconds{100};
    const auto decision = decide_on_send(send, {}, start);
    CHECK(decision.step_ == send_step::wait);
    CHECK(decision.delay_ > milliseconds{0});
}

TEST_CASE("the silence of a listed server ends a send or is probed without a reservation")
{
    auto send = silent_send();
    send.reserves_memory_ = false;
    CHECK(step_of(send, {}) == send_step::stop);
    send = silent_send();
    send.begun_ = true;
    CHECK(step_of(send, {}) == send_step::stop);
    CHECK(step_of(silent_send(), {}) == send_step::probe);
}

TEST_CASE("a server is probed before its first event is late")
{
    auto send = silent_send();
    send.first_event_due_ = start + milliseconds{700};
    const auto decision = decide_on_send(send, {}, start);
    CHECK(decision.step_ == send_step::wait);
    CHECK(decision.delay_ == milliseconds{700});
    CHECK(probe_due_time(start, milliseconds{1000}) > start + milliseconds{1000});
}

// Guards against ending a send on one answer, on none, or while the memory is used.
TEST_CASE("unused memory ends a send before two engines' answers in a row say so, or although it is used")
{
    auto send = silent_send();
    send.reserves_memory_ = true;
    send.max_unused_ = milliseconds{4000};
    memory_checks checks;
    send.reserved_for_ = milliseconds{1500};
    CHECK(decide_on_memory(send, checks, start).step_ == send_step::wait);
    CHECK(decide_on_memory(send, checks, start).delay_ == milliseconds{500});
    send.reserved_for_ = milliseconds{9000};
    CHECK(decide_on_memory(send, checks, start).step_ == send_step::check_memory);
    record_memory_check(checks, false, start);
    CHECK(decide_on_memory(send, checks, start).step_ == send_step::wait);
    record_memory_check(checks, std::nullopt, start);
    CHECK(checks.unused_in_row_ == 0);
    record_memory_check(checks, false, start);
    record_memory_check(checks, false, start);
    CHECK(decide_on_memory(send, checks, start).step_ == send_step::end);
    send.reserved_for_ = milliseconds{3900};
    CHECK(decide_on_memory(send, checks, start).step_ == send_step::wait);
    record_memory_check(checks, true, start);
    send.reserved_for_ = milliseconds{9000};
    CHECK(decide_on_memory(send, checks, start).step_ == send_step::stop);
}

TEST_CASE("of two decisions on a send the one that ends it comes first, then the earlier one")
{
    const send_decision end{send_step::end, {}, "gone"};
    const send_decision soon{send_step::wait, milliseconds{10}, ""};
    const send_decision late{send_step::wait, milliseconds{20}, ""};
    CHECK(more_urgent(soon, end).step_ == send_step::end);
    CHECK(more_urgent(late, soon).delay_ == milliseconds{10});
    CHECK(more_urgent({}, late).step_ == send_step::wait);
    CHECK(more_urgent({send_step::probe, {}, ""}, soon).step_ == send_step::probe);
}

TEST_CASE("a removed server that makes progress is probed")
{
    auto send = silent_send(lifetime_listing::unlisted);
    send.silence_ = milliseconds{400};
    CHECK(step_of(send, {}) == send_step::wait);
    send.silence_ = milliseconds{1500};
    CHECK(step_of(send, {}) == send_step::probe);
}

TEST_CASE("a refused connection ends a send to a silent server")
{
    const auto listing = GENERATE(lifetime_listing::listed, lifetime_listing::unlisted);
    CHECK(step_of(silent_send(listing), history_of({connection_attempt::refused})) == send_step::end);
}

TEST_CASE("a leaving server that accepts no more connections loses the requests that it ends")
{
    auto send = silent_send(lifetime_listing::unlisted);
    send.leaving_ = true;
    CHECK(step_of(send, history_of({connection_attempt::refused})) == send_step::probe);
    CHECK(step_of(send, history_of(unanswered(2))) == send_step::end);
}

TEST_CASE("attempts without an answer end a send only when there are several in a row")
{
    CHECK(step_of(silent_send(), history_of(unanswered(3))) == send_step::probe);
    CHECK(step_of(silent_send(), history_of(unanswered(4))) == send_step::end);
    CHECK(step_of(silent_send(lifetime_listing::unlisted), history_of(unanswered(1))) == send_step::probe);
    CHECK(step_of(silent_send(lifetime_listing::unlisted), history_of(unanswered(2))) == send_step::end);
    auto interrupted = unanswered(5);
    interrupted[2] = connection_attempt::accepted;
    CHECK(step_of(silent_send(), history_of(interrupted)) == send_step::probe);
}

TEST_CASE("a VM that cannot follow the server list ends sends because it reaches no server")
{
    CHECK(step_of(silent_send(), history_of(unanswered(8), false)) == send_step::probe);
}

TEST_CASE("attempts that this VM could not make end a send")
{
    CHECK(step_of(silent_send(), history_of(std::vector(8, connection_attempt::not_made))) == send_step::probe);
}

TEST_CASE("failed attempts hold although the server has sent something since")
{
    auto history = history_of({connection_attempt::refused});
    discard_outdated(history, milliseconds{5000}, start);
    CHECK(step_of(silent_send(), history) == send_step::end);
    discard_outdated(history, milliseconds{1500}, start);
    CHECK(step_of(silent_send(), history) == send_step::probe);
}

TEST_CASE("a silent server that accepts connections gets them without a bound")
{
    attempt_history history;
    auto now = start;
    int steps = 0;
    for (; steps < 200; ++steps)
    {
        auto send = silent_send();
        const auto decision = decide_on_send(send, history, now);
        if (decision.step_ == send_step::stop)
        {
            break;
        }
        REQUIRE(decision.step_ != send_step::end);
        if (decision.step_ == send_step::probe)
        {
            record_attempt(history, connection_attempt::accepted, true, now);
        }
        now += decision.delay_;
    }
    CHECK(steps < 200);
    CHECK(history.made_ == 16);
}
