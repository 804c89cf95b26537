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
    // Submissions and grants are more frequent than other commands, so that the queues fill.
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
bool holds(const std::string& name, injected_fault fault, Accepts accepts)
{
    constexpr int cases = 2'000;
    return holds_with_seed(
        seed, name,
        [=] {
            const auto commands = *rc::gen::scale(4.0, rc::gen::container<std::vector<command>>(any_command()));
            RC_ASSERT(accepts(run(commands, fault)));
        },
        cases);
}

}  // namespace

// Guards against lost requests, capacity that is never freed, grants after the deadline and grants beyond the capacity.
TEST_CASE("random commands: each request ends once, in time and within capacity")
{
    run_result total;
    REQUIRE(holds("queue commands", injected_fault::none, [&total](const run_result& result) {
        total.granted_ += result.granted_;
        total.removed_ += result.removed_;
        total.withdrawn_ += result.withdrawn_;
        total.restored_ += result.restored_;
        total.requeued_ += result.requeued_;
        return result.violations_.empty();
    }));
    // The property would hold trivially if the commands did not cover each kind of end.
    CAPTURE(total.granted_, total.removed_, total.withdrawn_, total.restored_, total.requeued_);
    REQUIRE(total.granted_ > 10'000);
    REQUIRE(std::min({total.removed_, total.withdrawn_, total.restored_, total.requeued_}) > 1'000);
}

// Shows that the property above can detect each kind of violation.
TEST_CASE("random commands on an owner with an injected fault: the corresponding violation is found")
{
    const auto [fault, expected] = GENERATE(table<injected_fault, violation>({
        {injected_fault::release_ignored, violation::capacity_lost},
        {injected_fault::expiry_ignored, violation::overdue_in_queue},
        {injected_fault::expiry_ignored, violation::not_ended_exactly_once},
        {injected_fault::deadline_ignored, violation::late_grant},
        {injected_fault::memory_doubled, violation::memory_exceeded},
        {injected_fault::grants_not_restored, violation::memory_exceeded},
        {injected_fault::withdrawal_ignored, violation::not_ended_exactly_once},
        {injected_fault::drain_ignored, violation::granted_while_draining},
    }));
    const violation which = expected;
    REQUIRE_FALSE(holds("queue commands with an injected fault", fault,
                        [=](const run_result& result) { return !result.violations_.contains(which); }));
}
