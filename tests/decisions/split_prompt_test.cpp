#include <algorithm>
#include <numeric>
#include <random>

#include <catch2/catch.hpp>

#include "decisions/queue_samples.hpp"

using namespace cornelstall;
using namespace cornelstall::test;

namespace
{

constexpr std::int64_t engine_memory = 400'000;

std::vector<engine_state> sample_engines(int count)
{
    std::vector<engine_state> engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        engines.push_back(sample_engine("e" + std::to_string(number), 8, engine_memory));
    }
    return engines;
}

split_plan plan(const std::vector<engine_state>& engines, std::int64_t prompt, std::int64_t output = 4000)
{
    std::vector<const engine_state*> pointers;
    std::ranges::transform(engines, std::back_inserter(pointers), [](const engine_state& each) { return &each; });
    split_request request;
    request.model_ = model_id{"m"};
    request.prompt_ = token_count{prompt};
    request.max_output_ = token_count{output};
    return plan_split(pointers, request);
}

void require_sound(const split_plan& planned, const std::vector<engine_state>& engines, std::int64_t prompt)
{
    token_count next{0};
    for (const prompt_segment& segment : in_prompt_order(planned))
    {
        REQUIRE(segment.first_ == next);
        next += segment.tokens_;
        const auto engine = std::ranges::find(engines, segment.engine_, &engine_state::id_);
        REQUIRE(segment.tokens_ + segment.output_ <= engine->load_.kv_total_ - engine->load_.kv_used_);
    }
    REQUIRE(next == token_count{prompt});
    REQUIRE(in_prompt_order(planned).back().decodes_);
    REQUIRE(std::ranges::count_if(planned.segments_, &prompt_segment::decodes_) == 1);
    REQUIRE(std::ranges::is_sorted(planned.segments_, {}, &prompt_segment::engine_));
}

/// One VM that reserves the segments of its prompt step by step.
struct splitting_vm
{
    std::vector<std::size_t> wanted_;  ///< engines in the order in which they are asked
    std::size_t held_ = 0;
    int refusals_ = 0;
    std::int64_t busy_until_ = 0;  ///< ms; end of a backoff or of the work
    bool working_ = false;
    bool done_ = false;
};

