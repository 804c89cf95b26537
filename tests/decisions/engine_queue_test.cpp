#include <algorithm>

#include <catch2/catch.hpp>

#include "decisions/queue_samples.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

void require_enqueued(engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    const auto refusal = enqueue(queue, engine, entry, start_time);
    INFO((refusal ? refusal->message_ : ""));
    REQUIRE_FALSE(refusal);
}

std::vector<std::string> granted_requests(engine_queue& queue, const engine_state& engine, time_point now = start_time)
{
    std::vector<std::string> names;
    std::ranges::transform(grant_next(queue, engine, now), std::back_inserter(names),
                           [](const grant& each) { return each.entry_.request_.get(); });
    return names;
}

grant_id id_of(const engine_queue& queue, const std::string& request)
{
    const auto found = std::ranges::find_if(
        queue.grants_, [&](const auto& each) { return each.second.entry_.request_.get() == request; });
    return found == queue.grants_.end() ? grant_id{} : found->first;
}

}  // namespace

TEST_CASE("requests of different ranks are granted in order of urgency")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e", 2);
    require_enqueued(queue, engine, sample_entry("deferred", "a", rank::deferred));
    require_enqueued(queue, engine, sample_entry("standard", "a", rank::standard));
    require_enqueued(queue, engine, sample_entry("urgent", "a", rank::urgent));

    SECTION("with two slots only the urgent request is granted and the reserved slot stays free")
    {
        // Otherwise an urgent request would wait for lower ranks, or these would take the slot reserved for its rank.
        REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"urgent"});
        REQUIRE(queue_length(queue) == 2);
        REQUIRE(queue_length(queue, rank::urgent) == 0);
    }
    SECTION("engine priorities of the grants are in the order of the grants")
    {
        // Otherwise the engine would prefill in another order than the queue.
        const auto granted = grant_next(queue, sample_engine("e", 8), start_time);
        REQUIRE(std::ranges::is_sorted(granted, {}, &grant::priority_));
        REQUIRE(granted.size() == 3);
    }
}

