#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "decisions/choice_requests.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;
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

engine_work make_work(std::uint64_t key, std::int64_t prompt, milliseconds target, time_point now)
{
    engine_work result;
    result.key_ = execution_id{key};
    result.prompt_ = token_count{prompt};
    result.prefill_left_ = result.prompt_;
    result.answer_left_ = token_count{1266};
    result.target_ = target;
    result.max_gap_ = milliseconds{250};
    result.arrived_ = now;
    result.sent_at_ = now;
    result.value_ = request_value(result.prompt_, result.answer_left_);
    return result;
}

constexpr milliseconds short_target{250};
constexpr milliseconds long_target{8000};

}  // namespace

TEST_CASE("the simulation of an empty engine starts when its first request is added")
{
    // If it began at the epoch, a choice would take as long as simulating the whole uptime of the machine.
    const time_point now{std::chrono::hours{24 * 365}};
    engine_simulation engine;
    add_work(engine, make_work(1, 5000, short_target, now), now);
    CHECK(engine.simulated_until_ == now);
    advance(engine, profile(), 1.0, now + milliseconds{1});
    CHECK(engine.work_.front().prefill_left_ > token_count{0});
}

TEST_CASE("the forecast for an idle engine follows its prefill rate and its slowdown")
{
    const time_point now{std::chrono::hours{1}};
    const auto forecast = forecast_placement({}, profile(), 1.0, make_work(1, 5000, short_target, now), now);
    // 5,000 tokens at 154 per millisecond take 32 ms, and 12.5 million attention pairs take 2 ms.
    CHECK(forecast.first_token_.count() == Approx(34).margin(2));
    CHECK(forecast.fits_);
    const auto slow = forecast_placement({}, profile(), 4.0, make_work(1, 5000, short_target, now), now);
    CHECK(slow.first_token_.count() == Approx(4 * 34).margin(4));
}

TEST_CASE("a long prompt beside a stream has less benefit than on an idle engine, a short prompt keeps most of it")
{
    // A pass prefills a chunk in each of its 34 steps, so a long prompt stretches the gaps of streams to seconds.
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    add_work(engine, make_work(1, 5000, short_target, now), now);
    record_first_token(engine, execution_id{1}, now);
    advance(engine, profile(), 1.0, now);
    const auto with_short_prompt =
        forecast_placement(engine, profile(), 1.0, make_work(2, 5000, short_target, now), now);
    const auto with_long_prompt =
        forecast_placement(engine, profile(), 1.0, make_work(2, 182000, long_target, now), now);
    const auto idle_engine = forecast_placement({}, profile(), 1.0, make_work(2, 182000, long_target, now), now);
    CHECK(with_short_prompt.benefit_ > 0.8 * request_value(token_count{5000}, token_count{1266}));
    CHECK(with_long_prompt.benefit_ < idle_engine.benefit_ - 0.5 * request_value(token_count{5000}, token_count{1266}));
}

TEST_CASE("a request does not fit an engine without a free slot or without enough memory")
{
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    for (std::uint64_t key = 1; key <= 16; ++key)
    {
        add_work(engine, make_work(key, 100, short_target, now), now);
    }
    CHECK_FALSE(forecast_placement(engine, profile(), 1.0, make_work(99, 100, short_target, now), now).fits_);
    CHECK_FALSE(forecast_placement({}, profile(), 1.0, make_work(99, 500000, long_target, now), now).fits_);
}

