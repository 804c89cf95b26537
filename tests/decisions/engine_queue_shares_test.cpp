#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "decisions/queue_samples.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

/// A request that a caller sends again and again; its number makes the id unique.
queue_entry numbered(const std::string& caller, rank which = rank::standard, std::int64_t prompt = 1000)
{
    static int number = 0;
    return sample_entry(std::to_string(++number), caller, which, prompt);
}

refusal_reason reason_of_refusal(engine_queue& queue, const engine_state& engine, const queue_entry& entry)
{
    return enqueue(queue, engine, entry, start_time)
        .value_or(queue_refusal{refusal_reason::stopping, "", std::nullopt})
        .reason_;
}

/// Keeps three requests of each template waiting, on one slot, and counts @a grants by caller.
std::map<std::string, int> serve_in_turn(engine_queue& queue, const std::vector<queue_entry>& templates, int grants)
{
    const engine_state engine = sample_engine("e", 1);
    std::map<std::string, int> served;
    while (grants-- > 0)
    {
        for (const queue_entry& each : templates)
        {
            while (queue.ranks_[each.rank_].callers_[each.caller_].waiting_.size() < 3)
            {
                queue_entry next = numbered(each.caller_.get(), each.rank_, each.prompt_.get());
                next.weight_ = each.weight_;
                next.max_output_ = each.max_output_;
                REQUIRE(accepts(queue, engine, next, start_time));
            }
        }
        for (const grant& given : grant_next(queue, engine, start_time))
        {
            ++served[given.entry_.caller_.get()];
            REQUIRE(ends(queue, given.id_, 100, start_time));
        }
    }
    return served;
}

}  // namespace

TEST_CASE("callers of one rank share by weight in tokens")
{
    engine_queue queue;
    queue_entry first = numbered("first");
    queue_entry second = numbered("second");

    SECTION("a weight would be ignored")
    {
        first.weight_ = caller_weight{3.0};
        const auto served = serve_in_turn(queue, {first, second}, 400);
        REQUIRE(served.at("first") == Approx(300).margin(3));
    }
    SECTION("a caller with longer prompts would get more of the engine")
    {
        second.prompt_ = token_count{3200};  // with 100 output tokens three times the cost
        const auto served = serve_in_turn(queue, {first, second}, 400);
        REQUIRE(served.at("first") == Approx(300).margin(3));
    }
    SECTION("a caller would pay for output that it only allowed for")
    {
        second.max_output_ = token_count{2000};
        const auto served = serve_in_turn(queue, {first, second}, 400);
        REQUIRE(served.at("first") == Approx(200).margin(5));
    }
    SECTION("a caller that was idle would save up its share and then shut out the others")
    {
        serve_in_turn(queue, {first}, 200);
        const auto served = serve_in_turn(queue, {first, second}, 100);
        REQUIRE(served.at("second") == Approx(50).margin(3));
    }
}

TEST_CASE("a rank below its floor goes first")
{
    engine_queue queue;
    queue.ranks_[rank::deferred].floor_ = 0.25;
    const queue_entry urgent = numbered("driver", rank::urgent);
    const queue_entry deferred = numbered("review", rank::deferred);

    SECTION("the floor would not be kept, or be exceeded at the cost of the urgent rank")
    {
        REQUIRE(serve_in_turn(queue, {urgent, deferred}, 400).at("review") == Approx(100).margin(3));
    }
    SECTION("a rank that had the engine to itself would lose its floor for as long")
    {
        serve_in_turn(queue, {deferred}, 300);
        REQUIRE(serve_in_turn(queue, {urgent, deferred}, 100).at("review") == Approx(25).margin(3));
    }
    SECTION("a rank without work would save up credit and then shut out the urgent rank")
    {
        serve_in_turn(queue, {urgent}, 300);
        REQUIRE(serve_in_turn(queue, {urgent, deferred}, 100).at("review") == Approx(25).margin(3));
    }
    SECTION("an engine that prefills by priority would leave the grant for the floor behind urgent prompts")
    {
        const engine_state engine = sample_engine("e", 2);
        REQUIRE(accepts(queue, engine, numbered("review", rank::deferred, 5000), start_time));
        REQUIRE(accepts(queue, engine, urgent, start_time));
        queue.ranks_[rank::deferred].floor_credit_ = 1.0;
        const auto granted = grant_next(queue, engine, start_time);
        REQUIRE(granted.at(0).entry_.rank_ == rank::deferred);
        REQUIRE(granted.at(0).priority_ < granted.at(1).priority_);
    }
}

