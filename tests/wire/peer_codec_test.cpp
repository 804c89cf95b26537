#include <catch2/catch.hpp>
#include <limits>

#include "cornelstall/wire.hpp"
#include "fixed_seed.hpp"

using namespace cornelstall;
using namespace std::chrono_literals;

namespace
{

exchange_delta full_delta()
{
    exchange_delta delta;
    delta.sender_ = vm_id{"a"};
    delta.receiver_ = vm_id{"b"};
    delta.sequence_ = 9;
    delta.acknowledged_ = 8;
    delta.full_sync_requested_ = true;
    delta.version_ = configuration_version{7};
    delta.members_ = {
        {vm_id{"a"}, socket_address{"10.0.0.1:70"}, data_centre_id{"home"}, incarnation{3}, member_state::leaving}};
    engine_state engine;
    engine.id_ = engine_id{"e"};
    engine.address_ = socket_address{"[::1]:80"};
    engine.data_centre_ = data_centre_id{"home"};
    engine.checks_fencing_ = false;
    engine.condition_ = engine_condition::draining;
    engine.load_ = {0,
                    1,
                    2,
                    3,
                    token_count{4},
                    token_count{5},
                    token_count{6},
                    token_rate{7.5},
                    token_rate{8.5},
                    {{model_id{"m"}, model_version{"1"}, {adapter_id{"x"}, adapter_id{"y"}}}},
                    engine_role::decode,
                    true};
    engine.cached_prefixes_ = {{prefix_key{11}, token_count{12}}};
    engine.cache_index_stale_ = false;
    engine.long_prefills_ = 2;
    delta.engines_ = {{engine, vm_id{"a"}, 5}};
    delta.data_centres_ = {{data_centre_id{"far"},
                            vm_id{"z"},
                            6,
                            configuration_version{7},
                            {{vm_id{"z"}, socket_address{"10.9.0.1:70"}}},
                            {{model_id{"m"}, 1, 2, 3, token_rate{4.5}}}}};
    delta.demand_ = {{model_id{"m"}, token_rate{1.5}, token_rate{2.5}}};
    return delta;
}

reserve_request full_reservation()
{
    return {engine_id{"e"},
            request_id{"r"},
            attempt_number{2},
            vm_id{"a"},
            caller_id{"sorting floor"},
            caller_weight{2},
            rank::deferred,
            model_id{"m"},
            adapter_id{"x"},
            token_count{1000},
            token_count{900},
            token_count{100},
            1500ms,
            true,
            true,
            {prefix_key{1}}};
}

/// The encoding itself is compared, so that a field that one side forgets shows.
template <class Encode>
bool survives(const Encode& encode_it, const auto& plain)
{
    const auto message = encode_it(plain);
    return encode_it(decode(message)).SerializeAsString() == message.SerializeAsString();
}

const auto encode_any = [](const auto& plain) {
    return encode(plain);
};

template <class Message>
bool is_refused(const Message& message)
{
    try
    {
        static_cast<void>(decode(message));
        return false;
    }
    catch (const connection_error& problem)
    {
        return problem.id() >= 200 && problem.id() < 300;
    }
}

}  // namespace

