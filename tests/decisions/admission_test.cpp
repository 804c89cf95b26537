#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const time_point now{std::chrono::hours{1}};

admission_facts waiting_facts()
{
    admission_facts facts;
    facts.waited_ = milliseconds{20};
    facts.time_left_ = milliseconds{9000};
    facts.max_wait_ = milliseconds{140};
    facts.abandon_after_ = milliseconds{2000};
    facts.fastest_first_token_ = milliseconds{100};
    facts.has_candidate_ = true;
    return facts;
}

}  // namespace

TEST_CASE("a request with a place is sent, and waits while a more urgent one may take the place")
{
    auto facts = waiting_facts();
    facts.has_place_ = true;
    CHECK(decide_admission(facts).action_ == admission_action::send);
    facts.more_urgent_waits_ = true;
    CHECK(decide_admission(facts).action_ == admission_action::wait);
    facts.waited_ = facts.max_wait_;
    CHECK(decide_admission(facts).action_ == admission_action::send);
}

TEST_CASE("a request without a place waits for its share of the target and is then refused")
{
    auto facts = waiting_facts();
    CHECK(decide_admission(facts).action_ == admission_action::wait);
    facts.waited_ = facts.max_wait_;
    CHECK(decide_admission(facts).action_ == admission_action::refuse);
    // What a server has had is continued instead.
    facts.reached_server_ = true;
    CHECK(decide_admission(facts).action_ == admission_action::wait);
}

TEST_CASE("a request that cannot be served in time any more is refused at once")
{
    auto facts = waiting_facts();
    facts.fastest_first_token_ = milliseconds{1990};
    CHECK(std::string(decide_admission(facts).reason_) == "too_late");
    facts = waiting_facts();
    facts.has_candidate_ = false;
    CHECK(decide_admission(facts).action_ == admission_action::refuse);
    facts = waiting_facts();
    facts.queue_full_ = true;
    CHECK(decide_admission(facts).action_ == admission_action::refuse);
    facts = waiting_facts();
    facts.caller_left_ = true;
    CHECK(decide_admission(facts).action_ == admission_action::refuse);
}

TEST_CASE("the most urgent request goes first, but no rank starves")
{
    waiting_order urgent;
    urgent.due_at_ = now + milliseconds{300};
    waiting_order review;
    review.priority_ = 2;
    review.due_at_ = now + milliseconds{100};
    CHECK(goes_before(urgent, review, now));
    CHECK_FALSE(goes_before(review, urgent, now));
    // Once the review has missed its target it goes before urgent requests that have not.
    CHECK(goes_before(review, urgent, now + milliseconds{200}));
}

TEST_CASE("within a rank an organisation beyond its share comes last, then the earlier target goes first")
{
    waiting_order large;
    large.due_at_ = now + milliseconds{50};
    large.share_of_fair_ = 7.5;
    waiting_order small;
    small.due_at_ = now + milliseconds{200};
    small.share_of_fair_ = 0.5;
    CHECK(goes_before(small, large, now));
    large.share_of_fair_ = 1.0;
    CHECK(goes_before(large, small, now));
}

// 200 callers that are refused within a burst. Told one constant time, all of them return within the same instant.
TEST_CASE("callers that are refused together return spread out, urgent ones first, within a third of their time")
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    constexpr std::size_t callers = 200;
    std::vector<milliseconds> times;
    times.reserve(callers);
    return_facts facts;
    facts.time_left_ = milliseconds{9000};
    facts.waiting_ = 4;
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        times.push_back(time_to_return(facts, draw(random)));
    }
    const auto [first, last] = std::ranges::minmax(times);
    CHECK(last - first >= milliseconds{120});
    const auto in_busiest_slot =
        std::ranges::count_if(times, [&](milliseconds time) { return time - first < (last - first) / 10; });
    CHECK(in_busiest_slot < 40);
    auto later_rank = facts;
    later_rank.priority_ = 2;
    CHECK(time_to_return(facts, 0.5) < time_to_return(later_rank, 0.5));
    facts.time_left_ = milliseconds{600};
    CHECK(time_to_return(facts, 0.9) <= milliseconds{200});
    facts.time_left_ = milliseconds{9000};
    facts.pause_ = milliseconds{1500};
    CHECK(time_to_return(facts, 0.0) >= milliseconds{1500});
}