// The simulation must not end a request at its predicted end while VMs still see it running.
TEST_CASE("a request without an observed end stays in the simulation")
{
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    add_work(engine, make_work(1, 5000, short_target, now), now);
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

TEST_CASE("a prefill without an observed end delays the prefill of the requests behind it")
{
    // Guards against forecasts that treat prompts behind a long prefill as done as soon as its predicted end has
    // passed.
    const time_point now{std::chrono::hours{1}};
    const auto values = profile();
    engine_simulation engine;
    add_work(engine, make_work(1, 45000, long_target, now), now);
    add_work(engine, make_work(2, 5000, short_target, now + milliseconds{100}), now + milliseconds{100});
    const auto predicted =
        milliseconds{static_cast<std::int64_t>(single_engine_prefill_ms(values, token_count{45000}))};
    const auto overdue = now + predicted + milliseconds{100};
    advance(engine, values, 1.0, overdue);
    CHECK(engine.work_[1].prefill_left_ == token_count{5000});
    record_first_token(engine, execution_id{1}, overdue);
    advance(engine, values, 1.0, overdue + milliseconds{1});
    CHECK(engine.work_[0].generating_);
    CHECK(engine.simulated_until_ == overdue);
    // A lost report does not stop the simulation for long.
    advance(engine, values, 1.0, overdue + std::chrono::seconds{2});
    CHECK(engine.work_[1].prefill_left_ < token_count{5000});
}

TEST_CASE("the simulation is aligned to the observed end of a pass")
{
    const time_point now{std::chrono::hours{1}};
    engine_simulation engine;
    add_work(engine, make_work(1, 5000, short_target, now), now);
    record_first_token(engine, execution_id{1}, now + milliseconds{40});
    advance(engine, profile(), 1.0, now + milliseconds{41});
    CHECK(engine.simulated_until_ == now + milliseconds{40});
    // A pass with one stream takes about 45 ms.
    record_pass_end(engine, now + milliseconds{92});
    advance(engine, profile(), 1.0, now + milliseconds{93});
    CHECK(engine.simulated_until_ == now + milliseconds{92});
    // An end observed before the current pass changes nothing.
    record_pass_end(engine, now + milliseconds{90});
    advance(engine, profile(), 1.0, now + milliseconds{94});
    CHECK(engine.simulated_until_ == now + milliseconds{92});
}

TEST_CASE("a gap that makes callers abandon a late stream has a cost, a shorter gap has almost none")
{
    // Guards against placing long prefills beside streams that are already late, whose callers then abandoned them.
    const time_point now{std::chrono::hours{1}};
    auto values = profile();
    engine_simulation engine;
    add_work(engine, make_work(1, 5000, short_target, now), now);
    engine.work_.front().generating_ = true;
    engine.work_.front().prefill_left_ = token_count{0};
    engine.work_.front().late_ = true;
    const auto loss_beside_stream = [&](std::int64_t prompt) {
        const auto candidate = make_work(2, prompt, long_target, now);
        return forecast_placement({}, values, 1.0, candidate, now).benefit_ -
               forecast_placement(engine, values, 1.0, candidate, now).benefit_;
    };
    values.prefill_ms_per_million_token_pairs_ = 0.0;
    CHECK(loss_beside_stream(45000) < 0.05);
    values.prefill_tokens_per_ms_ = 15;
    CHECK(loss_beside_stream(45000) > 0.1);
}

// If streams were spread over all engines, long prompts would find no idle engine.
TEST_CASE("short prompts join a busy engine with free slots, and long prompts get an idle engine")
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
        upsert_listed_server(directory, entry, at_offset(1), now);
    }
    auto& busy = load.engines_[server_id{"b"}];
    add_work(busy, make_work(1, 5000, short_target, now), now);
    record_first_token(busy, execution_id{1}, now);
    const auto chosen = [&](std::int64_t prompt, milliseconds target) {
        const auto request = request_for(service, make_work(99, prompt, target, now), "z", 7);
        return choose_server(directory, load, service, request, now).server_->listed_.id_;
    };
    CHECK(chosen(2000, short_target) == server_id{"b"});
    CHECK(chosen(182000, long_target) != server_id{"b"});
    for (std::uint64_t key = 2; key <= 14; ++key)
    {
        add_work(busy, make_work(key, 100, short_target, now), now);
        record_first_token(busy, execution_id{key}, now);
    }
    // The last slots are left to VMs that decide at the same moment.
    CHECK(chosen(2000, short_target) != server_id{"b"});
}

