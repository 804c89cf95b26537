#include <catch2/catch.hpp>

#include "cornelstall/standins.hpp"
#include "process/promises.hpp"

using namespace cornelstall;
using namespace cornelstall::soak;

namespace
{

constexpr int events = 3;
const time_point start{std::chrono::hours{1}};
const promise_bounds bounds;

sent_request request_of(call_kind kind, unsigned status)
{
    sent_request request;
    request.id_ = "q1";
    request.kind_ = kind;
    request.key_ = "k";
    request.path_ = "/p/q1";
    request.body_ = "text";
    request.sent_at_ = start;
    request.ended_at_ = start + milliseconds{50};
    request.status_ = status;
    request.whole_ = true;
    request.seal_ = "s-1.q1";
    request.answer_ = "TEXT";
    return request;
}

server_note note_of(const std::string& what, milliseconds after = milliseconds{10})
{
    server_note note;
    note.at_ = start + after;
    note.server_ = "s-1";
    note.request_ = "q1";
    note.what_ = what;
    note.path_ = "/p/q1";
    return note;
}

observations seen_of(const sent_request& request, const std::vector<server_note>& notes)
{
    observations seen;
    seen.requests_ = {request};
    seen.notes_ = notes;
    return seen;
}

std::size_t findings_of(const observations& seen)
{
    return check_promises(seen, bounds, events, start + std::chrono::minutes{1}).size();
}

}  // namespace

TEST_CASE("a kept promise gives no finding")
{
    CHECK(findings_of(seen_of(request_of(call_kind::once, 200), {note_of("run"), note_of("done")})) == 0);
}

TEST_CASE("a second run of a call that must run once is found")
{
    CHECK(check_runs_once(seen_of(request_of(call_kind::once, 200), {note_of("run"), note_of("run")})).size() == 1);
    CHECK(check_runs_once(seen_of(request_of(call_kind::stream, 200), {note_of("run"), note_of("run")})).size() == 1);
    CHECK(check_runs_once(seen_of(request_of(call_kind::resumable, 200), {note_of("run"), note_of("run")})).empty());
}

TEST_CASE("a refusal of a call that ran is found")
{
    CHECK(check_refusals_are_true(seen_of(request_of(call_kind::once, 503), {note_of("run")})).size() == 1);
    CHECK(check_refusals_are_true(seen_of(request_of(call_kind::once, 503), {note_of("refused")})).empty());
    CHECK(check_refusals_are_true(seen_of(request_of(call_kind::once, 502), {note_of("run")})).empty());
}

TEST_CASE("an answer of another request, a torn one and a stream with a gap are found")
{
    auto request = request_of(call_kind::once, 200);
    request.seal_ = "s-1.q2";
    CHECK(check_answers_are_whole(seen_of(request, {}), events).size() == 1);
    request = request_of(call_kind::once, 200);
    request.answer_ = "TEX";
    CHECK(check_answers_are_whole(seen_of(request, {}), events).size() == 1);
    request = request_of(call_kind::resumable, 200);
    request.answer_ = standins::event_of("text", 1) + standins::event_of("text", 3);
    CHECK(check_answers_are_whole(seen_of(request, {}), events).size() == 1);
    request.whole_ = false;
    CHECK(check_answers_are_whole(seen_of(request, {}), events).size() == 1);
    request.answer_ = standins::event_of("text", 1);
    CHECK(check_answers_are_whole(seen_of(request, {}), events).empty());
    request.whole_ = true;
    CHECK(check_answers_are_whole(seen_of(request, {}), events).size() == 1);
}

TEST_CASE("bytes that are no answer are found, whatever status they begin with")
{
    auto request = request_of(call_kind::once, GENERATE(0, 200, 502));
    request.malformed_ = true;
    CHECK(check_answers_are_whole(seen_of(request, {}), events).size() == 1);
}

TEST_CASE("requests that nobody sent, that were changed or that carry a key are found")
{
    auto note = note_of("run");
    note.request_ = "q2";
    CHECK(check_requests_are_asked(seen_of(request_of(call_kind::once, 200), {note})).size() == 1);
    note = note_of("run");
    note.path_ = "/other/";
    CHECK(check_requests_are_asked(seen_of(request_of(call_kind::once, 200), {note})).size() == 1);
    note = note_of("run");
    note.has_key_ = true;
    CHECK(check_requests_are_asked(seen_of(request_of(call_kind::once, 200), {note})).size() == 1);
}

