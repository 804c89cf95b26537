#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "decisions/queue_samples.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

/// A request with a unique id.
queue_entry unique_entry(const std::string& caller, rank which = rank::standard, std::int64_t prompt = 1000)
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

/// Grants @a grants requests one after another on one slot while three requests of each template are kept waiting, and
/// counts the grants by caller.
std::map<std::string, int> count_grants(engine_queue& queue, const std::vector<queue_entry>& templates, int grants)
{
    const engine_state engine = sample_engine("e", 1);
    std::map<std::string, int> served;
    while (grants-- > 0)
    {
        for (const queue_entry& each : templates)
        {
            while (queue.ranks_[each.rank_].callers_[each.caller_].waiting_.size() < 3)
            {
                queue_entry next = unique_entry(each.caller_.get(), each.rank_, each.prompt_.get());
                next.weight_ = each.weight_;
                next.max_output_ = each.max_output_;
                REQUIRE(try_enqueue(queue, engine, next, start_time));
            }
        }
        for (const grant& given : grant_next(queue, engine, start_time))
        {
            ++served[given.entry_.caller_.get()];
            REQUIRE(try_release(queue, given.id_, 100, start_time));
        }
    }
    return served;
}

}  // namespace

TEST_CASE("tokens are shared among the callers of one rank by weight")
{
    engine_queue queue;
    queue_entry first = unique_entry("first");
    queue_entry second = unique_entry("second");

    SECTION("a caller with weight 3 gets three times the grants of one with weight 1")
    {
        first.weight_ = caller_weight{3.0};
        const auto served = count_grants(queue, {first, second}, 400);
        REQUIRE(served.at("first") == Approx(300).margin(3));
    }
    SECTION("a caller whose requests cost three times as much gets a third as many grants")
    {
        // Otherwise a caller with longer prompts would get more of the engine.
        second.prompt_ = token_count{3200};  // three times the cost, with 100 output tokens each
        const auto served = count_grants(queue, {first, second}, 400);
        REQUIRE(served.at("first") == Approx(300).margin(3));
    }
    SECTION("a caller is not charged for maximum output that was not generated")
    {
        second.max_output_ = token_count{2000};
        const auto served = count_grants(queue, {first, second}, 400);
        REQUIRE(served.at("first") == Approx(200).margin(5));
    }
    SECTION("a caller that was idle gets half of the grants afterwards, without compensation for the idle time")
    {
        // Otherwise a caller could save up its share while idle and then shut out the others.
        count_grants(queue, {first}, 200);
        const auto served = count_grants(queue, {first, second}, 100);
        REQUIRE(served.at("second") == Approx(50).margin(3));
    }
}

TEST_CASE("a rank with a floor of 25% gets it beside the urgent rank")
{
    engine_queue queue;
    queue.ranks_[rank::deferred].floor_ = 0.25;
    const queue_entry urgent = unique_entry("driver", rank::urgent);
    const queue_entry deferred = unique_entry("review", rank::deferred);

    SECTION("both ranks busy: the rank gets a quarter of the grants")
    {
        // Fewer grants would not keep the floor, and more would be at the cost of the urgent rank.
        REQUIRE(count_grants(queue, {urgent, deferred}, 400).at("review") == Approx(100).margin(3));
    }
    SECTION("after 300 grants without other work the rank still gets a quarter")
    {
        // Otherwise a rank that had the engine to itself would lose its floor for as long.
        count_grants(queue, {deferred}, 300);
        REQUIRE(count_grants(queue, {urgent, deferred}, 100).at("review") == Approx(25).margin(3));
    }
    SECTION("after 300 grants without own work the rank gets no more than a quarter")
    {
        // Otherwise a rank without work would save up credit and then shut out the urgent rank.
        count_grants(queue, {urgent}, 300);
        REQUIRE(count_grants(queue, {urgent, deferred}, 100).at("review") == Approx(25).margin(3));
    }
    SECTION("the grant of a rank below its floor comes first, also in the engine's prefill")
    {
        // Otherwise an engine that prefills by priority would leave this grant behind urgent prompts.
        const engine_state engine = sample_engine("e", 2);
        REQUIRE(try_enqueue(queue, engine, unique_entry("review", rank::deferred, 5000), start_time));
        REQUIRE(try_enqueue(queue, engine, urgent, start_time));
        queue.ranks_[rank::deferred].floor_credit_ = 1.0;
        const auto granted = grant_next(queue, engine, start_time);
        REQUIRE(granted.at(0).entry_.rank_ == rank::deferred);
        REQUIRE(granted.at(0).priority_ < granted.at(1).priority_);
    }
}

