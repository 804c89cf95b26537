#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using std::chrono::seconds;

namespace
{

const claim_key booking{caller_id{"driver"}, idempotency_key{"k"}};
const claimed_call call{"POST", "/book", body_hash{"b"}};
const time_point start{};

claims_record claim_of(const char* id, const claimed_call& what = call)
{
    return claim_record{claim_id{id}, vm_id{"vm"}, booking, what};
}

claims_record outcome_of(const char* id)
{
    return outcome_record{claim_id{id}, booking, call, {outcome::ran, 201, "text/plain", "booked", false}};
}

claims_record abandoned_of(const char* id)
{
    return abandoned_record{claim_id{id}};
}

/// Applies @a records to @a index with consecutive offsets; the log retains all from @a oldest.
void read(claim_index& index, std::initializer_list<claims_record> records, std::uint64_t oldest = 1)
{
    claims_batch batch{log_offset{oldest}, index.next_, true, {}};
    for (const claims_record& record : records)
    {
        batch.records_.push_back({batch.next_, record});
        batch.next_ = batch.next_.next();
    }
    apply(index, batch);
}

claim_result result(const claim_index& index, const char* id)
{
    return evaluate_claim(index, booking, claim_id{id});
}

key_decision_kind decision_kind(const claim_index& index, seconds now = seconds{0})
{
    return evaluate_key(index, booking, call, start + now, start + seconds{5}).kind_;
}

}  // namespace

TEST_CASE("the first claim in offset order that is not abandoned wins")
{
    claim_index index;
    REQUIRE(result(index, "a") == claim_result::pending);
    read(index, {claim_of("a"), claim_of("b")});
    REQUIRE(result(index, "a") == claim_result::won);
    REQUIRE(result(index, "b") == claim_result::lost);

    SECTION("after the winner abandons its claim, the next claim wins")
    {
        // Otherwise an abandoned claim would block its key although nothing was sent.
        read(index, {abandoned_of("a")});
        REQUIRE(result(index, "a") == claim_result::abandoned);
        REQUIRE(result(index, "b") == claim_result::won);
    }
    SECTION("a repeated append of a claim or outcome does not change the winner")
    {
        read(index, {claim_of("b"), outcome_of("a"), outcome_of("a")});
        REQUIRE(result(index, "b") == claim_result::lost);
        REQUIRE(decision_kind(index) == key_decision_kind::replay);
    }
    SECTION("a repeated read does not apply its records twice")
    {
        apply(index, {log_offset{1}, log_offset{2}, true, {{log_offset{1}, abandoned_of("a")}}});
        REQUIRE(result(index, "a") == claim_result::won);
    }
}

// Otherwise the late claim would block the key although its claimant has given up.
TEST_CASE("a claim that arrives after its abandoned record does not count, and the next claim wins")
{
    claim_index index;
    read(index, {abandoned_of("late"), claim_of("late"), claim_of("b")});
    REQUIRE(result(index, "late") == claim_result::abandoned);
    REQUIRE(result(index, "b") == claim_result::won);
}

TEST_CASE("a retry of a key does not lead to a second call while the log retains the first claim")
{
    claim_index index;
    REQUIRE(decision_kind(index) == key_decision_kind::index_incomplete);
    read(index, {});
    REQUIRE(decision_kind(index) == key_decision_kind::may_claim);
    read(index, {claim_of("a")});
    REQUIRE(decision_kind(index) == key_decision_kind::wait);
    REQUIRE(decision_kind(index, seconds{5}) == key_decision_kind::unknown);

    SECTION("after an outcome was recorded, it is replayed with its body")
    {
        read(index, {outcome_of("a")});
        const key_decision decision = evaluate_key(index, booking, call, start, start);
        REQUIRE(decision.kind_ == key_decision_kind::replay);
        REQUIRE(decision.answer_->body_ == "booked");
    }
    SECTION("a different request with the same key is rejected instead of getting the first response")
    {
        const claimed_call other{"POST", "/book", body_hash{"c"}};
        REQUIRE(evaluate_key(index, booking, other, start, start).kind_ == key_decision_kind::different_request);
        read(index, {outcome_of("a")});
        REQUIRE(evaluate_key(index, booking, other, start, start).kind_ == key_decision_kind::different_request);
    }
    SECTION("after the log has dropped the claim, its outcome is still replayed and a later claim loses")
    {
        read(index, {outcome_of("a"), claim_of("b")});
        read(index, {}, 2);
        REQUIRE(decision_kind(index) == key_decision_kind::replay);
        REQUIRE(result(index, "b") == claim_result::lost);
    }
}

TEST_CASE("records that the log has dropped are removed, so memory does not grow with process uptime")
{
    claim_index index;
    read(index, {claim_of("a"), outcome_of("a"), abandoned_of("b")});
    read(index, {}, 4);
    REQUIRE(index.keys_.empty());
    REQUIRE(index.key_of_claim_.empty());
    REQUIRE(index.abandoned_.empty());
    REQUIRE(index.records_by_offset_.empty());
    REQUIRE(decision_kind(index) == key_decision_kind::may_claim);
}

// Unread records may contain a claim, so the VM cannot tell whether the key is free.
TEST_CASE("until the index was read from the oldest record to the end, the result for a key is index_incomplete")
{
    claim_index index;
    apply(index, {log_offset{5}, log_offset{6}, false, {{log_offset{5}, claim_of("old")}}});
    REQUIRE(decision_kind(index) == key_decision_kind::index_incomplete);
    read(index, {}, 5);
    REQUIRE(decision_kind(index) == key_decision_kind::wait);

    apply(index, {log_offset{9}, log_offset{10}, false, {{log_offset{9}, claim_of("mine")}}});
    REQUIRE(decision_kind(index) == key_decision_kind::index_incomplete);
    REQUIRE(index.gaps_ == 1);
    read(index, {}, 9);
    REQUIRE(result(index, "mine") == claim_result::won);
}

TEST_CASE("a paused claimant must not send after its claim has expired or within the margin before")
{
    REQUIRE(may_send(start, seconds{5}, start + seconds{4}));
    REQUIRE_FALSE(may_send(start, seconds{5}, start + seconds{5} - claim_margin));
    REQUIRE_FALSE(may_send(start, seconds{5}, start + seconds{60}));
    SECTION("a claim is valid for at most half of the retention time, so that it expires before the log drops it")
    {
        // If a claim outlived its log record, its call could be sent beside that of a second claim.
        REQUIRE(claim_duration(seconds{60}, seconds{40}) == seconds{20});
        REQUIRE(claim_duration(seconds{5}, seconds{40}) == seconds{5});
    }
}

TEST_CASE("a body above the size limit is truncated and marked, so that a replay is not taken for the whole body")
{
    const recorded_answer cut =
        truncate_answer({outcome::ran, 200, "", std::string(max_recorded_body_size.get() + 1, 'x')});
    REQUIRE(cut.truncated_);
    REQUIRE(cut.body_.size() == max_recorded_body_size.get());
}
