#include <catch2/catch.hpp>

#include "cornelstall/wire.hpp"

using namespace cornelstall;

namespace
{

const claim_key key{caller_id{"driver"}, idempotency_key{"k\xff"}};
const claimed_call call{"POST", "/book?x=\xc3\xa9", body_hash{"00ff"}};

}  // namespace

TEST_CASE("claims records survive a round trip, with bytes that are not UTF-8")
{
    SECTION("claim")
    {
        const auto read = decode_claims_record(encode(claim_record{claim_id{"a"}, vm_id{"v"}, key, call}));
        const auto& claim = std::get<claim_record>(read.value());
        REQUIRE(claim.id_ == claim_id{"a"});
        REQUIRE(claim.claimant_ == vm_id{"v"});
        REQUIRE(claim.key_ == key);
        REQUIRE(claim.call_ == call);
    }
    SECTION("outcome with the largest body of the bytes that need most room")
    {
        const recorded_answer answer{outcome::ran, 201, "text/plain", std::string(max_recorded_body_size.get(), '\0'),
                                     true};
        const auto text = encode(outcome_record{claim_id{"a"}, key, call, answer});
        REQUIRE(text.size() <= max_claims_record.get());
        const auto read = decode_claims_record(text);
        const auto& outcome = std::get<outcome_record>(read.value());
        REQUIRE(outcome.answer_.body_ == answer.body_);
        REQUIRE(outcome.answer_.outcome_ == outcome::ran);
        REQUIRE(outcome.answer_.status_ == 201);
        REQUIRE(outcome.answer_.truncated_);
        REQUIRE(outcome.key_ == key);
    }
    SECTION("abandoned")
    {
        const auto read = decode_claims_record(encode(abandoned_record{claim_id{"a"}}));
        REQUIRE(std::get<abandoned_record>(read.value()).claim_ == claim_id{"a"});
    }
}

TEST_CASE("a malformed or oversized record on a shared stream must not stop its readers")
{
    const auto text = GENERATE(as<std::string>{}, "", "{", "[]", "7", R"({"kind":"claim"})", R"({"kind":"other"})",
                               R"({"kind":"abandoned","claim":""})", R"({"kind":"abandoned","claim":7})",
                               R"({"kind":"renew","data_centre":"d","holder":"h","attempt":-1,"replaces":0})",
                               R"({"kind":"renew","data_centre":"d","holder":"h","attempt":1.5,"replaces":0})",
                               R"({"kind":"abandoned","claim":")" + std::string(200'000, 'x') + "\"}");
    REQUIRE_FALSE(decode_claims_record(text));
    REQUIRE_FALSE(decode_lease_record(text));
}

TEST_CASE("lease records survive a round trip")
{
    const auto action = GENERATE(lease_action::acquire, lease_action::renew, lease_action::release);
    const lease_record record{data_centre_id{"dc"}, action, vm_id{"v"}, lease_attempt{3}, log_offset{9}};
    const auto read = decode_lease_record(encode(record)).value();
    REQUIRE(read.data_centre_ == record.data_centre_);
    REQUIRE(read.action_ == action);
    REQUIRE(read.holder_ == record.holder_);
    REQUIRE(read.attempt_ == record.attempt_);
    REQUIRE(read.replaces_ == record.replaces_);
}
