#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "decisions/choice_requests.hpp"

using namespace cornelstall;
using testing::request_for;

namespace
{

engine_profile profile()
{
    engine_profile values;
    values.slots_ = 16;
    values.kv_capacity_ = token_count{405000};
    values.decode_step_ms_ = 1.31;
    values.prefill_tokens_per_ms_ = 154;
    values.prefill_ms_per_million_token_pairs_ = 0.162;
    values.prefill_chunk_tokens_ = 2048;
    values.decode_steps_per_pass_ = 34;
    values.mean_output_tokens_ = token_count{1266};
    return values;
}

engine_work work(std::uint64_t key, std::int64_t prompt, milliseconds target, time_point now)
{
    engine_work made;
    made.key_ = execution_id{key};
    made.prompt_ = token_count{prompt};
    made.prefill_left_ = made.prompt_;
    made.answer_left_ = token_count{1266};
    made.target_ = target;
    made.max_gap_ = milliseconds{250};
    made.arrived_ = now;
    made.sent_at_ = now;
    made.value_ = request_value(made.prompt_, made.answer_left_);
    return made;
}

constexpr milliseconds short_goal{250};
constexpr milliseconds long_goal{8000};

}  // namespace

TEST_CASE("the simulation of an engine that was empty begins with its first request")
{
    // It once began at the epoch, so a choice took as long as simulating the machine's whole uptime.
    const time_point now{std::chrono::hours{24 * 365}};
    engine_simulation engine;
    add_work(engine, work(1, 5000, short_goal, now), now);
    CHECK(engine.simulated_until_ == now);
    advance(engine, profile(), 1.0, now + milliseconds{1});
    CHECK(engine.work_.front().prefill_left_ > token_count{0});
}

TEST_CASE("an idle engine reads a prompt at its reading rate")
{
    const time_point now{std::chrono::hours{1}};
    const auto forecast = forecast_placement({}, profile(), 1.0, work(1, 5000, short_goal, now), now);
    // 5,000 tokens at 154 a millisecond are 32 ms, and 2 ms for 12.5 million pairs.
    CHECK(forecast.first_token_.count() == Approx(34).margin(2));
    CHECK(forecast.fits_);
    const auto slow = forecast_placement({}, profile(), 4.0, work(1, 5000, short_goal, now), now);
    CHECK(slow.first_token_.count() == Approx(4 * 34).margin(4));
}

TEST_CASE("a long prompt beside a stream costs the stream, a short one does not")
{
    // A pass reads a chunk in each of its 34 steps, so a long prompt makes the pauses of streams last seconds.
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    add_work(engine, work(1, 5000, short_goal, now), now);
    record_first_token(engine, execution_id{1}, now);
    advance(engine, profile(), 1.0, now);
    const auto brief = forecast_placement(engine, profile(), 1.0, work(2, 5000, short_goal, now), now);
    const auto lengthy = forecast_placement(engine, profile(), 1.0, work(2, 182000, long_goal, now), now);
    const auto alone = forecast_placement({}, profile(), 1.0, work(2, 182000, long_goal, now), now);
    CHECK(brief.benefit_ > 0.8 * request_value(token_count{5000}, token_count{1266}));
    CHECK(lengthy.benefit_ < alone.benefit_ - 0.5 * request_value(token_count{5000}, token_count{1266}));
}

TEST_CASE("a request behind a full engine or beyond its memory does not fit")
{
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    for (std::uint64_t key = 1; key <= 16; ++key)
    {
        add_work(engine, work(key, 100, short_goal, now), now);
    }
    CHECK_FALSE(forecast_placement(engine, profile(), 1.0, work(99, 100, short_goal, now), now).fits_);
    CHECK_FALSE(forecast_placement({}, profile(), 1.0, work(99, 500000, long_goal, now), now).fits_);
}

TEST_CASE("the simulation never ends a request that VMs still see running")
{
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    add_work(engine, work(1, 5000, short_goal, now), now);
    advance(engine, profile(), 1.0, now + std::chrono::seconds{30});
    REQUIRE(engine.work_.size() == 1);
    CHECK_FALSE(engine.work_.front().generating_);
    CHECK(engine.work_.front().prefill_left_ > token_count{0});
    record_first_token(engine, execution_id{1}, now + std::chrono::seconds{30});
    advance(engine, profile(), 1.0, now + std::chrono::seconds{60});
    CHECK(engine.work_.front().generating_);
    REQUIRE(engine.work_.size() == 1);
    remove_work(engine, execution_id{1});
    CHECK(engine.work_.empty());
}

TEST_CASE("a read whose end was not seen yet holds back what waits behind it")
{
    // Forecasts once took prompts behind a long read for read as soon as the long read should have ended.
    const time_point now{std::chrono::hours{1}};
    const auto values = profile();
    engine_simulation engine;
    add_work(engine, work(1, 45000, long_goal, now), now);
    add_work(engine, work(2, 5000, short_goal, now + milliseconds{100}), now + milliseconds{100});
    const auto predicted =
        milliseconds{static_cast<std::int64_t>(single_engine_prefill_ms(values, token_count{45000}))};
    const auto overdue = now + predicted + milliseconds{100};
    advance(engine, values, 1.0, overdue);
    CHECK(engine.work_[1].prefill_left_ == token_count{5000});
    record_first_token(engine, execution_id{1}, overdue);
    advance(engine, values, 1.0, overdue + milliseconds{1});
    CHECK(engine.work_[0].generating_);
    CHECK(engine.simulated_until_ == overdue);
    // A report that never comes does not hold the simulation for long.
    advance(engine, values, 1.0, overdue + std::chrono::seconds{2});
    CHECK(engine.work_[1].prefill_left_ < token_count{5000});
}

