#include <algorithm>

#include <catch2/catch.hpp>

#include "fixed_seed.hpp"
#include "fuzz/engine_queue_model.hpp"

using namespace cornelstall::test;

namespace
{

constexpr std::uint64_t seed = 20'240'117;

rc::Gen<command> any_command()
{
    // Submissions and grants are more frequent, so that the queues fill.
    const auto kind = rc::gen::weightedElement<action>({{9, action::submit},
                                                        {1, action::submit_segment},
                                                        {9, action::grant},
                                                        {4, action::first_part},
                                                        {4, action::release},
                                                        {2, action::repeat_release},
                                                        {2, action::withdraw},
                                                        {2, action::expire},
                                                        {1, action::drain},
                                                        {3, action::end_drain},
                                                        {1, action::change_owner},
                                                        {3, action::pass_time}});
    return rc::gen::resize(
        rc::kNominalSize, rc::gen::build<command>(rc::gen::set(&command::action_, kind),
                                                  rc::gen::set(&command::target_, rc::gen::inRange<std::size_t>(0, 64)),
                                                  rc::gen::set(&command::prompt_, rc::gen::inRange(1, 12'000)),
                                                  rc::gen::set(&command::output_, rc::gen::inRange(1, 400)),
                                                  rc::gen::set(&command::time_ms_, rc::gen::inRange(0, 15'000)),
                                                  rc::gen::set(&command::rank_, rc::gen::inRange(0, 3)),
                                                  rc::gen::set(&command::caller_, rc::gen::inRange(0, 4))));
}

template <class Accepts>
bool holds(const std::string& name, wrong_owner owner, Accepts accepts)
{
    constexpr int cases = 2'000;
    return holds_with_seed(
        seed, name,
        [=] {
            const auto commands = *rc::gen::scale(4.0, rc::gen::container<std::vector<command>>(any_command()));
            RC_ASSERT(accepts(run(commands, owner)));
        },
        cases);
}

}  // namespace

TEST_CASE("no sequence of commands loses a request or capacity, or grants too late or too much")
{
    run_result total;
    REQUIRE(holds("queue commands", wrong_owner::none, [&total](const run_result& result) {
        total.granted_ += result.granted_;
        total.removed_ += result.removed_;
        total.withdrawn_ += result.withdrawn_;
        total.adopted_ += result.adopted_;
        total.moved_ += result.moved_;
        return result.violations_.empty();
    }));
    // Without each kind of end the property would hold trivially.
    CAPTURE(total.granted_, total.removed_, total.withdrawn_, total.adopted_, total.moved_);
    REQUIRE(total.granted_ > 10'000);
    REQUIRE(std::min({total.removed_, total.withdrawn_, total.adopted_, total.moved_}) > 1'000);
}

TEST_CASE("the commands find each deliberately wrong owner; otherwise the property would show nothing")
{
    const auto [owner, expected] = GENERATE(table<wrong_owner, violation>({
        {wrong_owner::release_forgets, violation::capacity_lost},
        {wrong_owner::expiry_does_nothing, violation::overdue_in_queue},
        {wrong_owner::expiry_does_nothing, violation::not_one_end},
        {wrong_owner::deadline_ignored, violation::late_grant},
        {wrong_owner::memory_doubled, violation::memory_exceeded},
        {wrong_owner::adoption_forgets, violation::memory_exceeded},
        {wrong_owner::withdrawal_forgets, violation::not_one_end},
        {wrong_owner::drain_unseen, violation::granted_while_leaving},
    }));
    const violation which = expected;
    REQUIRE_FALSE(holds("queue commands with a wrong owner", owner,
                        [=](const run_result& result) { return !result.violations_.contains(which); }));
}
