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

void require_valid_plan(const split_plan& planned, const std::vector<engine_state>& engines, std::int64_t prompt)
{
    token_count next{0};
    for (const prompt_segment& segment : segments_in_prompt_order(planned))
    {
        REQUIRE(segment.offset_ == next);
        next += segment.tokens_;
        const auto engine = std::ranges::find(engines, segment.engine_, &engine_state::id_);
        REQUIRE(segment.tokens_ + segment.output_ <= engine->load_.kv_total_ - engine->load_.kv_used_);
    }
    REQUIRE(next == token_count{prompt});
    REQUIRE(segments_in_prompt_order(planned).back().decodes_);
    REQUIRE(std::ranges::count_if(planned.segments_, &prompt_segment::decodes_) == 1);
    REQUIRE(std::ranges::is_sorted(planned.segments_, {}, &prompt_segment::engine_));
}

/// A VM that reserves the segments of its prompt one after the other.
struct simulated_vm
{
    std::vector<std::size_t> engine_order_;  ///< engines in the order in which they are reserved
    std::size_t reserved_count_ = 0;
    int refusals_ = 0;
    std::int64_t next_step_at_ = 0;  ///< ms; end of the current backoff, reservation call or work
    bool working_ = false;
    bool done_ = false;
};

/// Simulates two VMs whose prompts both need all memory of both engines. Returns the number of prompts that finish
/// within one minute of simulated time.
int count_finished_prompts(bool ascending, bool keep_reservations_when_refused, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform;
    std::vector<int> free_engines{1, 1};
    std::vector<simulated_vm> vms(2);
    vms[0].engine_order_ = {0, 1};
    vms[1].engine_order_ = ascending ? std::vector<std::size_t>{0, 1} : std::vector<std::size_t>{1, 0};
    for (std::int64_t now = 0; now < 60'000; now += 10)
    {
        for (simulated_vm& vm : vms)
        {
            if (vm.done_ || now < vm.next_step_at_)
            {
                continue;
            }
            const bool granted =
                vm.reserved_count_ < vm.engine_order_.size() && free_engines[vm.engine_order_[vm.reserved_count_]] > 0;
            if (vm.working_ || (!granted && !keep_reservations_when_refused))
            {
                std::for_each_n(vm.engine_order_.begin(), vm.reserved_count_,
                                [&](std::size_t engine) { ++free_engines[engine]; });
                vm.reserved_count_ = 0;
                vm.done_ = vm.working_;
                const auto backoff =
                    split_backoff(++vm.refusals_, uniform(random), milliseconds{60'000}, milliseconds{0});
                vm.next_step_at_ = now + backoff.value_or(max_split_backoff).count();
                vm.working_ = false;
            }
            else if (granted)
            {
                --free_engines[vm.engine_order_[vm.reserved_count_++]];
                vm.working_ = vm.reserved_count_ == vm.engine_order_.size();
                vm.next_step_at_ = now + (vm.working_ ? 1000 : 10);
            }
        }
    }
    return static_cast<int>(std::ranges::count_if(vms, &simulated_vm::done_));
}

}  // namespace

TEST_CASE("a prompt that exceeds the memory of one engine is split over the smallest number of engines")
{
    std::vector<engine_state> engines = sample_engines(5);

    SECTION("the segments cover each token exactly once and fit the free memory")
    {
        for (const std::int64_t prompt : {400'001, 600'000, 1'000'000, 1'995'999, 1'996'000})
        {
            const split_plan planned = plan(engines, prompt);
            REQUIRE(planned.status_ == split_status::planned);
            require_valid_plan(planned, engines, prompt);
        }
    }
    SECTION("no more engines than necessary are used")
    {
        // Additional engines would be blocked for other requests.
        REQUIRE(plan(engines, 600'000).segments_.size() == 2);
        REQUIRE(plan(engines, 796'000).segments_.size() == 2);
        REQUIRE(plan(engines, 796'001).segments_.size() == 3);
    }
    SECTION("engines without enough free memory are not used when others have it")
    {
        // Such engines would refuse their segments although others could hold them.
        engines[0].load_.kv_used_ = token_count{300'000};
        engines[3].tokens_sent_since_report_ = token_count{300'000};
        const split_plan planned = plan(engines, 700'000);
        require_valid_plan(planned, engines, 700'000);
        REQUIRE(planned.segments_.size() == 2);
        REQUIRE(planned.segments_[0].engine_ == engine_id{"e1"});
        REQUIRE(planned.segments_[1].engine_ == engine_id{"e2"});
    }
    SECTION("an engine with the prefill role does not decode")
    {
        std::ranges::for_each(engines.begin() + 1, engines.end(),
                              [](engine_state& each) { each.load_.role_ = engine_role::prefill; });
        const split_plan planned = plan(engines, 700'000);
        require_valid_plan(planned, engines, 700'000);
        REQUIRE(segments_in_prompt_order(planned).back().engine_ == engine_id{"e0"});
    }
    SECTION("segments end on a block boundary, so that the prefix cache can match them")
    {
        const std::vector<prompt_segment> segments = segments_in_prompt_order(plan(engines, 700'000));
        REQUIRE(segments[1].offset_.get() % split_block_size.get() == 0);
    }
    SECTION("the duration includes the prefill of all segments and the decode")
    {
        // Otherwise a prompt would start although too little time is left for its prefill and decode.
        // 700,000 tokens at 10,000 a second, 4,000 at 100 a second.
        REQUIRE(plan(engines, 700'000).duration_ >= milliseconds{110'000});
    }
}

TEST_CASE("a plan contains all segments or none")
{
    std::vector<engine_state> engines = sample_engines(2);

    SECTION("a prompt that exceeds the total memory is refused at once")
    {
        // Otherwise the prompt would be retried until its time limit.
        REQUIRE(plan(engines, 796'001).status_ == split_status::exceeds_total_memory);
        engines[0].condition_ = engine_condition::draining;
        REQUIRE(plan(engines, 600'000).status_ == split_status::exceeds_total_memory);
    }
    SECTION("a prompt that exceeds only the free memory can be retried")
    {
        // Otherwise the prompt would be refused permanently although memory is short only for now.
        engines[0].load_.kv_used_ = token_count{300'000};
        const split_plan planned = plan(engines, 600'000);
        REQUIRE(planned.status_ == split_status::insufficient_free_memory);
        REQUIRE(planned.segments_.empty());
    }
}

TEST_CASE("the backoff is random, grows up to a limit and leaves time for the request")
{
    SECTION("the random number varies the backoff, so that two VMs do not collide repeatedly")
    {
        REQUIRE(*split_backoff(1, 0.0, milliseconds{60'000}, milliseconds{0}) == milliseconds{100});
        REQUIRE(*split_backoff(1, 0.99, milliseconds{60'000}, milliseconds{0}) > milliseconds{190});
    }
    SECTION("the backoff doubles with each refusal, without overflow, up to its limit")
    {
        // With a constant backoff, many VMs would keep the owners busy with refusals.
        REQUIRE(*split_backoff(3, 0.0, milliseconds{60'000}, milliseconds{0}) == milliseconds{400});
        REQUIRE(*split_backoff(1000, 0.99, milliseconds{60'000}, milliseconds{0}) <= max_split_backoff);
    }
    SECTION("there is no backoff when too little time would remain for the request")
    {
        // Otherwise an attempt would start that cannot finish before the time limit.
        REQUIRE_FALSE(split_backoff(1, 0.0, milliseconds{1099}, milliseconds{1000}));
        REQUIRE_FALSE(split_backoff(1, 0.0, milliseconds{500}, milliseconds{1000}));
    }
}

TEST_CASE("two prompts that need the same engines do not deadlock")
{
    SECTION("both finish when engines are reserved in ascending order and released on refusal")
    {
        // Otherwise each prompt would hold an engine that the other waits for.
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            REQUIRE(count_finished_prompts(true, false, seed) == 2);
        }
    }
    SECTION("both deadlock in the simulation when they reserve in different orders and keep reservations on refusal")
    {
        // Shows that the check above can fail.
        REQUIRE(count_finished_prompts(false, true, 1) == 0);
    }
}
