#include "cornelstall/runtime/connection/peer_channel.hpp"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>
#include <peer.grpc.pb.h>

#include "cornelstall/runtime/connection/grpc_call.hpp"
#include "cornelstall/wire/connection/peer_codec.hpp"

namespace cornelstall
{

namespace
{

/// A connection without any data for this long while a call waits is tested with a ping.
constexpr milliseconds keepalive_time{1000};
/// Time for the answer to a ping. Together with keepalive_time, a silent connection is found within 2 s.
constexpr milliseconds keepalive_timeout{1000};
/// A restarted peer is reached again within this time.
constexpr milliseconds longest_backoff{1000};
constexpr milliseconds shortest_backoff{100};
/// The whole configuration travels in one reply; 1,000 declarations of 16 KB are 16 MB.
constexpr int max_reply_bytes = 64 * 1024 * 1024;

using stub_type = peer::Peer::Stub;

std::unique_ptr<stub_type> connect(const socket_address& address, const peer_credentials& credentials)
{
    grpc::ChannelArguments arguments;
    // Without a pool of its own, a new channel would reuse the silent connection of the old one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(keepalive_time.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(keepalive_timeout.count()));
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(shortest_backoff.count()));
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(longest_backoff.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(longest_backoff.count()));
    arguments.SetMaxReceiveMessageSize(max_reply_bytes);
    if (!credentials.certificate_.empty())
    {
        arguments.SetSslTargetNameOverride(peer_certificate_name);
    }
    return peer::Peer::NewStub(grpc::CreateCustomChannel(address.get(), channel_credentials(credentials), arguments));
}

gpr_timespec deadline_after(milliseconds limit)
{
    // gRPC's own clock is monotonic too, so that a step of the wall clock neither ends nor prolongs a call.
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_millis(limit.count(), GPR_TIMESPAN));
}

int error_id_of(grpc::StatusCode code)
{
    switch (code)
    {
        case grpc::StatusCode::UNAVAILABLE:
            return peer_unreachable;
        case grpc::StatusCode::DEADLINE_EXCEEDED:
            return peer_silent;
        case grpc::StatusCode::UNAUTHENTICATED:
        case grpc::StatusCode::FAILED_PRECONDITION:
            return peer_refused_us;
        case grpc::StatusCode::CANCELLED:
            return peer_cancelled;
        case grpc::StatusCode::INVALID_ARGUMENT:
            return peer_message_malformed;
        default:
            return peer_failed;
    }
}

template <class Request, class Reply>
using method = void (peer::Peer::StubInterface::async_interface::*)(grpc::ClientContext*, const Request*, Reply*,
                                                                    std::function<void(grpc::Status)>);

/// Everything that gRPC uses until the call has ended.
template <class Request, class Reply>
struct pending_call
{
    grpc::ClientContext context_;
    Request request_;
    Reply reply_;
};

}  // namespace

namespace detail
{

struct channel_state
{
    vm_id self_;
    socket_address address_;
    peer_credentials credentials_;
    metrics* counters_ = nullptr;
    std::shared_ptr<stub_type> stub_;
};

}  // namespace detail

