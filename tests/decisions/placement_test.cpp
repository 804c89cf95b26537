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
    std::vector<engine_state> engines = sample_engines(2);
    engine_state& unfit = engines[0];
    const std::set<std::string> other{engines[1].id_.get()};

    SECTION("a draining engine would get new work after it left")
    {
        unfit.condition_ = engine_condition::draining;
        REQUIRE(chosen_ids(engines, 1000) == other);
    }
    SECTION("an engine that reports draining before the VM list does would refuse")
    {
        unfit.load_.draining_ = true;
        REQUIRE(chosen_ids(engines, 1000) == other);
    }
    SECTION("an engine without the model would answer 404")
    {
        unfit.load_.models_.clear();
        REQUIRE(chosen_ids(engines, 1000) == other);
    }
    SECTION("an engine with less memory than prompt and output would answer 507")
    {
        unfit.load_.kv_total_ = token_count{1050};
        REQUIRE(chosen_ids(engines, 1000) == other);
    }
    SECTION("a prefill engine cannot generate")
    {
        unfit.load_.role_ = engine_role::prefill;
        REQUIRE(chosen_ids(engines, 1000) == other);
    }
    SECTION("an engine without a rate has no estimate, so it would look either free or endless")
    {
        unfit.load_.prefill_rate_ = token_rate{0.0};
        REQUIRE(chosen_ids(engines, 1000) == other);
    }
    SECTION("an engine that refused this request would refuse it again")
    {
        placement_request request = sample_request("r");
        request.excluded_ = {unfit.id_, engines[1].id_};
        REQUIRE_FALSE(choose_engine(pointers_to(engines), request));
    }
}

TEST_CASE("the estimate counts every kind of work before the first token")
{
    engine_state engine = sample_engine("e");
    placement_request request = sample_request("r", 10'000);
    REQUIRE(estimate_first_token(engine, request) >= milliseconds{1000});
    REQUIRE(estimate_first_token(engine, request) <= milliseconds{1002});

    SECTION("work sent after the report would be overlooked, so that a burst goes to one engine")
    {
        engine.sent_since_report_ = token_count{10'000};
        engine.load_.prefill_waiting_ = token_count{10'000};
        REQUIRE(estimate_first_token(engine, request) >= milliseconds{3000});
    }
    SECTION("a cached prefix would be prefilled again on another engine")
    {
        request.prefix_keys_ = {prefix_key{1}, prefix_key{2}, prefix_key{3}};
        engine.cached_prefixes_ = {{prefix_key{1}, token_count{1024}}, {prefix_key{2}, token_count{2048}}};
        REQUIRE(estimate_first_token(engine, request) < milliseconds{800});
        engine.cache_doubtful_ = true;
        REQUIRE(estimate_first_token(engine, request) >= milliseconds{1000});
    }
    SECTION("an engine without a free slot would look as good as an idle one")
    {
        engine.load_.running_ = 8;
        REQUIRE(estimate_first_token(engine, request) > milliseconds{1100});
    }
    SECTION("sums with an endless estimate would wrap to a negative one")
    {
        engine.load_.decode_rate_ = token_rate{0.0};
        engine.load_.running_ = 8;
        REQUIRE(estimate_first_token(engine, request) == milliseconds::max());
    }
}

TEST_CASE("the longest cached prefix is found for any number of cached blocks")
{
    // Guards the doubling search against off-by-one errors at its ends.
    std::vector<prefix_key> keys;
    for (std::uint64_t number = 1; number <= 40; ++number)
    {
        keys.emplace_back(number);
    }
    engine_state engine = sample_engine("e");
    REQUIRE(cached_tokens(engine, keys) == token_count{0});
    for (std::int64_t cached = 1; cached <= 40; ++cached)
    {
        engine.cached_prefixes_[prefix_key{static_cast<std::uint64_t>(cached)}] = token_count{cached * 1024};
        REQUIRE(cached_tokens(engine, keys) == token_count{cached * 1024});
    }
}

TEST_CASE("requests spread over engines whose estimates are nearly equal")
{
    std::vector<engine_state> engines = sample_engines(4);

    SECTION("VMs that act on one report would all pick the first engine")
    {
        REQUIRE(chosen_ids(engines, 1000).size() == 4);
    }
    SECTION("a repeated decision for one request would move it between engines")
    {
        const engine_id first = choose_engine(pointers_to(engines), sample_request("r"))->engine_->id_;
        std::ranges::reverse(engines);
        REQUIRE(choose_engine(pointers_to(engines), sample_request("r"))->engine_->id_ == first);
    }
    SECTION("an engine that is clearly slower is no equal")
    {
        engines[0].load_.prefill_waiting_ = token_count{1000};
        REQUIRE_FALSE(chosen_ids(engines, 1000).contains(engines[0].id_.get()));
    }
}

TEST_CASE("long and short prompts keep apart")
{
    std::vector<engine_state> engines = sample_engines(4);
    engines[0].long_prefills_ = 1;

    SECTION("a short prompt would wait behind a long prefill")
    {
        REQUIRE_FALSE(chosen_ids(engines, 1000).contains(engines[0].id_.get()));
    }
    SECTION("long prompts would spread over all engines, so that no engine is left for short ones")
    {
        engines[1].long_prefills_ = 1;
        REQUIRE(chosen_ids(engines, 100'000) == std::set{engines[0].id_.get(), engines[1].id_.get()});
    }
    SECTION("short prompts that never join a carrier would overload the rest while carriers are nearly free")
    {
        std::ranges::for_each(engines.begin() + 1, engines.end(),
                              [](engine_state& each) { each.load_.prefill_waiting_ = token_count{100'000}; });
        REQUIRE(chosen_ids(engines, 1000) == std::set{engines[0].id_.get()});
    }
    SECTION("with one engine both kinds must use it")
    {
        engines.resize(1);
        REQUIRE(chosen_ids(engines, 1000) == std::set{engines[0].id_.get()});
        REQUIRE(chosen_ids(engines, 100'000) == std::set{engines[0].id_.get()});
    }
}
