#include <catch2/catch.hpp>

#include "decisions/queue_simulation.hpp"

using namespace cornelstall;
using namespace cornelstall::test;
using std::chrono::seconds;

// The bounds are the service targets of docs/design.md, section 1. Each case repeats its check with the mechanism
// disabled and requires it to fail, which shows that the check can detect a missing mechanism.

namespace
{

/// Gives all requests the same rank and caller, so that they are served first in, first out.
queue_entry as_single_caller(queue_entry entry)
{
    entry.rank_ = rank::standard;
    entry.caller_ = caller_id{"all"};
    return entry;
}

std::string rank_name(const workload& kind)
{
    return std::string(to_string(kind.rank_));
}

std::string caller_name(const workload& kind)
{
    return kind.caller_;
}

/// Fraction of all served tokens that were served to @a key.
double share_of(const simulation_settings& settings, const std::string& key, std::string (*key_of)(const workload&))
{
    const auto tokens = served_tokens(simulate(settings), settings, key_of);
    double total = 0.0;
    std::ranges::for_each(tokens, [&](const auto& each) { total += each.second; });
    return tokens.contains(key) ? tokens.at(key) / total : 0.0;
}

/// Urgent requests that occupy a fifth of the slots, and @a deferred_per_second deferred requests per 32 slots.
simulation_settings urgent_beside_deferred(int slots, double deferred_per_second)
{
    const double scale = slots / 32.0;
    simulation_settings settings;
    settings.slots_ = slots;
    settings.duration_ = seconds{3840 / slots};
    settings.workloads_ = {
        {"driver", rank::urgent, 6.0 * scale, 1000, 100, 100, seconds{10}},
        {"review", rank::deferred, deferred_per_second * scale, 4000, 400, 200, seconds{60}},
    };
    return settings;
}

/// Urgent requests at more than ten times the capacity of about 20 requests per second, beside requests of lower ranks.
simulation_settings urgent_overload()
{
    simulation_settings settings;
    settings.floors_ = {{rank::standard, 0.3}, {rank::deferred, 0.1}};
    settings.workloads_ = {
        {"driver", rank::urgent, 200.0, 1000, 100, 100, seconds{10}},
        {"buyer", rank::standard, 8.0, 2000, 400, 200, seconds{30}},
        {"review", rank::deferred, 3.0, 8000, 400, 200, seconds{60}},
    };
    return settings;
}

}  // namespace

TEST_CASE("under a tenfold overload of deferred work the urgent first-token p95 grows by at most 20%")
{
    const int slots = GENERATE(8, 32);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    simulation_settings normal = urgent_beside_deferred(slots, 1.0);
    simulation_settings overloaded = urgent_beside_deferred(slots, 140.0);  // the capacity is about 14 per second
    normal.seed_ = seed;
    overloaded.seed_ = seed;
    const double bound = 1.2 * static_cast<double>(first_token_p95(of_rank(simulate(normal), rank::urgent)).count());
    const auto urgent_p95 = [&] {
        return static_cast<double>(first_token_p95(of_rank(simulate(overloaded), rank::urgent)).count());
    };
    REQUIRE(urgent_p95() <= bound);
    overloaded.transform_entry_ = as_single_caller;
    REQUIRE(urgent_p95() > bound);
}

TEST_CASE("under a tenfold overload of urgent work lower ranks get at least 90% of their floors")
{
    simulation_settings settings = urgent_overload();
    settings.seed_ = GENERATE(1, 2, 3);
    REQUIRE(share_of(settings, "standard", rank_name) >= 0.9 * 0.3);
    REQUIRE(share_of(settings, "deferred", rank_name) >= 0.9 * 0.1);
    settings.floors_ = {};
    REQUIRE(share_of(settings, "standard", rank_name) < 0.9 * 0.3);
    REQUIRE(share_of(settings, "deferred", rank_name) < 0.9 * 0.1);
}

TEST_CASE("a caller beside one with twenty times its demand gets at least 90% of its fair share")
{
    simulation_settings settings;
    settings.seed_ = GENERATE(1, 2, 3);
    // Each of the four callers demands at least a quarter of the capacity of about 20 requests per second.
    for (const auto& [name, multiple] : {std::pair{"smallest", 1}, {"second", 2}, {"third", 5}, {"largest", 20}})
    {
        settings.workloads_.push_back({name, rank::standard, 6.0 * multiple, 1000, 200, 100, seconds{20}});
    }
    REQUIRE(share_of(settings, "smallest", caller_name) >= 0.9 / 4.0);
    settings.transform_entry_ = as_single_caller;
    REQUIRE(share_of(settings, "smallest", caller_name) < 0.9 / 4.0);
}

TEST_CASE("under overload no request ends after its time limit")
{
    simulation_settings settings = urgent_overload();
    settings.seed_ = GENERATE(1, 2, 3);
    const auto requests = simulate(settings);
    REQUIRE(ended_late(requests) == 0);
    // Requests cancelled at the limit have wasted engine time; the queue should have refused them.
    REQUIRE(cancelled_at_limit_share(requests) <= 0.001);

    settings.transform_entry_ = [](queue_entry entry) {
        entry.deadline_ += std::chrono::hours{1};
        return entry;
    };
    REQUIRE(ended_late(simulate(settings)) > 0);
}

TEST_CASE("beside long prompts on two engines the first-token p95 of short prompts grows by at most 30%")
{
    simulation_settings without_long;
    without_long.seed_ = GENERATE(1, 2, 3);
    without_long.engines_ = 2;
    without_long.engine_preempts_ = false;
    without_long.duration_ = seconds{600};
    without_long.workloads_ = {{"short", rank::standard, 2.0, 1000, 200, 100, seconds{20}}};
    simulation_settings with_long = without_long;
    with_long.workloads_.push_back({"long", rank::standard, 0.05, 200'000, 200, 100, seconds{120}});
    const auto short_p95 = [](const simulation_settings& settings) {
        auto requests = simulate(settings);
        std::erase_if(requests, [](const simulated_request& each) { return each.workload_.caller_ == "long"; });
        return static_cast<double>(first_token_p95(requests).count());
    };
    const double bound = 1.3 * short_p95(without_long);
    REQUIRE(short_p95(with_long) <= bound);
    with_long.uses_placement_ = false;
    REQUIRE(short_p95(with_long) > bound);
}

// Guards against large requests that starve, and against small requests that are blocked by large ones.
TEST_CASE("requests that need most of the memory are answered, and small ones get at least half of the tokens")
{
    simulation_settings settings;
    settings.seed_ = GENERATE(1, 2, 3);
    settings.memory_ = 20'000;
    settings.workloads_ = {{"small", rank::standard, 40.0, 500, 500, 100, seconds{20}},
                           {"large", rank::standard, 0.1, 14'000, 200, 100, seconds{60}}};
    const auto unanswered = [&](const std::string& caller) {
        const auto requests = simulate(settings);
        return std::ranges::count_if(requests, [&](const simulated_request& each) {
            return each.workload_.caller_ == caller && !each.answered_;
        });
    };
    REQUIRE(unanswered("large") == 0);
    REQUIRE(share_of(settings, "small", caller_name) >= 0.5);
    settings.max_bypass_ratio_ = 1e9;
    REQUIRE(unanswered("large") > 0);
}