TEST_CASE("the events of a pass align the simulation")
{
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    add_work(engine, work(1, 5000, short_goal, now), now);
    record_first_token(engine, execution_id{1}, now + milliseconds{40});
    advance(engine, profile(), 1.0, now + milliseconds{41});
    CHECK(engine.simulated_until_ == now + milliseconds{40});
    // A pass of one stream takes about 45 ms.
    record_pass_end(engine, now + milliseconds{92});
    advance(engine, profile(), 1.0, now + milliseconds{93});
    CHECK(engine.simulated_until_ == now + milliseconds{92});
    // News from before the present pass changes nothing.
    record_pass_end(engine, now + milliseconds{90});
    advance(engine, profile(), 1.0, now + milliseconds{94});
    CHECK(engine.simulated_until_ == now + milliseconds{92});
}

TEST_CASE("a pause that makes callers leave costs more than one that makes them late")
{
    // Long reads were placed beside streams that were late already, and their callers abandoned them.
    const time_point now{std::chrono::hours{1}};
    auto values = profile();
    engine_simulation engine;
    add_work(engine, work(1, 5000, short_goal, now), now);
    engine.work_.front().generating_ = true;
    engine.work_.front().prefill_left_ = token_count{0};
    engine.work_.front().late_ = true;
    const auto lost = [&](std::int64_t prompt) {
        const auto candidate = work(2, prompt, long_goal, now);
        return forecast_placement({}, values, 1.0, candidate, now).benefit_ -
               forecast_placement(engine, values, 1.0, candidate, now).benefit_;
    };
    values.prefill_ms_per_million_token_pairs_ = 0.0;
    CHECK(lost(45000) < 0.05);
    values.prefill_tokens_per_ms_ = 15;
    CHECK(lost(45000) > 0.1);
}

TEST_CASE("streams are kept together so that long prompts find idle engines")
{
    const time_point now{std::chrono::hours{1}};
    server_directory directory;
    fleet_load load;
    const service_description service{service_id{"s"}, "/health", 100, profile()};
    for (const auto* const name : {"a", "b", "c"})
    {
        listed_server entry;
        entry.id_ = server_id{name};
        entry.service_ = service.id_;
        entry.address_ = socket_address{std::string("10.0.0.1:8") + name};
        upsert_listed_server(directory, entry, log_offset{1}, now);
    }
    auto& busy = load.engines_[server_id{"b"}];
    add_work(busy, work(1, 5000, short_goal, now), now);
    record_first_token(busy, execution_id{1}, now);
    const auto chosen = [&](std::int64_t prompt, milliseconds goal) {
        const auto request = request_for(service, work(99, prompt, goal, now), "z", 7);
        return choose_server(directory, load, service, request, now).server_->listed_.id_;
    };
    CHECK(chosen(2000, short_goal) == server_id{"b"});
    CHECK(chosen(182000, long_goal) != server_id{"b"});
    for (std::uint64_t key = 2; key <= 14; ++key)
    {
        add_work(busy, work(key, 100, short_goal, now), now);
        record_first_token(busy, execution_id{key}, now);
    }
    // The last slots are left to VMs that decide at the same moment.
    CHECK(chosen(2000, short_goal) != server_id{"b"});
}

TEST_CASE("short prompts go where no long prompt is read, and servers to avoid come last")
{
    const time_point now{std::chrono::hours{1}};
    server_directory directory;
    fleet_load load;
    const service_description service{service_id{"s"}, "/health", 100, profile()};
    for (const auto* const name : {"a", "b"})
    {
        listed_server entry;
        entry.id_ = server_id{name};
        entry.service_ = service.id_;
        entry.address_ = socket_address{std::string("10.0.0.1:8") + name};
        upsert_listed_server(directory, entry, log_offset{1}, now);
    }
    add_work(load.engines_[server_id{"a"}], work(1, 182000, long_goal, now), now);
    auto request = request_for(service, work(2, 5000, short_goal, now), "z", 7);
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"b"});
    record_failure(directory.servers_.at(server_id{"b"}), now);
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"a"});
    request.tried_ = {server_id{"a"}};
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"b"});
    request.tried_.emplace_back("b");
    CHECK(choose_server(directory, load, service, request, now).server_ == nullptr);
}

TEST_CASE("a data centre whose servers cannot be reached is avoided as a whole")
{
    // A data centre that was cut off tried the servers of the others one by one and refused what its own could serve.
    const time_point now{std::chrono::hours{1}};
    server_directory directory;
    fleet_load load;
    const service_description service{service_id{"s"}, "/health", 100, profile()};
    for (const auto* const name : {"near", "far-1", "far-2", "far-3", "far-4", "far-5"})
    {
        listed_server entry;
        entry.id_ = server_id{name};
        entry.service_ = service.id_;
        entry.address_ = socket_address{std::string("10.0.0.1:80") + name};
        entry.data_centre_ = data_centre_id{std::string(name) == "near" ? "own" : "other"};
        upsert_listed_server(directory, entry, log_offset{1}, now);
    }
    // The near engine reads a long prompt, so an idle one elsewhere would be chosen.
    add_work(load.engines_[server_id{"near"}], work(1, 182000, long_goal, now), now);
    const auto request = request_for(service, work(2, 5000, short_goal, now), "own", 7);
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ != server_id{"near"});
    for (const auto* const name : {"far-1", "far-2"})
    {
        record_failure(directory.servers_.at(server_id{name}), now);
    }
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ != server_id{"near"});
    record_failure(directory.servers_.at(server_id{"far-3"}), now);
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"near"});
    const auto later = now + milliseconds{500};
    CHECK(choose_server(directory, load, service, request, later).server_->listed_.id_ != server_id{"near"});
}
