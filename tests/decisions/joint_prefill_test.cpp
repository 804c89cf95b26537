#include <algorithm>
#include <numeric>
#include <set>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "decisions/choice_requests.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;
using testing::request_for;

namespace
{

const time_point now{std::chrono::hours{1}};

engine_profile profile()
{
    engine_profile values;
    values.slots_ = 12;
    values.kv_capacity_ = token_count{344250};
    values.decode_step_ms_ = 1.31;
    values.prefill_tokens_per_ms_ = 154;
    values.prefill_ms_per_million_token_pairs_ = 0.162;
    values.prefill_chunk_tokens_ = 2048;
    values.decode_steps_per_pass_ = 38;
    return values;
}

engine_work long_prompt(std::int64_t tokens)
{
    engine_work result;
    result.key_ = execution_id{1000};
    result.prompt_ = token_count{tokens};
    result.prefill_left_ = result.prompt_;
    result.answer_left_ = token_count{800};
    result.target_ = milliseconds{8000};
    result.abandon_after_ = milliseconds{15000};
    result.arrived_ = now;
    result.sent_at_ = now;
    result.value_ = request_value(result.prompt_, result.answer_left_);
    return result;
}

/// A service with @a engines idle engines.
struct fleet
{
    explicit fleet(int engines) : service_{service_id{"s"}, "/health", 100, profile()}
    {
        for (int index = 0; index < engines; ++index)
        {
            listed_server entry;
            entry.id_ = server_id{"engine-" + std::to_string(index)};
            entry.service_ = service_.id_;
            entry.address_ = socket_address{"10.0.0." + std::to_string(index + 1) + ":80"};
            upsert_listed_server(directory_, entry, at_offset(1), now);
        }
    }

    std::optional<joint_prefill> choose(std::int64_t tokens, std::optional<double> single_engine,
                                        std::uint64_t seed = 7)
    {
        const auto request = request_for(service_, long_prompt(tokens), "z", seed);
        return choose_joint_prefill(directory_, load_, service_, request, single_engine, now);
    }

    service_description service_;
    server_directory directory_;
    fleet_load load_;
};

}  // namespace

TEST_CASE("a prompt that exceeds the memory of one engine is prefilled and held by several engines")
{
    // A single engine refuses such a prompt; in large deployments this applied to a third of the longest prompts.
    fleet engines(20);
    constexpr std::int64_t prompt = 700000;
    const auto joint = engines.choose(prompt, std::nullopt);
    REQUIRE(joint);
    const auto& parts = joint->parts_;
    CHECK_FALSE(parts.front().work_.is_helper_);
    CHECK(parts.front().reserved_ == token_count{0});
    CHECK(std::all_of(parts.begin() + 1, parts.end(),
                      [](const joint_prefill_part& part) { return part.work_.is_helper_; }));
    std::int64_t held = 0;
    std::int64_t prefilled = 0;
    std::set<server_id> servers;
    for (const auto& part : parts)
    {
        held += part.work_.prompt_.get();
        prefilled += part.work_.prefill_left_.get();
        servers.insert(part.server_.id_);
        CHECK(part.work_.prompt_ + part.work_.answer_left_ <= profile().kv_capacity_);
        CHECK((part.reserved_ == token_count{0} || part.reserved_ == part.work_.prompt_));
    }
    CHECK(held == prompt);
    CHECK(prefilled >= prompt);
    CHECK(servers.size() == parts.size());
    CHECK(joint->forecast_.first_token_ < milliseconds{8000});
}

TEST_CASE("a prompt that one engine cannot prefill within the target is prefilled by several engines")
{
    fleet engines(20);
    const auto single_engine = forecast_placement({}, profile(), 1.0, long_prompt(300000), now);
    CHECK(single_engine.first_token_ > milliseconds{8000});
    const auto joint = engines.choose(300000, single_engine.benefit_);
    REQUIRE(joint);
    CHECK(joint->forecast_.first_token_ < milliseconds{5000});
    // A short prompt gains nothing from a joint prefill.
    CHECK_FALSE(engines.choose(20000, 0.0));
}

TEST_CASE("engines with streams and the idle reserve take no part in a joint prefill")
{
    // Guards against parts on engines with streams, which stalled the streams for seconds until their callers left.
    fleet engines(20);
    for (int index = 0; index < 15; ++index)
    {
        auto stream = long_prompt(100);
        stream.key_ = execution_id{static_cast<std::uint64_t>(index)};
        auto& engine = engines.load_.engines_[server_id{"engine-" + std::to_string(index)}];
        add_work(engine, stream, now);
        record_first_token(engine, stream.key_, now);
    }
    const auto joint = engines.choose(300000, -100.0);
    REQUIRE(joint);
    CHECK(joint->parts_.size() == 2);
    CHECK(std::ranges::all_of(joint->parts_, [&engines](const joint_prefill_part& part) {
        return engines.load_.engines_[part.server_.id_].work_.empty();
    }));
    fleet few(3);
    add_work(few.load_.engines_[server_id{"engine-0"}], long_prompt(100), now);
    add_work(few.load_.engines_[server_id{"engine-1"}], long_prompt(100), now);
    // The prompt has to wait for the busy engines instead.
    const auto waiting = few.choose(700000, std::nullopt);
    CHECK((!waiting || waiting->starts_in_ > milliseconds{0}));
}