TEST_CASE("a short prompt avoids an engine in a long prefill, and servers in back-off are chosen last")
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
        upsert_listed_server(directory, entry, at_offset(1), now);
    }
    add_work(load.engines_[server_id{"a"}], make_work(1, 182000, long_target, now), now);
    auto request = request_for(service, make_work(2, 5000, short_target, now), "z", 7);
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"b"});
    record_failure(directory.servers_.at(server_id{"b"}), now);
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"a"});
    request.tried_ = {server_id{"a"}};
    CHECK(choose_server(directory, load, service, request, now).server_->listed_.id_ == server_id{"b"});
    request.tried_.emplace_back("b");
    CHECK(choose_server(directory, load, service, request, now).server_ == nullptr);
}

TEST_CASE("a data centre is avoided as a whole when most of its servers are in back-off")
{
    // Guards against a partitioned data centre that tries the servers of other data centres one by one and refuses
    // requests that its own servers could serve.
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
        upsert_listed_server(directory, entry, at_offset(1), now);
    }
    // The near engine prefills a long prompt, so an idle engine in the other data centre is the better choice.
    add_work(load.engines_[server_id{"near"}], make_work(1, 182000, long_target, now), now);
    const auto request = request_for(service, make_work(2, 5000, short_target, now), "own", 7);
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

namespace
{

/// An engine all of whose slots have requests that generate, with @a answer_left tokens left of each answer.
engine_simulation full_engine(token_count answer_left, time_point now)
{
    engine_simulation engine;
    for (std::uint64_t key = 1; key <= 16; ++key)
    {
        auto work = make_work(key, 5000, short_target, now - std::chrono::seconds{1});
        work.prefill_left_ = token_count{0};
        work.generating_ = true;
        work.answer_left_ = answer_left;
        add_work(engine, work, now);
    }
    return engine;
}

}  // namespace

// Guards against requests that are sent to full engines, where they wait for a slot, although they were forecast to be
// in time: in a surge they wait behind one another, and each late one makes the next late.
TEST_CASE("the forecast for a full engine includes the wait for a slot")
{
    const time_point now{std::chrono::hours{1}};
    const auto candidate = make_work(99, 5000, short_target, now);
    auto almost_full = full_engine(token_count{1000}, now);
    remove_work(almost_full, execution_id{1});
    const auto with_slot = forecast_placement(almost_full, profile(), 1.0, candidate, now);
    CHECK(with_slot.first_token_ < short_target);
    const auto without_slot = forecast_placement(full_engine(token_count{1000}, now), profile(), 1.0, candidate, now);
    // 1,000 tokens take at least 1,310 ms.
    CHECK(without_slot.first_token_ > milliseconds{1310});
    CHECK(without_slot.benefit_ < with_slot.benefit_ / 2);
}

TEST_CASE("requests that wait for a slot are served one after the other")
{
    const time_point now{std::chrono::hours{1}};
    auto engine = full_engine(token_count{340}, now);
    engine.work_.front().answer_left_ = token_count{34};
    const auto next = forecast_placement(engine, profile(), 1.0, make_work(98, 5000, short_target, now), now);
    add_work(engine, make_work(98, 5000, short_target, now), now);
    const auto second = forecast_placement(engine, profile(), 1.0, make_work(99, 5000, short_target, now), now);
    CHECK(second.first_token_ > next.first_token_);
}

TEST_CASE("answers that are longer than expected do not make a full engine look free")
{
    const time_point now{std::chrono::hours{1}};
    const auto forecast = forecast_placement(full_engine(token_count{1}, now), profile(), 1.0,
                                             make_work(99, 5000, short_target, now), now);
    CHECK(forecast.first_token_ > short_target);
}