TEST_CASE("messages keep all fields")
{
    REQUIRE(survives(encode_request, full_delta()));
    REQUIRE(survives(encode_reply, full_delta()));
    REQUIRE(survives(encode_any, probe_request{vm_id{"a"}, socket_address{"10.0.0.1:70"}}));
    REQUIRE(survives(encode_any, probe_reply{true}));
    REQUIRE(survives(encode_any, full_reservation()));
    REQUIRE(survives(encode_any, reserve_reply{true,
                                               grant_id{"g"},
                                               engine_id{"e"},
                                               socket_address{"10.0.0.1:70"},
                                               -3,
                                               vm_id{"a"},
                                               {},
                                               "ok",
                                               250ms,
                                               false}));
    REQUIRE(
        survives(encode_any, reserve_reply{false, {}, {}, {}, 0, {}, refusal_reason::queue_full, "full", {}, false}));
    REQUIRE(survives(encode_any, release_request{engine_id{"e"}, grant_id{"g"}, token_count{5}, true, true}));
    REQUIRE(survives(encode_any, release_reply{true}));
    REQUIRE(survives(encode_any, renew_request{vm_id{"a"}, {{grant_id{"g"}, full_reservation()}}}));
    REQUIRE(survives(encode_any, renew_reply{{grant_id{"g"}}}));
    REQUIRE(survives(encode_any, wanted_request{{request_id{"r"}}}));
    REQUIRE(survives(encode_any, wanted_reply{{request_id{"r"}}}));
    REQUIRE(survives(encode_any, fetch_configuration_request{configuration_version{4}}));
    REQUIRE(survives(
        encode_any, fetch_configuration_reply{configuration_version{4}, {{service_id{"s"}, "text\n", log_offset{4}}}}));

    const exchange_delta decoded = decode(encode_request(full_delta()));
    REQUIRE(decoded.members_.front().state_ == member_state::leaving);
    REQUIRE(decoded.engines_.front().state_.condition_ == engine_condition::draining);
    REQUIRE(decoded.engines_.front().state_.cached_prefixes_.at(prefix_key{11}) == token_count{12});
}

TEST_CASE("an exchange that is malformed anywhere is refused as a whole")
{
    peer::ExchangeRequest message = encode_request(full_delta());
    REQUIRE_FALSE(is_refused(message));
    SECTION("no sender")
    {
        message.clear_sender();
    }
    SECTION("state beyond the enumerators, which would be read as any state")
    {
        message.mutable_members(0)->set_state(4);
    }
    SECTION("address without port")
    {
        message.mutable_members(0)->set_peer_address("10.0.0.1");
    }
    SECTION("port out of range")
    {
        message.mutable_members(0)->set_peer_address("10.0.0.1:65536");
    }
    SECTION("line break in an id, which could forge a log line")
    {
        message.mutable_members(0)->set_id("a\nb");
    }
    SECTION("id of unbounded length")
    {
        message.mutable_engines(0)->set_owner(std::string(max_id_bytes + 1, 'a'));
    }
    SECTION("negative load")
    {
        message.mutable_engines(0)->set_running(-1);
    }
    SECTION("rate that is not a number")
    {
        message.mutable_engines(0)->set_prefill_rate(std::numeric_limits<double>::quiet_NaN());
    }
    SECTION("infinite demand")
    {
        message.mutable_demand(0)->set_tokens_per_second(std::numeric_limits<double>::infinity());
    }
    SECTION("list without bound")
    {
        for (int number = 0; number <= max_list_items; ++number)
        {
            *message.add_members() = message.members(0);
        }
    }
    REQUIRE(is_refused(message));
}

TEST_CASE("a malformed reservation is refused")
{
    peer::ReserveRequest message = encode(full_reservation());
    REQUIRE_FALSE(is_refused(message));
    SECTION("remaining time that would overflow the clock")
    {
        message.set_remaining_ms(std::numeric_limits<std::uint64_t>::max());
    }
    SECTION("weight zero, by which fair shares divide")
    {
        message.set_weight(0.0);
    }
    SECTION("rank beyond the enumerators")
    {
        message.set_rank(3);
    }
    SECTION("negative tokens")
    {
        message.set_prompt(-1);
    }
    REQUIRE(is_refused(message));

    peer::ReserveReply reply;
    reply.set_refusal("no such reason");
    REQUIRE(is_refused(reply));
    reply.set_granted(true);
    REQUIRE(is_refused(reply));
}

TEST_CASE("altered bytes are refused or decoded, and nothing else")
{
    REQUIRE(holds_with_seed(7201, "altered bytes are refused or decoded", [] {
        std::string bytes = encode_request(full_delta()).SerializeAsString();
        const int alterations = *rc::gen::inRange(1, 6);
        for (int number = 0; number < alterations; ++number)
        {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        peer::ExchangeRequest message;
        if (message.ParseFromString(bytes))
        {
            try
            {
                static_cast<void>(decode(message));
            }
            catch (const connection_error& problem)
            {
                RC_ASSERT(problem.id() == peer_message_malformed);
            }
        }
    }));
}