/// Two VMs need both engines whole. Returns how many of them finished within a minute of virtual time.
int finished_prompts(bool ascending, bool wait_while_holding, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform;
    std::vector<int> free{1, 1};
    std::vector<splitting_vm> vms(2);
    vms[0].wanted_ = {0, 1};
    vms[1].wanted_ = ascending ? std::vector<std::size_t>{0, 1} : std::vector<std::size_t>{1, 0};
    for (std::int64_t now = 0; now < 60'000; now += 10)
    {
        for (splitting_vm& vm : vms)
        {
            if (vm.done_ || now < vm.busy_until_)
            {
                continue;
            }
            const bool granted = vm.held_ < vm.wanted_.size() && free[vm.wanted_[vm.held_]] > 0;
            if (vm.working_ || (!granted && !wait_while_holding))
            {
                std::for_each_n(vm.wanted_.begin(), vm.held_, [&](std::size_t engine) { ++free[engine]; });
                vm.held_ = 0;
                vm.done_ = vm.working_;
                const auto backoff =
                    split_backoff(++vm.refusals_, uniform(random), milliseconds{60'000}, milliseconds{0});
                vm.busy_until_ = now + backoff.value_or(max_split_backoff).count();
                vm.working_ = false;
            }
            else if (granted)
            {
                --free[vm.wanted_[vm.held_++]];
                vm.working_ = vm.held_ == vm.wanted_.size();
                vm.busy_until_ = now + (vm.working_ ? 1000 : 10);
            }
        }
    }
    return static_cast<int>(std::ranges::count_if(vms, &splitting_vm::done_));
}

}  // namespace

TEST_CASE("a prompt above one engine's memory is cut over the fewest engines")
{
    std::vector<engine_state> engines = sample_engines(5);

    SECTION("tokens would be lost, doubled or put where there is no room")
    {
        for (const std::int64_t prompt : {400'001, 600'000, 1'000'000, 1'995'999, 1'996'000})
        {
            const split_plan planned = plan(engines, prompt);
            REQUIRE(planned.status_ == split_verdict::planned);
            require_sound(planned, engines, prompt);
        }
    }
    SECTION("more engines than needed would be blocked for others")
    {
        REQUIRE(plan(engines, 600'000).segments_.size() == 2);
        REQUIRE(plan(engines, 796'000).segments_.size() == 2);
        REQUIRE(plan(engines, 796'001).segments_.size() == 3);
    }
    SECTION("engines without room would refuse, while others could hold it")
    {
        engines[0].load_.kv_used_ = token_count{300'000};
        engines[3].tokens_sent_since_report_ = token_count{300'000};
        const split_plan planned = plan(engines, 700'000);
        require_sound(planned, engines, 700'000);
        REQUIRE(planned.segments_.size() == 2);
        REQUIRE(planned.segments_[0].engine_ == engine_id{"e1"});
        REQUIRE(planned.segments_[1].engine_ == engine_id{"e2"});
    }
    SECTION("a prefill engine would be asked to decode")
    {
        std::ranges::for_each(engines.begin() + 1, engines.end(),
                              [](engine_state& each) { each.load_.role_ = engine_role::prefill; });
        const split_plan planned = plan(engines, 700'000);
        require_sound(planned, engines, 700'000);
        REQUIRE(in_prompt_order(planned).back().engine_ == engine_id{"e0"});
    }
    SECTION("segments that end inside a block would never be found in the prefix cache")
    {
        const std::vector<prompt_segment> segments = in_prompt_order(plan(engines, 700'000));
        REQUIRE(segments[1].first_.get() % split_block.get() == 0);
    }
    SECTION("a prompt would start that has no time for its prefill and decode")
    {
        // 700,000 tokens at 10,000 a second, 4,000 at 100 a second.
        REQUIRE(plan(engines, 700'000).duration_ >= milliseconds{110'000});
    }
}

TEST_CASE("all segments are planned or none")
{
    std::vector<engine_state> engines = sample_engines(2);

    SECTION("a prompt beyond the total memory would be tried until its limit")
    {
        REQUIRE(plan(engines, 796'001).status_ == split_verdict::never_fits);
        engines[0].condition_ = engine_condition::draining;
        REQUIRE(plan(engines, 600'000).status_ == split_verdict::never_fits);
    }
    SECTION("a prompt would be refused for good although room only lacks at present")
    {
        engines[0].load_.kv_used_ = token_count{300'000};
        const split_plan planned = plan(engines, 600'000);
        REQUIRE(planned.status_ == split_verdict::no_room_now);
        REQUIRE(planned.segments_.empty());
    }
}

TEST_CASE("the backoff is random, grows and leaves time for the work")
{
    SECTION("two VMs with equal backoffs would collide again and again")
    {
        REQUIRE(*split_backoff(1, 0.0, milliseconds{60'000}, milliseconds{0}) == milliseconds{100});
        REQUIRE(*split_backoff(1, 0.99, milliseconds{60'000}, milliseconds{0}) > milliseconds{190});
    }
    SECTION("many VMs would keep the owners busy with refusals, or the shift would overflow")
    {
        REQUIRE(*split_backoff(3, 0.0, milliseconds{60'000}, milliseconds{0}) == milliseconds{400});
        REQUIRE(*split_backoff(1000, 0.99, milliseconds{60'000}, milliseconds{0}) <= max_split_backoff);
    }
    SECTION("a try would start that cannot end before the limit")
    {
        REQUIRE_FALSE(split_backoff(1, 0.0, milliseconds{1099}, milliseconds{1000}));
        REQUIRE_FALSE(split_backoff(1, 0.0, milliseconds{500}, milliseconds{1000}));
    }
}

TEST_CASE("two prompts that need the same engines cannot deadlock")
{
    SECTION("each would hold what the other waits for")
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            REQUIRE(finished_prompts(true, false, seed) == 2);
        }
    }
    SECTION("the check can fail: waiting while holding, in different orders, ends in a deadlock")
    {
        REQUIRE(finished_prompts(false, true, 1) == 0);
    }
}