TEST_CASE("queue places are shared")
{
    engine_queue queue;
    queue.limits_ = {40, 12};
    const engine_state engine = sample_engine("e", 64);
    const auto send = [&](const std::string& caller, rank which) {
        const queue_entry entry = numbered(caller, which);
        return accepts(queue, engine, entry, start_time) ? refusal_reason::no_engine_ready  // stands for none
                                                         : reason_of_refusal(queue, engine, entry);
    };
    SECTION("one caller would fill the queue")
    {
        for (int number = 0; number < 10; ++number)
        {
            REQUIRE(send("large", rank::standard) == refusal_reason::no_engine_ready);
        }
        REQUIRE(send("large", rank::standard) == refusal_reason::queue_full);  // leaves places for others
        REQUIRE(send("small", rank::standard) == refusal_reason::no_engine_ready);
        queue.limits_.max_queued_per_caller_ = 5;
        REQUIRE(send("large", rank::urgent) == refusal_reason::caller_queue_full);
    }
    SECTION("an overload of one rank would leave no place for another")
    {
        for (int number = 0; number < 100; ++number)
        {
            (void)send("caller " + std::to_string(number), rank::deferred);
        }
        REQUIRE(queue_length(queue) == 20);
        REQUIRE(send("driver", rank::urgent) == refusal_reason::no_engine_ready);
    }
}

TEST_CASE("a segment of a split prompt never waits in the queue but keeps its place")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e", 8, 100'000);
    const auto request = [&](const std::string& name, std::int64_t prompt, bool no_wait, time_point now) {
        queue_entry entry = sample_entry(name, name, rank::standard, prompt);
        entry.no_wait_ = no_wait;
        return accepts(queue, engine, entry, now);
    };
    const auto granted = [&](time_point now) {
        return grant_next(queue, engine, now).size();
    };
    REQUIRE(request("running", 30'000, false, start_time));
    REQUIRE(granted(start_time) == 1);
    mark_prefill_finished(queue, queue.grants_.begin()->first);
    REQUIRE_FALSE(request("segment", 80'000, true, start_time));
    REQUIRE(queue_length(queue) == 0);
    const grant_id running = queue.grants_.begin()->first;

    SECTION("small requests would take each freed piece of memory, so that the prompt never finds enough")
    {
        REQUIRE(request("small", 20'000, false, start_time));
        REQUIRE(granted(start_time) == 0);
        REQUIRE(ends(queue, running, 1, start_time));
        const time_point retry = start_time + max_split_backoff;
        REQUIRE(granted(retry) == 0);
        REQUIRE(request("segment", 80'000, true, retry));
        REQUIRE(granted(retry) == 1);
    }
    SECTION("room would stay unused after the prompt was given up")
    {
        REQUIRE(request("small", 20'000, false, start_time));
        REQUIRE(granted(start_time + milliseconds{2999}) == 0);
        REQUIRE(granted(start_time + milliseconds{3000}) == 1);
    }
    SECTION("two prompts that hold room on different engines would both starve")
    {
        REQUIRE(ends(queue, running, 1, start_time));
        REQUIRE(request("other segment", 80'000, true, start_time));
        REQUIRE(granted(start_time) == 1);
    }
    SECTION("a segment given back because another engine refused would lose its place")
    {
        REQUIRE(ends(queue, running, 1, start_time));
        REQUIRE(request("segment", 80'000, true, start_time));
        REQUIRE(granted(start_time) == 1);
        REQUIRE(request("small", 20'000, false, start_time));
        REQUIRE(ends(queue, queue.grants_.begin()->first, 0, start_time));
        REQUIRE(granted(start_time) == 0);
    }
}

TEST_CASE("the estimate follows ranks, shares and floors")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e", 2);
    for (int number = 0; number < 20; ++number)
    {
        REQUIRE(accepts(queue, engine, numbered("large"), start_time));
    }
    const milliseconds behind = estimate_finish(queue, engine, numbered("large"));
    REQUIRE(behind > milliseconds{10'000});

    SECTION("urgent requests would be refused because of work that waits for them")
    {
        REQUIRE(estimate_finish(queue, engine, numbered("driver", rank::urgent)) < milliseconds{2000});
    }
    SECTION("a small caller would be refused because of a large one")
    {
        REQUIRE(estimate_finish(queue, engine, numbered("small")) < behind / 4);
    }
    SECTION("a rank with a floor would be refused because of more urgent work")
    {
        REQUIRE(estimate_finish(queue, engine, numbered("review", rank::deferred)) >= behind);
        queue.ranks_[rank::deferred].floor_ = 0.5;
        REQUIRE(estimate_finish(queue, engine, numbered("review", rank::deferred)) < behind / 4);
    }
}