TEST_CASE("a prompt that exceeds the memory of one engine waits for the engines that become idle first")
{
    // Guards against refusing such prompts while too few engines are idle; two thirds of them were never served.
    fleet engines(20);
    for (int index = 0; index < 20; ++index)
    {
        auto stream = long_prompt(100);
        stream.key_ = execution_id{static_cast<std::uint64_t>(index)};
        stream.answer_left_ = token_count{index < 8 ? 100 : 2000};
        auto& engine = engines.load_.engines_[server_id{"engine-" + std::to_string(index)}];
        add_work(engine, stream, now);
        record_first_token(engine, stream.key_, now);
        advance(engine, profile(), 1.0, now);
    }
    const auto joint = engines.choose(500000, std::nullopt);
    REQUIRE(joint);
    CHECK(joint->starts_in_ > milliseconds{0});
    CHECK(joint->starts_in_ < milliseconds{1000});
    CHECK(joint->forecast_.first_token_ > joint->starts_in_);
    CHECK(std::ranges::all_of(joint->parts_, [&engines](const joint_prefill_part& part) {
        return engines.load_.engines_[part.server_.id_].work_.front().answer_left_ <= token_count{100};
    }));
}

TEST_CASE("engines held by an earlier request are left to that request")
{
    fleet engines(20);
    const auto hold_engines_from = [&engines](int first, time_point arrived) {
        for (int index = first; index < 20; ++index)
        {
            engine_work hold;
            hold.key_ = execution_id{7};
            hold.holds_engine_ = true;
            hold.is_helper_ = true;
            hold.arrived_ = arrived;
            engines.load_.engines_[server_id{"engine-" + std::to_string(index)}].work_ = {hold};
        }
    };
    hold_engines_from(14, now + milliseconds{5});
    CHECK(engines.choose(300000, std::nullopt));
    hold_engines_from(0, now - milliseconds{5});
    CHECK_FALSE(engines.choose(300000, std::nullopt));
    hold_engines_from(19, now - milliseconds{5});
    const auto other = request_for(engines.service_, long_prompt(1000), "z", 3);
    for (int index = 0; index < 19; ++index)
    {
        engines.load_.engines_[server_id{"engine-" + std::to_string(index)}].work_.clear();
    }
    const auto chosen = choose_server(engines.directory_, engines.load_, engines.service_, other, now);
    REQUIRE(chosen.server_ != nullptr);
    CHECK(chosen.server_->listed_.id_ != server_id{"engine-19"});
}

TEST_CASE("no joint prefill is chosen for a prompt whose caller would leave before the first token")
{
    // Guards against two engines that prefill such a prompt for ten seconds or more until the time limit ends it.
    fleet engines(4);
    auto work = long_prompt(600000);
    work.abandon_after_ = milliseconds{13000};
    const auto request = request_for(engines.service_, work, "z", 7);
    CHECK_FALSE(choose_joint_prefill(engines.directory_, engines.load_, engines.service_, request, std::nullopt, now));
}

TEST_CASE("different tie-break seeds lead to different engines")
{
    // Guards against two VMs that choose the same two engines within a millisecond; both prompts then missed their time
    // limit.
    fleet engines(40);
    std::set<server_id> answering;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        const auto joint = engines.choose(300000, std::nullopt, seed * 0x9E3779B97F4A7C15ULL);
        REQUIRE(joint);
        answering.insert(joint->parts_.front().server_.id_);
    }
    CHECK(answering.size() > 5);
}

TEST_CASE("an engine that only holds memory for another engine is idle and has no slot in use")
{
    engine_simulation engine;
    auto part = long_prompt(300000);
    part.is_helper_ = true;
    part.joint_prompt_ = part.prompt_;
    part.prefill_left_ = token_count{0};
    part.answer_left_ = token_count{0};
    add_work(engine, part, now);
    advance(engine, profile(), 1.0, now + std::chrono::seconds{5});
    CHECK(engine.simulated_until_ == now + std::chrono::seconds{5});
    CHECK(slots_used(engine) == 0);
    CHECK(memory_used(engine) == token_count{300000});
}
