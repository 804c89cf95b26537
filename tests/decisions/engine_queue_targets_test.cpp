#include <catch2/catch.hpp>

#include "decisions/queue_simulation.hpp"

using namespace cornelstall;
using namespace cornelstall::test;
using std::chrono::seconds;

// The bounds are the targets of docs/design.md, section 1. Each case repeats its check on a variant that lacks the
// mechanism, where it must fail; otherwise the check would show nothing.

namespace
{

/// First in, first out: one rank and one caller.
queue_entry in_order_of_arrival(queue_entry entry)
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

/// Tokens served to @a key as a share of all tokens served.
double share_of(const simulation_settings& settings, const std::string& key, std::string (*key_of)(const workload&))
{
    const auto tokens = served_tokens(simulate(settings), settings, key_of);
    double total = 0.0;
    std::ranges::for_each(tokens, [&](const auto& each) { total += each.second; });
    return tokens.contains(key) ? tokens.at(key) / total : 0.0;
}

/// Urgent work at a fifth of the slots, deferred work at @a deferred_per_second for each 32 slots.
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

/// Urgent work at more than tenfold the capacity of about 20 requests a second.
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

TEST_CASE("the urgent rank is served as before under a tenfold overload of deferred work")
{
    const int slots = GENERATE(8, 32);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    simulation_settings calm = urgent_beside_deferred(slots, 1.0);
    simulation_settings busy = urgent_beside_deferred(slots, 140.0);  // the capacity is about 14 a second
    calm.seed_ = seed;
    busy.seed_ = seed;
    const double bound = 1.2 * static_cast<double>(first_token_p95(of_rank(simulate(calm), rank::urgent)).count());
    const auto urgent_p95 = [&] {
        return static_cast<double>(first_token_p95(of_rank(simulate(busy), rank::urgent)).count());
    };
    REQUIRE(urgent_p95() <= bound);
    busy.as_seen_ = in_order_of_arrival;
    REQUIRE(urgent_p95() > bound);
}

TEST_CASE("lower ranks keep their floors under a tenfold overload of urgent work")
{
    simulation_settings settings = urgent_overload();
    settings.seed_ = GENERATE(1, 2, 3);
    REQUIRE(share_of(settings, "standard", rank_name) >= 0.9 * 0.3);
    REQUIRE(share_of(settings, "deferred", rank_name) >= 0.9 * 0.1);
    settings.floors_ = {};
    REQUIRE(share_of(settings, "standard", rank_name) < 0.9 * 0.3);
    REQUIRE(share_of(settings, "deferred", rank_name) < 0.9 * 0.1);
}

TEST_CASE("the smallest caller gets its share beside one that asks for twenty times as much")
{
    simulation_settings settings;
    settings.seed_ = GENERATE(1, 2, 3);
    // Each of four callers asks for at least a quarter of the capacity of about 20 requests a second.
    for (const auto& [name, multiple] : {std::pair{"smallest", 1}, {"second", 2}, {"third", 5}, {"largest", 20}})
    {
        settings.workloads_.push_back({name, rank::standard, 6.0 * multiple, 1000, 200, 100, seconds{20}});
    }
    REQUIRE(share_of(settings, "smallest", caller_name) >= 0.9 / 4.0);
    settings.as_seen_ = in_order_of_arrival;
    REQUIRE(share_of(settings, "smallest", caller_name) < 0.9 / 4.0);
}

TEST_CASE("no request ends after its limit")
{
    simulation_settings settings = urgent_overload();
    settings.seed_ = GENERATE(1, 2, 3);
    const auto requests = simulate(settings);
    REQUIRE(ended_late(requests) == 0);
    // Requests cut off at the limit have used the engine for nothing; the queue is to refuse them before.
    REQUIRE(cut_off_share(requests) <= 0.001);

    settings.as_seen_ = [](queue_entry entry) {
        entry.deadline_ += std::chrono::hours{1};
        return entry;
    };
    REQUIRE(ended_late(simulate(settings)) > 0);
}

TEST_CASE("short prompts are served as before beside long ones over two engines")
{
    simulation_settings alone;
    alone.seed_ = GENERATE(1, 2, 3);
    alone.engines_ = 2;
    alone.engine_preempts_ = false;
    alone.duration_ = seconds{600};
    alone.workloads_ = {{"short", rank::standard, 2.0, 1000, 200, 100, seconds{20}}};
    simulation_settings beside = alone;
    beside.workloads_.push_back({"long", rank::standard, 0.05, 200'000, 200, 100, seconds{120}});
    const auto short_p95 = [](const simulation_settings& settings) {
        auto requests = simulate(settings);
        std::erase_if(requests, [](const simulated_request& each) { return each.kind_.caller_ == "long"; });
        return static_cast<double>(first_token_p95(requests).count());
    };
    const double bound = 1.3 * short_p95(alone);
    REQUIRE(short_p95(beside) <= bound);
    beside.chooses_engine_ = false;
    REQUIRE(short_p95(beside) > bound);
}

TEST_CASE("a request that needs most of the memory neither starves nor blocks smaller ones")
{
    simulation_settings settings;
    settings.seed_ = GENERATE(1, 2, 3);
    settings.memory_ = 20'000;
    settings.workloads_ = {{"small", rank::standard, 40.0, 500, 500, 100, seconds{20}},
                           {"large", rank::standard, 0.1, 14'000, 200, 100, seconds{60}}};
    const auto unanswered = [&](const std::string& caller) {
        const auto requests = simulate(settings);
        return std::ranges::count_if(
            requests, [&](const simulated_request& each) { return each.kind_.caller_ == caller && !each.answered_; });
    };
    REQUIRE(unanswered("large") == 0);
    REQUIRE(share_of(settings, "small", caller_name) >= 0.5);
    settings.max_bypass_ratio_ = 1e9;
    REQUIRE(unanswered("large") > 0);
}
