#include <algorithm>

#include <catch2/catch.hpp>

#include "decisions/queue_samples.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

void must_enqueue(engine_queue& queue, const engine_state& engine, const queue_entry& entry)
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

TEST_CASE("the most urgent rank is granted first")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e", 2);
    must_enqueue(queue, engine, sample_entry("deferred", "a", rank::deferred));
    must_enqueue(queue, engine, sample_entry("standard", "a", rank::standard));
    must_enqueue(queue, engine, sample_entry("urgent", "a", rank::urgent));

    SECTION("an urgent request would wait for lower ranks, or these would take its reserved slot")
    {
        REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"urgent"});
        REQUIRE(queue_length(queue) == 2);
        REQUIRE(queue_length(queue, rank::urgent) == 0);
    }
    SECTION("the engine would prefill in another order than the queue")
    {
        const auto granted = grant_next(queue, sample_engine("e", 8), start_time);
        REQUIRE(std::ranges::is_sorted(granted, {}, &grant::priority_));
        REQUIRE(granted.size() == 3);
    }
}

TEST_CASE("grants stay within slots and memory")
{
    engine_queue queue;
    SECTION("more grants than slots would be refused by the engine")
    {
        const engine_state engine = sample_engine("e", 4);
        for (int number = 0; number < 8; ++number)
        {
            must_enqueue(queue, engine, sample_entry(std::to_string(number), "a", rank::urgent));
        }
        REQUIRE(granted_requests(queue, engine).size() == 4);
    }
    SECTION("more memory than the engine has would make it fail requests")
    {
        const engine_state engine = sample_engine("e", 16, 10'000);
        for (int number = 0; number < 8; ++number)
        {
            must_enqueue(queue, engine, sample_entry(std::to_string(number), "a", rank::urgent, 3900, 100));
        }
        REQUIRE(granted_requests(queue, engine).size() == 2);
    }
    SECTION("an engine that drains would get new work")
    {
        engine_state engine = sample_engine("e");
        must_enqueue(queue, engine, sample_entry("r", "a"));
        engine.load_.draining_ = true;
        REQUIRE(granted_requests(queue, engine).empty());
        REQUIRE(enqueue(queue, engine, sample_entry("s", "a"), start_time)->reason_ == refusal_reason::no_engine_ready);
        const auto removed = remove_all_queued(queue, refusal_reason::no_engine_ready, "drains");
        REQUIRE(removed.size() == 1);
        REQUIRE(queue_length(queue) == 0);
    }
}

TEST_CASE("one long prompt is in prefill at a time")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    must_enqueue(queue, engine, sample_entry("long 1", "a", rank::standard, 50'000));
    must_enqueue(queue, engine, sample_entry("long 2", "b", rank::standard, 50'000));
    must_enqueue(queue, engine, sample_entry("short", "c"));
    REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"long 1", "short"});

    SECTION("the second would never start if the end of a prefill were missed")
    {
        mark_prefill_finished(queue, id_of(queue, "long 1"));
        REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"long 2"});
    }
    SECTION("a stream of short prompts, which the engine prefills first, would keep a long one from ending")
    {
        const auto grants_after = [&](milliseconds time) {
            must_enqueue(queue, engine, sample_entry("short 2", "c"));
            return granted_requests(queue, engine, start_time + time).size();
        };
        REQUIRE(grants_after(milliseconds{19'000}) == 1);  // its prefill takes 5 s
        REQUIRE(grants_after(milliseconds{21'000}) == 0);
    }
    SECTION("a long prompt that failed in prefill would block the others")
    {
        REQUIRE(release(queue, id_of(queue, "long 1"), token_count{0}, start_time));
        REQUIRE(granted_requests(queue, engine) == std::vector<std::string>{"long 2"});
    }
}

TEST_CASE("a request that cannot end in time is refused or removed")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    queue_entry entry = sample_entry("r", "a", rank::standard, 1000, 1000);

    SECTION("a caller would wait for an answer that cannot come")
    {
        entry.deadline_ = start_time + milliseconds{5000};  // prefill 100 ms, decode 10,000 ms
        const auto refusal = enqueue(queue, engine, entry, start_time);
        REQUIRE(refusal->reason_ == refusal_reason::time_limit_unreachable);
        REQUIRE(refusal->retry_after_.has_value());
    }
    SECTION("a request would be granted too late and run past its limit")
    {
        entry.deadline_ = start_time + milliseconds{11'000};
        must_enqueue(queue, engine, entry);
        REQUIRE(granted_requests(queue, engine, start_time + milliseconds{2000}).empty());
        const auto removed = expire(queue, engine, start_time + milliseconds{2000});
        REQUIRE(removed.at(0).refusal_.reason_ == refusal_reason::time_limit_unreachable);
    }
    SECTION("a request would stay in the queue after its deadline")
    {
        must_enqueue(queue, engine, entry);
        REQUIRE(expire(queue, engine, start_time).empty());
        REQUIRE(expire(queue, engine, entry.deadline_).at(0).refusal_.reason_ == refusal_reason::expired_in_queue);
        REQUIRE(queue_length(queue) == 0);
    }
    SECTION("an engine without rates would accept everything")
    {
        engine_state silent = engine;
        silent.load_.prefill_rate_ = token_rate{0.0};
        REQUIRE(enqueue(queue, silent, entry, start_time)->reason_ == refusal_reason::time_limit_unreachable);
    }
    SECTION("a learned speed that refuses everything would never be corrected")
    {
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

TEST_CASE("a grant ends once")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    must_enqueue(queue, engine, sample_entry("r", "a"));
    REQUIRE(granted_requests(queue, engine).size() == 1);
    const grant_id id = id_of(queue, "r");

    SECTION("a repeated release would return memory twice")
    {
        REQUIRE(release(queue, id, token_count{50}, start_time));
        REQUIRE_FALSE(release(queue, id, token_count{50}, start_time));
    }
    SECTION("a new owner would grant the room of a running request, or count a repeated announcement twice")
    {
        engine_queue next;
        restore_grant(next, queue.grants_.at(id));
        restore_grant(next, queue.grants_.at(id));
        REQUIRE(next.grants_.size() == 1);
        must_enqueue(next, engine, sample_entry("s", "a"));
        REQUIRE(granted_requests(next, engine).size() == 1);
        REQUIRE(next.grants_.size() == 2);
    }
}

TEST_CASE("a request whose caller has gone leaves the queue")
{
    // It would otherwise hold a slot for nobody.
    engine_queue queue;
    const engine_state engine = sample_engine("e");
    must_enqueue(queue, engine, sample_entry("r", "a"));
    REQUIRE_FALSE(withdraw(queue, request_id{"r"}, attempt_number{2}));
    REQUIRE(withdraw(queue, request_id{"r"}, attempt_number{1}));
    REQUIRE_FALSE(withdraw(queue, request_id{"r"}, attempt_number{1}));
    REQUIRE(granted_requests(queue, engine).empty());
}