TEST_CASE("places in the queue are divided among callers and ranks")
{
    engine_queue queue;
    queue.limits_ = {40, 12};
    const engine_state engine = sample_engine("e", 64);
    const auto send = [&](const std::string& caller, rank which) {
        const queue_entry entry = unique_entry(caller, which);
        return try_enqueue(queue, engine, entry, start_time) ? refusal_reason::no_engine_ready  // means accepted
                                                             : reason_of_refusal(queue, engine, entry);
    };
    SECTION("a caller with many waiting requests is refused while another is accepted")
    {
        // Otherwise one caller could fill the queue.
        for (int number = 0; number < 10; ++number)
        {
            REQUIRE(send("large", rank::standard) == refusal_reason::no_engine_ready);
        }
        // The remaining places are for other callers.
        REQUIRE(send("large", rank::standard) == refusal_reason::queue_full);
        REQUIRE(send("small", rank::standard) == refusal_reason::no_engine_ready);
        queue.limits_.max_queued_per_caller_ = 5;
        REQUIRE(send("large", rank::urgent) == refusal_reason::caller_queue_full);
    }
    SECTION("in an overload of the deferred rank an urgent request is accepted")
    {
        // Otherwise an overload of one rank would leave no place for the others.
        for (int number = 0; number < 100; ++number)
        {
            (void)send("caller " + std::to_string(number), rank::deferred);
        }
        REQUIRE(queue_length(queue) == 20);
        REQUIRE(send("driver", rank::urgent) == refusal_reason::no_engine_ready);
    }
}

TEST_CASE("capacity is held for the retry of a refused segment, which does not wait in the queue")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e", 8, 100'000);
    const auto request = [&](const std::string& name, std::int64_t prompt, bool no_wait, time_point now) {
        queue_entry entry = sample_entry(name, name, rank::standard, prompt);
        entry.no_wait_ = no_wait;
        return try_enqueue(queue, engine, entry, now);
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

    SECTION("freed memory is not granted to a small request but to the retry of the segment")
    {
        // Otherwise small requests would take all memory as it is freed, and the segment would never find enough.
        REQUIRE(request("small", 20'000, false, start_time));
        REQUIRE(granted(start_time) == 0);
        REQUIRE(try_release(queue, running, 1, start_time));
        const time_point retry = start_time + max_split_backoff;
        REQUIRE(granted(retry) == 0);
        REQUIRE(request("segment", 80'000, true, retry));
        REQUIRE(granted(retry) == 1);
    }
    SECTION("without a retry the hold expires after 3 s and a small request is granted")
    {
        // Otherwise the held capacity would stay unused after the prompt was given up.
        REQUIRE(request("small", 20'000, false, start_time));
        REQUIRE(granted(start_time + milliseconds{2999}) == 0);
        REQUIRE(granted(start_time + milliseconds{3000}) == 1);
    }
    SECTION("a segment of another prompt is granted in spite of the hold")
    {
        // Otherwise two prompts that hold capacity on different engines would block each other.
        REQUIRE(try_release(queue, running, 1, start_time));
        REQUIRE(request("other segment", 80'000, true, start_time));
        REQUIRE(granted(start_time) == 1);
    }
    SECTION("the hold applies again when the granted segment is released unused")
    {
        // A segment is released unused when another engine refuses. It would otherwise lose its place.
        REQUIRE(try_release(queue, running, 1, start_time));
        REQUIRE(request("segment", 80'000, true, start_time));
        REQUIRE(granted(start_time) == 1);
        REQUIRE(request("small", 20'000, false, start_time));
        REQUIRE(try_release(queue, queue.grants_.begin()->first, 0, start_time));
        REQUIRE(granted(start_time) == 0);
    }
}

TEST_CASE("the estimate with 20 waiting requests of one caller depends on rank, share and floor")
{
    engine_queue queue;
    const engine_state engine = sample_engine("e", 2);
    for (int number = 0; number < 20; ++number)
    {
        REQUIRE(try_enqueue(queue, engine, unique_entry("large"), start_time));
    }
    const milliseconds behind = estimate_finish(queue, engine, unique_entry("large"));
    REQUIRE(behind > milliseconds{10'000});

    SECTION("an urgent request is estimated without the work of lower ranks")
    {
        // Otherwise urgent requests would be refused because of work that is served after them.
        REQUIRE(estimate_finish(queue, engine, unique_entry("driver", rank::urgent)) < milliseconds{2000});
    }
    SECTION("a request of another caller is estimated at its fair share")
    {
        // Otherwise a caller with few requests would be refused because of a caller with many.
        REQUIRE(estimate_finish(queue, engine, unique_entry("small")) < behind / 4);
    }
    SECTION("a request of a lower rank is estimated behind all work, with a floor at its share")
    {
        // Without the share, a rank with a floor would be refused because of more urgent work.
        REQUIRE(estimate_finish(queue, engine, unique_entry("review", rank::deferred)) >= behind);
        queue.ranks_[rank::deferred].floor_ = 0.5;
        REQUIRE(estimate_finish(queue, engine, unique_entry("review", rank::deferred)) < behind / 4);
    }
}
