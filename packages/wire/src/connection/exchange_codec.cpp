#include <algorithm>
#include <iterator>

#include "cornelstall/wire/connection/peer_codec.hpp"
#include "message_checks.hpp"

namespace cornelstall
{

namespace
{

using namespace detail;

void encode_member(peer::Member& message, const member& plain)
{
    message.set_id(plain.id_.get());
    message.set_peer_address(plain.peer_address_.get());
    message.set_data_centre(plain.data_centre_.get());
    message.set_incarnation(plain.incarnation_.get());
    message.set_state(static_cast<std::uint32_t>(plain.state_));
}

member decode_member(const peer::Member& message)
{
    return {required_id<vm_id>(message.id(), "member.id"),
            checked_address(message.peer_address(), "member.peer_address"),
            required_id<data_centre_id>(message.data_centre(), "member.data_centre"),
            incarnation{message.incarnation()}, checked_enum(message.state(), member_state::dead, "member.state")};
}

void encode_model(peer::LoadedModel& message, const loaded_model& plain)
{
    message.set_name(plain.name_.get());
    message.set_version(plain.version_.get());
    std::ranges::for_each(plain.adapters_, [&](const adapter_id& adapter) { message.add_adapters(adapter.get()); });
}

loaded_model decode_model(const peer::LoadedModel& message)
{
    loaded_model plain{required_id<model_id>(message.name(), "model.name"),
                       optional_id<model_version>(message.version(), "model.version"),
                       {}};
    std::ranges::transform(checked_list(message.adapters(), "model.adapters"),
                           std::inserter(plain.adapters_, plain.adapters_.end()),
                           [](const std::string& text) { return required_id<adapter_id>(text, "model.adapters"); });
    return plain;
}

void encode_engine(peer::Engine& message, const engine_summary& plain)
{
    const engine_state& state = plain.state_;
    const engine_load& load = state.load_;
    message.set_id(state.id_.get());
    message.set_address(state.address_.get());
    message.set_data_centre(state.data_centre_.get());
    message.set_checks_fencing(state.checks_fencing_);
    message.set_condition(static_cast<std::uint32_t>(state.condition_));
    message.set_running(load.running_);
    message.set_waiting(load.waiting_);
    message.set_slots(load.slots_);
    message.set_kv_used(load.kv_used_.get());
    message.set_kv_total(load.kv_total_.get());
    message.set_prefill_waiting(load.prefill_waiting_.get());
    message.set_prefill_rate(load.prefill_rate_.get());
    message.set_decode_rate(load.decode_rate_.get());
    message.set_role(static_cast<std::uint32_t>(load.role_));
    message.set_long_prefills(state.long_prefills_);
    message.set_cache_doubtful(state.cache_index_stale_);
    message.set_revision(plain.revision_);
    message.set_owner(plain.owner_.get());
    std::ranges::for_each(load.models_, [&](const auto& model) { encode_model(*message.add_models(), model); });
    for (const auto& [key, tokens] : state.cached_prefixes_)
    {
        peer::CachedPrefix& prefix = *message.add_prefixes();
        prefix.set_key(key.get());
        prefix.set_tokens(tokens.get());
    }
}

engine_load decode_load(const peer::Engine& message)
{
    engine_load load;
    load.running_ = not_negative(message.running(), "engine.running");
    load.waiting_ = not_negative(message.waiting(), "engine.waiting");
    load.slots_ = not_negative(message.slots(), "engine.slots");
    load.kv_used_ = token_count{not_negative(message.kv_used(), "engine.kv_used")};
    load.kv_total_ = token_count{not_negative(message.kv_total(), "engine.kv_total")};
    load.prefill_waiting_ = token_count{not_negative(message.prefill_waiting(), "engine.prefill_waiting")};
    load.prefill_rate_ = token_rate{not_negative(message.prefill_rate(), "engine.prefill_rate")};
    load.decode_rate_ = token_rate{not_negative(message.decode_rate(), "engine.decode_rate")};
    load.role_ = checked_enum(message.role(), engine_role::decode, "engine.role");
    std::ranges::transform(checked_list(message.models(), "engine.models"), std::back_inserter(load.models_),
                           decode_model);
    return load;
}

engine_summary decode_engine(const peer::Engine& message)
{
    engine_summary plain;
    engine_state& state = plain.state_;
    state.id_ = required_id<engine_id>(message.id(), "engine.id");
    state.address_ = checked_address(message.address(), "engine.address");
    state.data_centre_ = required_id<data_centre_id>(message.data_centre(), "engine.data_centre");
    state.checks_fencing_ = message.checks_fencing();
    state.condition_ = checked_enum(message.condition(), engine_condition::unreachable, "engine.condition");
    state.load_ = decode_load(message);
    state.load_.draining_ = state.condition_ == engine_condition::draining;
    state.long_prefills_ = not_negative(message.long_prefills(), "engine.long_prefills");
    state.cache_index_stale_ = message.cache_doubtful();
    for (const peer::CachedPrefix& prefix : checked_list(message.prefixes(), "engine.prefixes"))
    {
        state.cached_prefixes_[prefix_key{prefix.key()}] =
            token_count{not_negative(prefix.tokens(), "engine.prefixes.tokens")};
    }
    plain.owner_ = required_id<vm_id>(message.owner(), "engine.owner");
    plain.revision_ = message.revision();
    return plain;
}

void encode_data_centre(peer::DataCentre& message, const data_centre_summary& plain)
{
    message.set_id(plain.id_.get());
    message.set_author(plain.author_.get());
    message.set_revision(plain.revision_);
    message.set_configuration_version(plain.version_.get());
    for (const contact_point& contact : plain.contacts_)
    {
        peer::Contact& added = *message.add_contacts();
        added.set_id(contact.id_.get());
        added.set_peer_address(contact.peer_address_.get());
    }
    for (const model_capacity& capacity : plain.capacity_)
    {
        peer::ModelCapacity& added = *message.add_capacity();
        added.set_model(capacity.model_.get());
        added.set_engines(capacity.engines_);
        added.set_slots(capacity.slots_);
        added.set_free_slots(capacity.free_slots_);
        added.set_prefill_rate(capacity.prefill_rate_.get());
    }
}

contact_point decode_contact(const peer::Contact& message)
{
    return {required_id<vm_id>(message.id(), "contact.id"),
            checked_address(message.peer_address(), "contact.peer_address")};
}

model_capacity decode_capacity(const peer::ModelCapacity& message)
{
    return {required_id<model_id>(message.model(), "capacity.model"),
            not_negative(message.engines(), "capacity.engines"), not_negative(message.slots(), "capacity.slots"),
            not_negative(message.free_slots(), "capacity.free_slots"),
            token_rate{not_negative(message.prefill_rate(), "capacity.prefill_rate")}};
}

data_centre_summary decode_data_centre(const peer::DataCentre& message)
{
    data_centre_summary plain{required_id<data_centre_id>(message.id(), "data_centre.id"),
                              required_id<vm_id>(message.author(), "data_centre.author"),
                              message.revision(),
                              configuration_version{message.configuration_version()},
                              {},
                              {}};
    std::ranges::transform(checked_list(message.contacts(), "data_centre.contacts"),
                           std::back_inserter(plain.contacts_), decode_contact);
    std::ranges::transform(checked_list(message.capacity(), "data_centre.capacity"),
                           std::back_inserter(plain.capacity_), decode_capacity);
    return plain;
}

void encode_demand(peer::ModelDemand& message, const model_demand& plain)
{
    message.set_model(plain.model_.get());
    message.set_tokens_per_second(plain.served_.get());
    message.set_refused_tokens_per_second(plain.refused_.get());
}

model_demand decode_demand(const peer::ModelDemand& message)
{
    return {required_id<model_id>(message.model(), "demand.model"),
            token_rate{not_negative(message.tokens_per_second(), "demand.tokens_per_second")},
            token_rate{not_negative(message.refused_tokens_per_second(), "demand.refused_tokens_per_second")}};
}

template <class Message>
Message encode_exchange(const exchange_delta& plain)
{
    Message message;
    message.set_sender(plain.sender_.get());
    message.set_receiver(plain.receiver_.get());
    message.set_sequence(plain.sequence_);
    message.set_acknowledged(plain.acknowledged_);
    message.set_wants_all(plain.full_sync_requested_);
    message.set_configuration_version(plain.version_.get());
    std::ranges::for_each(plain.members_, [&](const auto& each) { encode_member(*message.add_members(), each); });
    std::ranges::for_each(plain.engines_, [&](const auto& each) { encode_engine(*message.add_engines(), each); });
    std::ranges::for_each(plain.data_centres_,
                          [&](const auto& each) { encode_data_centre(*message.add_data_centres(), each); });
    std::ranges::for_each(plain.demand_, [&](const auto& each) { encode_demand(*message.add_demand(), each); });
    return message;
}

template <class Message>
exchange_delta decode_exchange(const Message& message)
{
    exchange_delta plain;
    plain.sender_ = required_id<vm_id>(message.sender(), "sender");
    plain.receiver_ = optional_id<vm_id>(message.receiver(), "receiver");
    plain.sequence_ = message.sequence();
    plain.acknowledged_ = message.acknowledged();
    plain.full_sync_requested_ = message.wants_all();
    plain.version_ = configuration_version{message.configuration_version()};
    std::ranges::transform(checked_list(message.members(), "members"), std::back_inserter(plain.members_),
                           decode_member);
    std::ranges::transform(checked_list(message.engines(), "engines"), std::back_inserter(plain.engines_),
                           decode_engine);
    std::ranges::transform(checked_list(message.data_centres(), "data_centres"),
                           std::back_inserter(plain.data_centres_), decode_data_centre);
    std::ranges::transform(checked_list(message.demand(), "demand"), std::back_inserter(plain.demand_), decode_demand);
    return plain;
}

}  // namespace

peer::ExchangeRequest encode_request(const exchange_delta& delta)
{
    return encode_exchange<peer::ExchangeRequest>(delta);
}

peer::ExchangeReply encode_reply(const exchange_delta& delta)
{
    return encode_exchange<peer::ExchangeReply>(delta);
}

exchange_delta decode(const peer::ExchangeRequest& message)
{
    return decode_exchange(message);
}

exchange_delta decode(const peer::ExchangeReply& message)
{
    return decode_exchange(message);
}

}  // namespace cornelstall
