#include <algorithm>
#include <chrono>
#include <set>

#include <catch2/catch.hpp>

#include "decisions/queue_samples.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

std::vector<const engine_state*> pointers_to(const std::vector<engine_state>& engines)
{
    std::vector<const engine_state*> pointers;
    std::ranges::transform(engines, std::back_inserter(pointers), [](const engine_state& each) { return &each; });
    return pointers;
}

std::vector<engine_state> sample_engines(int count)
{
    std::vector<engine_state> engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        engines.push_back(sample_engine("e" + std::to_string(1000 + number)));
    }
    return engines;
}

std::set<std::string> chosen_ids(const std::vector<engine_state>& engines, std::int64_t prompt, int requests = 50)
{
    std::set<std::string> ids;
    for (int number = 0; number < requests; ++number)
    {
        const auto chosen = choose_engine(pointers_to(engines), sample_request("r" + std::to_string(number), prompt));
        ids.insert(chosen ? chosen->engine_->id_.get() : "none");
    }
    return ids;
}

}  // namespace

TEST_CASE("an engine that cannot run the request is never chosen")
{
    // These engines would refuse the request (draining, model, memory), cannot decode (role) or allow no estimate
    // (rate).
    const std::vector<void (*)(engine_state&)> exclusion_reasons{
        [](engine_state& engine) { engine.condition_ = engine_condition::draining; },
        [](engine_state& engine) { engine.load_.draining_ = true; },
        [](engine_state& engine) { engine.load_.models_.clear(); },
        [](engine_state& engine) { engine.load_.kv_total_ = token_count{1050}; },
        [](engine_state& engine) { engine.load_.role_ = engine_role::prefill; },
        [](engine_state& engine) {
            engine.load_.prefill_rate_ = token_rate{0.0};
        }};
    for (const auto make_unusable : exclusion_reasons)
    {
        std::vector<engine_state> engines = sample_engines(2);
        make_unusable(engines[0]);
        REQUIRE(chosen_ids(engines, 1000) == std::set{engines[1].id_.get()});
    }
    SECTION("an engine that has refused this request is not chosen again")
    {
        // The engine would refuse the request again.
        const std::vector<engine_state> engines = sample_engines(2);
        placement_request request = sample_request("r");
        request.excluded_ = {engines[0].id_, engines[1].id_};
        REQUIRE_FALSE(choose_engine(pointers_to(engines), request));
    }
}