TEST_CASE("an answer after the time limit is found unless its VM was disrupted")
{
    auto request = request_of(call_kind::once, 504);
    request.ended_at_ = start + bounds.route_limit_ + bounds.answer_slack_ + milliseconds{1};
    auto seen = seen_of(request, {});
    CHECK(check_answers_in_time(seen, bounds, start).size() == 1);
    seen.disruptions_ = {{start, start, disrupted_part::server, std::nullopt}};
    CHECK(check_answers_in_time(seen, bounds, start).size() == 1);
    seen.disruptions_ = {{start, start, disrupted_part::vm, 1}};
    CHECK(check_answers_in_time(seen, bounds, start).size() == 1);
    seen.disruptions_ = {{start, start, disrupted_part::vm, 0}};
    CHECK(check_answers_in_time(seen, bounds, start).empty());
    request.ended_at_.reset();
    CHECK(check_answers_in_time(seen_of(request, {}), bounds, start + std::chrono::seconds{20}).size() == 1);
}

TEST_CASE("a stop that lasts, fails or cuts off a request is found")
{
    auto request = request_of(call_kind::once, 0);
    request.whole_ = false;
    auto seen = seen_of(request, {note_of("run")});
    seen.stops_ = {{0, start + milliseconds{5}, start + std::chrono::seconds{3}, 0}};
    CHECK(check_stops(seen, bounds, start).size() == 1);
    // A request that was sent on a connection that had stayed open counts, too.
    seen.stops_[0].begun_at_ = start - bounds.early_in_stop_ - milliseconds{1};
    CHECK(check_stops(seen, bounds, start).size() == 1);
    seen.stops_[0].begun_at_ = start + milliseconds{5};
    seen.notes_.clear();
    CHECK(check_stops(seen, bounds, start).empty());
    seen.stops_[0].exit_code_ = 1;
    CHECK(check_stops(seen, bounds, start).size() == 1);
    seen.stops_ = {{0, start, std::nullopt, 0}};
    CHECK(check_stops(seen, bounds, start + bounds.stop_ + milliseconds{1}).size() == 1);
}

TEST_CASE("changes that are not respected in time are found")
{
    using kind = acknowledged_change::kind;
    auto seen = seen_of(request_of(call_kind::once, 200), {note_of("run")});
    seen.changes_ = {{kind::key_revoked, "k", start - bounds.revocation_}};
    CHECK(check_changes(seen, bounds).size() == 1);
    seen.changes_ = {{kind::key_revoked, "k", start - bounds.revocation_ + milliseconds{1}}};
    CHECK(check_changes(seen, bounds).empty());
    seen.changes_ = {{kind::route_removed, "/p/", start - bounds.configuration_}};
    CHECK(check_changes(seen, bounds).size() == 1);
    seen.changes_ = {{kind::server_leaving, "s-1", start - bounds.leaving_}};
    CHECK(check_changes(seen, bounds).size() == 1);
    seen.disruptions_ = {{start, start, disrupted_part::store, std::nullopt}};
    CHECK(check_changes(seen, bounds).empty());
    seen = seen_of(request_of(call_kind::once, 404), {});
    seen.changes_ = {{kind::route_added, "/p/", start - bounds.configuration_}};
    CHECK(check_changes(seen, bounds).size() == 1);
    seen.requests_[0].status_ = 401;
    CHECK(check_changes(seen, bounds).size() == 1);
    seen.changes_.push_back({kind::key_added, "k", start - bounds.configuration_ + milliseconds{1}});
    CHECK(check_changes(seen, bounds).empty());
}

TEST_CASE("more repeats than the budget allows are found")
{
    std::vector<server_note> notes;
    notes.reserve(102);
    for (int arrival = 0; arrival < 101; ++arrival)
    {
        notes.push_back(note_of(arrival % 2 == 0 ? "run" : "refused", milliseconds{arrival}));
    }
    const auto request = request_of(call_kind::repeatable, 200);
    CHECK(check_repeats(seen_of(request, notes), bounds).empty());
    notes.push_back(note_of("run"));
    CHECK(check_repeats(seen_of(request, notes), bounds).size() == 1);
}

namespace
{

/// A stream that was passed on and whose connection was closed 500 ms after it was sent, 400 ms after a SIGTERM.
observations cut_stream()
{
    auto request = request_of(call_kind::resumable, 200);
    request.whole_ = false;
    request.last_byte_at_ = start;
    request.ended_at_ = start + milliseconds{500};
    auto seen = seen_of(request, {note_of("run")});
    seen.stops_ = {{0, start + milliseconds{100}, start + std::chrono::seconds{3}, 0}};
    return seen;
}

}  // namespace

