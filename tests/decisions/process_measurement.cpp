#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

// Prints performance figures of the process-level decisions and asserts no bounds. Not run by default; run with:
// test_decisions "[measure]".

using namespace cornelstall;

namespace
{

/// Resident memory of this process in bytes.
std::size_t resident_bytes()
{
    std::ifstream status("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Mean duration of @a times runs, in microseconds.
template <class Work>
double microseconds_each(int times, Work&& work)
{
    const auto started = std::chrono::steady_clock::now();
    for (int run = 0; run < times; ++run)
    {
        work(run);
    }
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - started;
    return taken.count() / times;
}

}  // namespace

TEST_CASE("cost of the claim index", "[.][measure]")
{
    constexpr int keys = 100'000;
    const claimed_call call{"POST", "/pickups/book", body_hash{std::string(64, 'a')}};
    claim_index index;
    const auto key_of = [](int number) {
        return claim_key{caller_id{"driver"}, idempotency_key{"booking-" + std::to_string(number)}};
    };
    const auto before = resident_bytes();
    const double applied = microseconds_each(keys, [&](int number) {
        const claim_id id{"vm/" + std::to_string(number)};
        const recorded_answer answer{outcome::ran, 201, "application/json", std::string(200, 'x'), false};
        apply(index, {log_offset{1},
                      log_offset{2U * static_cast<unsigned>(number) + 3U},
                      true,
                      {{index.next_, claim_record{id, vm_id{"vm"}, key_of(number), call}},
                       {index.next_.next(), outcome_record{id, key_of(number), call, answer}}}});
    });
    std::cout << "bytes per key with an answer of 200 bytes: " << (resident_bytes() - before) / keys << '\n'
              << "us to apply a claim and its outcome: " << applied << '\n';
    std::cout << "us to evaluate a key: " << microseconds_each(keys, [&](int number) {
        REQUIRE(evaluate_key(index, key_of(number), call, {}, {}).kind_ == key_decision_kind::replay);
    }) << '\n';
}

TEST_CASE("cost of planning and reconciliation", "[.][measure]")
{
    fleet_policy fleet;
    order_planner planner;
    std::vector<engine_state> engines(500);
    for (std::size_t number = 0; number < engines.size(); ++number)
    {
        const model_id model{"m" + std::to_string(number % 9)};
        engines[number].id_ = engine_id{std::to_string(number)};
        engines[number].condition_ = engine_condition::ready;
        engines[number].load_.models_ = {{model, model_version{"1"}, {}}};
        engines[number].load_.decode_rate_ = token_rate{50.0};
        engines[number].load_.slots_ = 32;
        fleet.models_[model] = {model, model_version{"1"}, {}, token_count{1'000'000}, 2};
        add_demand_sample(planner, model, {token_rate{0.0}, token_rate{60'000.0}}, {});
    }
    std::vector<const engine_state*> views;
    std::ranges::transform(engines, std::back_inserter(views), [](const engine_state& engine) { return &engine; });
    std::cout << "us to plan orders for 500 engines and 9 models: " << microseconds_each(200, [&](int) {
        REQUIRE(plan_orders(planner, {views, &fleet, 4, {}}).orders_.empty());
    }) << '\n';

    reconcile_state state;
    std::vector<holding> held;
    std::map<grant_id, grant> grants;
    for (int number = 0; number < 256; ++number)
    {
        const std::string id = std::to_string(number);
        held.push_back({{holding_kind::request, id}, request_id{id}, {}, vm_id{"vm"}, {}, {}});
        grants[grant_id{id}].entry_.request_ = request_id{id};
        grants[grant_id{id}].entry_.holder_ = vm_id{"vm"};
    }
    const auto live = [](const vm_id&) {
        return holder_condition::live;
    };
    std::cout << "us to reconcile 256 requests: " << microseconds_each(200, [&](int) {
        REQUIRE(reconcile(state, held, grants, live, time_point{} + std::chrono::hours{1}).release_.empty());
    }) << '\n';
}