namespace
{

template <class Reply, class Request>
task<Reply> call_peer(std::shared_ptr<detail::channel_state> channel, method<Request, Reply> which, Request request,
                      milliseconds limit, std::shared_ptr<call_control> control = nullptr)
{
    auto pending = std::make_shared<pending_call<Request, Reply>>();
    pending->request_ = std::move(request);
    pending->context_.set_deadline(deadline_after(limit));
    pending->context_.AddMetadata(key_metadata, channel->credentials_.key_);
    pending->context_.AddMetadata(sender_metadata, channel->self_.get());
    channel->counters_->count("peer_messages_sent_total");
    channel->counters_->count("peer_bytes_sent_total", {}, pending->request_.ByteSizeLong());

    // This frame keeps the stub. If gRPC's callback kept it, its thread could drop the last reference to a channel and
    // would then wait for its own end.
    const auto stub = channel->stub_;
    const auto start = [&](const grpc_callback& ended) {
        (stub->async()->*which)(&pending->context_, &pending->request_, &pending->reply_, ended);
        if (control)
        {
            control->cancel_ = [pending] {
                pending->context_.TryCancel();
            };
        }
    };
    const grpc::Status status = co_await await_call(start);
    if (control)
    {
        control->cancel_ = nullptr;
    }
    if (!status.ok())
    {
        throw connection_error(error_id_of(status.error_code()), "call to peer " + channel->address_.get() +
                                                                     " failed: " + status.error_message() +
                                                                     "; check that it runs and has the same peer key");
    }
    channel->counters_->count("peer_bytes_received_total", {}, pending->reply_.ByteSizeLong());
    co_return std::move(pending->reply_);
}

/// Encodes the request, calls, and decodes the reply.
template <class Plain, class Request, class Reply>
task<Plain> exchange_plain(std::shared_ptr<detail::channel_state> channel, method<Request, Reply> which,
                           Request request, milliseconds limit, std::shared_ptr<call_control> control = nullptr)
{
    const Reply reply = co_await call_peer<Reply>(channel, which, std::move(request), limit, control);
    co_return decode(reply);
}

using interface = peer::Peer::StubInterface::async_interface;

}  // namespace

peer_channel::peer_channel(vm_id self, socket_address address, peer_credentials credentials, metrics& counters)
    : state_(std::make_shared<detail::channel_state>())
{
    state_->self_ = std::move(self);
    state_->address_ = std::move(address);
    state_->credentials_ = std::move(credentials);
    state_->counters_ = &counters;
    replace();
}

task<exchange_delta> peer_channel::exchange(const exchange_delta& delta, milliseconds limit)
{
    return exchange_plain<exchange_delta, peer::ExchangeRequest, peer::ExchangeReply>(state_, &interface::Exchange,
                                                                                      encode_request(delta), limit);
}

task<probe_reply> peer_channel::probe(const probe_request& request, milliseconds limit)
{
    return exchange_plain<probe_reply, peer::ProbeRequest, peer::ProbeReply>(state_, &interface::Probe, encode(request),
                                                                             limit);
}

task<reserve_reply> peer_channel::reserve(const reserve_request& request, milliseconds limit,
                                          std::shared_ptr<call_control> control)
{
    return exchange_plain<reserve_reply, peer::ReserveRequest, peer::ReserveReply>(
        state_, &interface::Reserve, encode(request), limit, std::move(control));
}

task<release_reply> peer_channel::release(const release_request& request, milliseconds limit)
{
    return exchange_plain<release_reply, peer::ReleaseRequest, peer::ReleaseReply>(state_, &interface::Release,
                                                                                   encode(request), limit);
}

task<renew_reply> peer_channel::renew(const renew_request& request, milliseconds limit)
{
    return exchange_plain<renew_reply, peer::RenewRequest, peer::RenewReply>(state_, &interface::Renew, encode(request),
                                                                             limit);
}

task<wanted_reply> peer_channel::wanted(const wanted_request& request, milliseconds limit)
{
    return exchange_plain<wanted_reply, peer::WantedRequest, peer::WantedReply>(state_, &interface::Wanted,
                                                                                encode(request), limit);
}

task<fetch_configuration_reply> peer_channel::fetch_configuration(const fetch_configuration_request& request,
                                                                  milliseconds limit)
{
    return exchange_plain<fetch_configuration_reply, peer::FetchConfigurationRequest, peer::FetchConfigurationReply>(
        state_, &interface::FetchConfiguration, encode(request), limit);
}

void peer_channel::replace()
{
    state_->stub_ = connect(state_->address_, state_->credentials_);
}

const socket_address& peer_channel::address() const noexcept
{
    return state_->address_;
}

}  // namespace cornelstall