TEST_CASE("a stream that ends without a whole answer around a planned stop is found")
{
    auto seen = cut_stream();
    CHECK(check_planned_stop(seen, bounds).size() == 1);
    CHECK(count_requests_in_planned_work(seen, bounds) == 1);
    // The VM gave up a silent server: the server saw its connection end and did not break off.
    seen.notes_.push_back(note_of("left", milliseconds{499}));
    CHECK(check_planned_stop(seen, bounds).size() == 1);
    // A server that rejected the request got it, too.
    seen.notes_ = {note_of("refused")};
    CHECK(check_planned_stop(seen, bounds).size() == 1);
    // Read, but not passed on.
    seen.notes_.clear();
    CHECK(check_planned_stop(seen, bounds).size() == 1);
    // Up to 1 s after the grace period.
    seen = cut_stream();
    seen.stops_[0].begun_at_ = start - bounds.stop_ - bounds.after_stop_ + milliseconds{500};
    CHECK(check_planned_stop(seen, bounds).size() == 1);
    // A reload, for requests sent up to 2 s after it.
    seen.stops_.clear();
    seen.reloads_ = {{0, start - bounds.configuration_}};
    CHECK(check_planned_stop(seen, bounds).size() == 1);
}

TEST_CASE("a stream that the planned stop may cut is not counted")
{
    auto seen = cut_stream();
    seen.notes_.push_back(note_of("cut", milliseconds{499}));
    CHECK(check_planned_stop(seen, bounds).empty());
    seen = cut_stream();
    seen.requests_[0].left_ = true;
    CHECK(check_planned_stop(seen, bounds).empty());
    seen = cut_stream();
    seen.requests_[0].whole_ = true;
    CHECK(check_planned_stop(seen, bounds).empty());
    seen = cut_stream();
    seen.requests_[0].ended_at_ = start + bounds.route_limit_;
    CHECK(check_planned_stop(seen, bounds).empty());
    seen = cut_stream();
    seen.disruptions_ = {{start - bounds.stable_, start - bounds.stable_, disrupted_part::vm, 0}};
    CHECK(check_planned_stop(seen, bounds).empty());
    seen.disruptions_[0].vm_ = 1;
    CHECK(check_planned_stop(seen, bounds).size() == 1);
    // It crossed the close of its connection: not passed on, within 200 ms.
    seen = cut_stream();
    seen.notes_.clear();
    seen.requests_[0].ended_at_ = start + bounds.loss_slack_;
    CHECK(check_planned_stop(seen, bounds).empty());
    seen = cut_stream();
    seen.stops_[0].vm_ = 1;
    CHECK(check_planned_stop(seen, bounds).empty());
    CHECK(count_requests_in_planned_work(seen, bounds) == 0);
    seen = cut_stream();
    seen.stops_[0].begun_at_ = start - bounds.stop_ - bounds.after_stop_ + milliseconds{499};
    CHECK(check_planned_stop(seen, bounds).empty());
    seen.stops_.clear();
    seen.reloads_ = {{0, start - bounds.configuration_ - milliseconds{1}}};
    CHECK(check_planned_stop(seen, bounds).empty());
}

TEST_CASE("work in the last sixth of the grace period excuses a request that was sent early in the stop")
{
    const auto last_sixth = bounds.stop_ - bounds.stop_ / 6;
    auto seen = cut_stream();
    seen.requests_[0].ended_at_ = start + last_sixth;
    seen.stops_[0].begun_at_ = start;
    // The route's limit is longer than the grace period here.
    auto long_route = bounds;
    long_route.route_limit_ = milliseconds{10'000};
    CHECK(check_planned_stop(seen, long_route).empty());
    seen.notes_.push_back(note_of("left", last_sixth));
    CHECK(check_planned_stop(seen, long_route).empty());
    // A reload of the stopping process does not take the excuse away.
    seen.reloads_ = {{0, start + milliseconds{1}}};
    CHECK(check_planned_stop(seen, long_route).empty());
    seen.reloads_.clear();
    // No server was at work on it any more.
    seen.notes_.back() = note_of("left", last_sixth - milliseconds{1});
    CHECK(check_planned_stop(seen, long_route).size() == 1);
    seen.notes_.pop_back();
    seen.requests_[0].ended_at_ = start + last_sixth - milliseconds{1};
    CHECK(check_planned_stop(seen, long_route).size() == 1);
    // Sent later than 3 s after the signal.
    seen.requests_[0].ended_at_ = start + bounds.stop_ - bounds.early_in_stop_;
    seen.stops_[0].begun_at_ = start - bounds.early_in_stop_;
    CHECK(check_planned_stop(seen, long_route).empty());
    seen.stops_[0].begun_at_ = start - bounds.early_in_stop_ - milliseconds{1};
    CHECK(check_planned_stop(seen, long_route).size() == 1);
}
