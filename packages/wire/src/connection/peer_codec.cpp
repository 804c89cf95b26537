#include "cornelstall/wire/connection/peer_codec.hpp"

#include <algorithm>
#include <iterator>

#include "message_checks.hpp"

namespace cornelstall
{

using namespace detail;

namespace
{

template <class Id, class List>
std::vector<Id> decode_ids(const List& list, const char* field)
{
    std::vector<Id> ids;
    std::ranges::transform(checked_list(list, field), std::back_inserter(ids),
                           [field](const std::string& text) { return required_id<Id>(text, field); });
    return ids;
}

}  // namespace

peer::ProbeRequest encode(const probe_request& plain)
{
    peer::ProbeRequest message;
    message.set_target(plain.target_.get());
    message.set_target_address(plain.target_address_.get());
    return message;
}

peer::ProbeReply encode(const probe_reply& plain)
{
    peer::ProbeReply message;
    message.set_reachable(plain.reachable_);
    return message;
}

probe_request decode(const peer::ProbeRequest& message)
{
    return {required_id<vm_id>(message.target(), "target"),
            checked_address(message.target_address(), "target_address")};
}

probe_reply decode(const peer::ProbeReply& message)
{
    return {message.reachable()};
}

peer::ReserveRequest encode(const reserve_request& plain)
{
    peer::ReserveRequest message;
    message.set_engine(plain.engine_.get());
    message.set_request(plain.request_.get());
    message.set_attempt(plain.attempt_.get());
    message.set_holder(plain.holder_.get());
    message.set_caller(plain.caller_.get());
    message.set_weight(plain.weight_.get());
    message.set_rank(static_cast<std::uint32_t>(plain.rank_));
    message.set_model(plain.model_.get());
    message.set_adapter(plain.adapter_.get());
    message.set_prompt(plain.prompt_.get());
    message.set_uncached(plain.uncached_.get());
    message.set_max_output(plain.max_output_.get());
    message.set_remaining_ms(static_cast<std::uint64_t>(std::max<milliseconds::rep>(0, plain.remaining_.count())));
    message.set_no_wait(plain.no_wait_);
    message.set_forwarded(plain.forwarded_);
    std::ranges::for_each(plain.prefix_keys_, [&](prefix_key key) { message.add_prefix_keys(key.get()); });
    return message;
}

reserve_request decode(const peer::ReserveRequest& message)
{
    reserve_request plain;
    plain.engine_ = optional_id<engine_id>(message.engine(), "engine");
    plain.request_ = required_id<request_id>(message.request(), "request");
    plain.attempt_ = attempt_number{message.attempt()};
    plain.holder_ = required_id<vm_id>(message.holder(), "holder");
    plain.caller_ = required_id<caller_id>(message.caller(), "caller");
    plain.weight_ = caller_weight{not_negative(message.weight(), "weight")};
    if (plain.weight_.get() == 0.0)
    {
        refuse("weight", "is zero");
    }
    plain.rank_ = checked_enum(message.rank(), rank::deferred, "rank");
    plain.model_ = required_id<model_id>(message.model(), "model");
    plain.adapter_ = optional_id<adapter_id>(message.adapter(), "adapter");
    plain.prompt_ = token_count{not_negative(message.prompt(), "prompt")};
    plain.uncached_ = token_count{not_negative(message.uncached(), "uncached")};
    plain.max_output_ = token_count{not_negative(message.max_output(), "max_output")};
    plain.remaining_ = checked_duration(message.remaining_ms(), "remaining_ms");
    plain.no_wait_ = message.no_wait();
    plain.forwarded_ = message.forwarded();
    std::ranges::transform(checked_list(message.prefix_keys(), "prefix_keys"), std::back_inserter(plain.prefix_keys_),
                           [](std::uint64_t key) { return prefix_key{key}; });
    return plain;
}

peer::ReserveReply encode(const reserve_reply& plain)
{
    peer::ReserveReply message;
    message.set_granted(plain.granted_);
    message.set_grant(plain.grant_.get());
    message.set_engine(plain.engine_.get());
    message.set_address(plain.address_.get());
    message.set_priority(plain.priority_);
    message.set_owner(plain.owner_.get());
    if (plain.refusal_)
    {
        message.set_refusal(std::string(to_string(*plain.refusal_)));
    }
    message.set_message(plain.message_);
    message.set_retry_after_ms(static_cast<std::uint64_t>(plain.retry_after_.value_or(milliseconds{0}).count()));
    message.set_not_owner(plain.not_owner_);
    return message;
}

reserve_reply decode(const peer::ReserveReply& message)
{
    reserve_reply plain;
    plain.granted_ = message.granted();
    plain.not_owner_ = message.not_owner();
    plain.owner_ = optional_id<vm_id>(message.owner(), "owner");
    plain.message_ = message.message();
    plain.priority_ = message.priority();
    if (message.retry_after_ms() != 0)
    {
        plain.retry_after_ = checked_duration(message.retry_after_ms(), "retry_after_ms");
    }
    if (plain.granted_)
    {
        plain.grant_ = required_id<grant_id>(message.grant(), "grant");
        plain.engine_ = required_id<engine_id>(message.engine(), "engine");
        plain.address_ = checked_address(message.address(), "address");
    }
    else if (!plain.not_owner_)
    {
        plain.refusal_ = parse_refusal_reason(message.refusal());
    }
    return plain;
}

peer::ReleaseRequest encode(const release_request& plain)
{
    peer::ReleaseRequest message;
    message.set_engine(plain.engine_.get());
    message.set_grant(plain.grant_.get());
    message.set_used_output(plain.used_output_.get());
    message.set_first_part_only(plain.first_part_only_);
    message.set_finished(plain.finished_);
    return message;
}

release_request decode(const peer::ReleaseRequest& message)
{
    return {required_id<engine_id>(message.engine(), "engine"), required_id<grant_id>(message.grant(), "grant"),
            token_count{not_negative(message.used_output(), "used_output")}, message.first_part_only(),
            message.finished()};
}

peer::ReleaseReply encode(const release_reply& plain)
{
    peer::ReleaseReply message;
    message.set_known(plain.known_);
    return message;
}

release_reply decode(const peer::ReleaseReply& message)
{
    return {message.known()};
}

peer::RenewRequest encode(const renew_request& plain)
{
    peer::RenewRequest message;
    message.set_holder(plain.holder_.get());
    for (const running_grant& running : plain.grants_)
    {
        peer::RunningGrant& added = *message.add_grants();
        added.set_grant(running.grant_.get());
        *added.mutable_request() = encode(running.request_);
    }
    return message;
}

renew_request decode(const peer::RenewRequest& message)
{
    renew_request plain{required_id<vm_id>(message.holder(), "holder"), {}};
    std::ranges::transform(
        checked_list(message.grants(), "grants"), std::back_inserter(plain.grants_),
        [](const peer::RunningGrant& running) {
            return running_grant{required_id<grant_id>(running.grant(), "grants.grant"), decode(running.request())};
        });
    return plain;
}

peer::RenewReply encode(const renew_reply& plain)
{
    peer::RenewReply message;
    std::ranges::for_each(plain.unknown_, [&](const grant_id& id) { message.add_unknown(id.get()); });
    return message;
}

renew_reply decode(const peer::RenewReply& message)
{
    return {decode_ids<grant_id>(message.unknown(), "unknown")};
}

peer::WantedRequest encode(const wanted_request& plain)
{
    peer::WantedRequest message;
    std::ranges::for_each(plain.requests_, [&](const request_id& id) { message.add_requests(id.get()); });
    return message;
}

wanted_request decode(const peer::WantedRequest& message)
{
    return {decode_ids<request_id>(message.requests(), "requests")};
}

peer::WantedReply encode(const wanted_reply& plain)
{
    peer::WantedReply message;
    std::ranges::for_each(plain.wanted_, [&](const request_id& id) { message.add_wanted(id.get()); });
    return message;
}

wanted_reply decode(const peer::WantedReply& message)
{
    return {decode_ids<request_id>(message.wanted(), "wanted")};
}

peer::FetchConfigurationRequest encode(const fetch_configuration_request& plain)
{
    peer::FetchConfigurationRequest message;
    message.set_version(plain.version_.get());
    return message;
}

fetch_configuration_request decode(const peer::FetchConfigurationRequest& message)
{
    return {configuration_version{message.version()}};
}

peer::FetchConfigurationReply encode(const fetch_configuration_reply& plain)
{
    peer::FetchConfigurationReply message;
    message.set_version(plain.version_.get());
    for (const declaration& each : plain.declarations_)
    {
        peer::Declaration& added = *message.add_declarations();
        added.set_service(each.service_.get());
        added.set_text(each.text_);
        added.set_accepted_at(each.accepted_at_.get());
    }
    return message;
}

fetch_configuration_reply decode(const peer::FetchConfigurationReply& message)
{
    fetch_configuration_reply plain{configuration_version{message.version()}, {}};
    std::ranges::transform(checked_list(message.declarations(), "declarations"),
                           std::back_inserter(plain.declarations_), [](const peer::Declaration& each) {
                               return declaration{required_id<service_id>(each.service(), "declarations.service"),
                                                  each.text(), log_offset{each.accepted_at()}};
                           });
    return plain;
}

}  // namespace cornelstall