TEST_CASE("the estimate includes all work before the first token")
{
    engine_state engine = sample_engine("e");
    placement_request request = sample_request("r", 10'000);
    REQUIRE(estimate_first_token(engine, request) >= milliseconds{1000});
    REQUIRE(estimate_first_token(engine, request) <= milliseconds{1002});

    SECTION("work sent since the load report is included, so that a burst does not go to one engine")
    {
        engine.tokens_sent_since_report_ = token_count{10'000};
        engine.load_.prefill_waiting_ = token_count{10'000};
        REQUIRE(estimate_first_token(engine, request) >= milliseconds{3000});
    }
    SECTION("a cached prefix reduces the estimate unless the cache index is stale")
    {
        // Otherwise the request could go to an engine that prefills the prefix again.
        request.prefix_keys_ = {prefix_key{1}, prefix_key{2}, prefix_key{3}};
        engine.cached_prefixes_ = {{prefix_key{1}, token_count{1024}}, {prefix_key{2}, token_count{2048}}};
        REQUIRE(estimate_first_token(engine, request) < milliseconds{800});
        engine.cache_index_stale_ = true;
        REQUIRE(estimate_first_token(engine, request) >= milliseconds{1000});
    }
    SECTION("the wait for a free slot is included")
    {
        // Otherwise an engine without a free slot would look as good as an idle one.
        engine.load_.running_ = 8;
        REQUIRE(estimate_first_token(engine, request) > milliseconds{1100});
    }
    SECTION("an unbounded wait saturates the sum instead of overflowing it")
    {
        // An overflow would wrap to a negative estimate.
        engine.load_.decode_rate_ = token_rate{0.0};
        engine.load_.running_ = 8;
        REQUIRE(estimate_first_token(engine, request) == milliseconds::max());
    }
}

TEST_CASE("the longest cached prefix is found for any number of cached blocks and any initial guess")
{
    // Guards against off-by-one errors at the ends of the search range.
    constexpr std::size_t blocks = 20;
    std::vector<prefix_key> keys;
    engine_state engine = sample_engine("e");
    for (std::uint64_t number = 1; number <= blocks; ++number)
    {
        keys.emplace_back(number);
    }
    for (std::size_t cached = 0; cached <= blocks; ++cached)
    {
        for (std::size_t guess = 0; guess <= blocks + 1; ++guess)
        {
            REQUIRE(cached_blocks(engine, keys, guess) == cached);
        }
        REQUIRE(cached_tokens(engine, keys).get() == static_cast<std::int64_t>(cached) * 1024);
        engine.cached_prefixes_[prefix_key{cached + 1}] = token_count{static_cast<std::int64_t>(cached + 1) * 1024};
    }
}

TEST_CASE("requests are spread over engines with equivalent estimates")
{
    std::vector<engine_state> engines = sample_engines(4);

    SECTION("requests placed with the same load report use all equivalent engines")
    {
        // Otherwise all VMs that decide with the same report would choose the first engine.
        REQUIRE(chosen_ids(engines, 1000).size() == 4);
    }
    SECTION("the same request is placed on the same engine regardless of the engines' order")
    {
        // Otherwise a repeated decision would move the request between engines.
        const engine_id first = choose_engine(pointers_to(engines), sample_request("r"))->engine_->id_;
        std::ranges::reverse(engines);
        REQUIRE(choose_engine(pointers_to(engines), sample_request("r"))->engine_->id_ == first);
    }
    SECTION("an engine that is clearly slower is not chosen")
    {
        engines[0].load_.prefill_waiting_ = token_count{1000};
        REQUIRE_FALSE(chosen_ids(engines, 1000).contains(engines[0].id_.get()));
    }
}

TEST_CASE("long and short prompts are placed on different engines")
{
    std::vector<engine_state> engines = sample_engines(4);
    engines[0].long_prefills_ = 1;

    SECTION("a short prompt avoids an engine with a long prefill")
    {
        // Otherwise the short prompt would wait behind the long prefill.
        REQUIRE_FALSE(chosen_ids(engines, 1000).contains(engines[0].id_.get()));
    }
    SECTION("long prompts use only engines with a long prefill once half of the engines have one")
    {
        // Otherwise long prompts would spread over all engines and leave none for short prompts.
        engines[1].long_prefills_ = 1;
        REQUIRE(chosen_ids(engines, 100'000) == std::set{engines[0].id_.get(), engines[1].id_.get()});
    }
    SECTION("a short prompt uses an engine with a long prefill when all others are much slower")
    {
        // Otherwise the other engines would be overloaded while those with a long prefill are nearly free.
        std::ranges::for_each(engines.begin() + 1, engines.end(),
                              [](engine_state& each) { each.load_.prefill_waiting_ = token_count{100'000}; });
        REQUIRE(chosen_ids(engines, 1000) == std::set{engines[0].id_.get()});
    }
    SECTION("with a single engine both kinds use it")
    {
        engines.resize(1);
        REQUIRE(chosen_ids(engines, 1000) == std::set{engines[0].id_.get()});
        REQUIRE(chosen_ids(engines, 100'000) == std::set{engines[0].id_.get()});
    }
}

TEST_CASE("time of a placement decision at 500 engines", "[.][measure]")
{
    // Prints the median. Run manually, since tests do not assert absolute times.
    const int shared_blocks = GENERATE(0, 2, 976);
    std::vector<engine_state> engines = sample_engines(500);
    placement_request request = sample_request("r", 190'000);
    for (std::uint64_t block = 1; block <= 976; ++block)
    {
        request.prefix_keys_.emplace_back(block);
        std::ranges::for_each(engines, [&](engine_state& each) {
            const std::uint64_t key = block <= static_cast<std::uint64_t>(shared_blocks) ? block : block + 1'000'000;
            each.cached_prefixes_[prefix_key{key}] = token_count{static_cast<std::int64_t>(block) * 1024};
        });
    }
    const auto pointers = pointers_to(engines);
    std::vector<double> microseconds(1001);
    std::ranges::generate(microseconds, [&] {
        const auto start = std::chrono::steady_clock::now();
        REQUIRE(choose_engine(pointers, request));
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    });
    std::ranges::nth_element(microseconds, microseconds.begin() + 500);
    WARN("median " << microseconds[500] << " us with " << shared_blocks << " shared blocks");
}