TEST_CASE("grants never exceed the capacity of the engine")
{
    engine_queue queue;
    SECTION("eight requests on four slots: four are granted")
    {
        // The engine would refuse grants beyond its slots.
        const engine_state engine = sample_engine("e", 4);
        for (int number = 0; number < 8; ++number)
        {
            require_enqueued(queue, engine, sample_entry(std::to_string(number), "a", rank::urgent));
        }
        REQUIRE(granted_requests(queue, engine).size() == 4);
    }
    SECTION("eight requests that take 40% of the memory each: two are granted")
    {
        // Grants beyond the memory of the engine would make it fail requests.
        const engine_state engine = sample_engine("e", 16, 10'000);
        for (int number = 0; number < 8; ++number)
        {
            require_enqueued(queue, engine, sample_entry(std::to_string(number), "a", rank::urgent, 3900, 100));
        }
        REQUIRE(granted_requests(queue, engine).size() == 2);
    }
    SECTION("a draining engine grants and enqueues nothing, and its queued request can be removed")
    {
        engine_state engine = sample_engine("e");
        require_enqueued(queue, engine, sample_entry("r", "a"));
        engine.load_.draining_ = true;
        REQUIRE(granted_requests(queue, engine).empty());
        REQUIRE(enqueue(queue, engine, sample_entry("s", "a"), start_time)->reason_ == refusal_reason::no_engine_ready);
        const auto removed = remove_all_queued(queue, refusal_reason::no_engine_ready, "drains");
        REQUIRE(removed.size() == 1);
        REQUIRE(queue_length(queue) == 0);
    }
}

TEST_CASE("of two long prompts only one is prefilled at a time")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    require_enqueued(queue, engine, sample_entry("long 1", "a", rank::standard, 50'000));
    require_enqueued(queue, engine, sample_entry("long 2", "b", rank::standard, 50'000));
    require_enqueued(queue, engine, sample_entry("short", "c"));
    REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"long 1", "short"});

    SECTION("the second is granted when the prefill of the first is finished")
    {
        // If the end of a prefill were missed, the second prompt would never start.
        mark_prefill_finished(queue, id_of(queue, "long 1"));
        REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"long 2"});
    }
    SECTION("short prompts, which the engine prefills first, are granted until the long prompt is overdue")
    {
        // Otherwise a steady stream of short prompts would keep the long prompt from ever finishing.
        const auto grants_after = [&](milliseconds time) {
            require_enqueued(queue, engine, sample_entry("short 2", "c"));
            return granted_requests(queue, engine, start_time + time).size();
        };
        REQUIRE(grants_after(milliseconds{19'000}) == 1);  // its prefill takes 5 s
        REQUIRE(grants_after(milliseconds{21'000}) == 0);
    }
    SECTION("the second is granted when the first is released during its prefill")
    {
        // Otherwise a long prompt that fails during its prefill would block all other long prompts.
        REQUIRE(release(queue, id_of(queue, "long 1"), token_count{0}, start_time));
        REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"long 2"});
    }
}

TEST_CASE("a request that cannot finish before its deadline is refused or removed")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    queue_entry entry = sample_entry("r", "a", rank::standard, 1000, 1000);

    SECTION("service time longer than the time limit: refused with a retry time")
    {
        // Otherwise the caller would wait for a response that cannot arrive in time.
        entry.deadline_ = start_time + milliseconds{5000};  // prefill 100 ms, decode 10,000 ms
        const auto refusal = enqueue(queue, engine, entry, start_time);
        REQUIRE(refusal->reason_ == refusal_reason::time_limit_unreachable);
        REQUIRE(refusal->retry_after_.has_value());
    }
    SECTION("remaining time too short for the service time: not granted, and removed")
    {
        // Otherwise the request would be granted too late and run past its deadline.
        entry.deadline_ = start_time + milliseconds{11'000};
        require_enqueued(queue, engine, entry);
        REQUIRE(granted_requests(queue, engine, start_time + milliseconds{2000}).empty());
        const auto removed = expire(queue, engine, start_time + milliseconds{2000});
        REQUIRE(removed.at(0).refusal_.reason_ == refusal_reason::time_limit_unreachable);
    }
    SECTION("deadline passed while waiting: removed as expired")
    {
        require_enqueued(queue, engine, entry);
        REQUIRE(expire(queue, engine, start_time).empty());
        REQUIRE(expire(queue, engine, entry.deadline_).at(0).refusal_.reason_ == refusal_reason::expired_in_queue);
        REQUIRE(queue_length(queue) == 0);
    }
    SECTION("engine that reports no prefill rate: refused")
    {
        // Otherwise an engine for which no estimate is possible would accept every request.
        engine_state without_rate = engine;
        without_rate.load_.prefill_rate_ = token_rate{0.0};
        REQUIRE(enqueue(queue, without_rate, entry, start_time)->reason_ == refusal_reason::time_limit_unreachable);
    }
    SECTION("a too low speed factor recovers on an idle engine until the request is accepted")
    {
        // The factor is learned from finished requests; one that refuses every request would never be corrected.
        queue.speed_factor_ = 0.1;
        entry.deadline_ = start_time + milliseconds{15'000};
        int refusals = 0;
        while (enqueue(queue, engine, entry, start_time) && refusals < 100)
        {
            ++refusals;
        }
        REQUIRE(refusals > 0);
        REQUIRE(refusals < 100);
    }
}

TEST_CASE("a repeated message about a grant takes effect once")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    require_enqueued(queue, engine, sample_entry("r", "a"));
    REQUIRE(granted_requests(queue, engine).size() == 1);
    const grant_id id = id_of(queue, "r");

    SECTION("a second release of a grant has no effect")
    {
        // Otherwise the memory of the grant would be returned twice.
        REQUIRE(release(queue, id, token_count{50}, start_time));
        REQUIRE_FALSE(release(queue, id, token_count{50}, start_time));
    }
    SECTION("a grant restored twice at a new owner is counted once, beside new grants")
    {
        // Guards against a new owner that grants the capacity of a running request again, or counts a repeated
        // announcement twice.
        engine_queue next;
        restore_grant(next, queue.grants_.at(id));
        restore_grant(next, queue.grants_.at(id));
        REQUIRE(next.grants_.size() == 1);
        require_enqueued(next, engine, sample_entry("s", "a"));
        REQUIRE(granted_requests(next, engine).size() == 1);
        REQUIRE(next.grants_.size() == 2);
    }
}

TEST_CASE("a withdrawn request leaves the queue and is not granted")
{
    // Otherwise a request whose caller has disconnected would take a slot.
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    require_enqueued(queue, engine, sample_entry("r", "a"));
    REQUIRE_FALSE(withdraw(queue, request_id{"r"}, attempt_number{2}));
    REQUIRE(withdraw(queue, request_id{"r"}, attempt_number{1}));
    REQUIRE_FALSE(withdraw(queue, request_id{"r"}, attempt_number{1}));
    REQUIRE(granted_requests(queue, engine).empty());
}
