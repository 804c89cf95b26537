#include "cornelstall/runtime/connection/peer_server.hpp"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <peer.grpc.pb.h>

#include <atomic>
#include <string>
#include <utility>

#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/wire/connection/peer_codec.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind peer_refused{2020, "peer_refused"};

/// Peers ping a connection every second while a call waits; gRPC's default allows one ping in five minutes.
constexpr int least_ping_interval_ms = 500;
/// Prefix keys of a prompt of a million tokens take 8 KB; a first exchange takes 64 KB.
constexpr int max_request_bytes = 4 * 1024 * 1024;

/// The end of one call, which may come from the handler or from a cancellation; only the first counts.
class call_end
{
  public:
    explicit call_end(grpc::ServerUnaryReactor& reactor) : reactor_(&reactor) {}

    /// True for the first caller, which must finish the call. Message and reply stay valid until then.
    [[nodiscard]] bool claim()
    {
        return !claimed_.exchange(true);
    }

    void finish(const grpc::Status& status)
    {
        reactor_->Finish(status);
    }

    void finish_if_first(const grpc::Status& status)
    {
        if (claim())
        {
            finish(status);
        }
    }

  private:
    grpc::ServerUnaryReactor* reactor_;
    std::atomic<bool> claimed_{false};
};

/// Ends the call when its handler is destroyed before it has replied; the server could not shut down otherwise.
class end_guard
{
  public:
    explicit end_guard(std::shared_ptr<call_end> end) : end_(std::move(end)) {}
    ~end_guard()
    {
        end_->finish_if_first({grpc::StatusCode::UNAVAILABLE, "the peer is stopping"});
    }
    end_guard(const end_guard&) = delete;
    end_guard& operator=(const end_guard&) = delete;
    end_guard(end_guard&&) = delete;
    end_guard& operator=(end_guard&&) = delete;

  private:
    std::shared_ptr<call_end> end_;
};

/// gRPC's side of one call. Deletes itself when gRPC is done with it.
class call_reactor final : public grpc::ServerUnaryReactor
{
  public:
    explicit call_reactor(executor where)
        : where_(std::move(where)), call_(std::make_shared<peer_call>()), end_(std::make_shared<call_end>(*this))
    {}

    [[nodiscard]] const std::shared_ptr<peer_call>& call() const
    {
        return call_;
    }

    [[nodiscard]] const std::shared_ptr<call_end>& end() const
    {
        return end_;
    }

    void OnCancel() override
    {
        // The call ends here, whatever the handler does, so that the server can be closed without the Asio thread.
        end_->finish_if_first(grpc::Status::CANCELLED);
        boost::asio::post(where_, [call = call_] {
            call->cancelled_ = true;
            if (const auto notify = std::exchange(call->on_cancel_, nullptr))
            {
                notify();
            }
        });
    }

    void OnDone() override
    {
        delete this;
    }

  private:
    executor where_;
    std::shared_ptr<peer_call> call_;
    std::shared_ptr<call_end> end_;
};

std::string metadata_of(const grpc::CallbackServerContext& context, const char* name)
{
    const auto found = context.client_metadata().find(name);
    return found == context.client_metadata().end() ? std::string{}
                                                    : std::string(found->second.data(), found->second.size());
}

peer::ExchangeReply encode(const exchange_delta& delta)
{
    return encode_reply(delta);
}

template <class ReplyMessage, class Reply, class Request>
task<> run_handler(peer_handler<Reply, Request> handler, Request request, ReplyMessage* reply,
                   std::shared_ptr<peer_call> call, std::shared_ptr<call_end> end, std::shared_ptr<end_guard> guard)
{
    static_cast<void>(guard);
    grpc::Status status;
    ReplyMessage message;
    try
    {
        message = encode(co_await handler(std::move(request), call));
    }
    catch (const error& problem)
    {
        status = {grpc::StatusCode::FAILED_PRECONDITION, problem.what()};
    }
    catch (const std::exception& problem)
    {
        status = {grpc::StatusCode::INTERNAL, problem.what()};
    }
    call->on_cancel_ = nullptr;
    if (end->claim())
    {
        *reply = std::move(message);
        end->finish(status);
    }
}

class peer_service final : public peer::Peer::CallbackService
{
  public:
    peer_service(executor where, peer_credentials credentials, peer_handlers handlers, metrics& counters)
        : where_(std::move(where)),
          credentials_(std::move(credentials)),
          handlers_(std::move(handlers)),
          counters_(&counters)
    {}

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const peer::ExchangeRequest* request,
                                       peer::ExchangeReply* reply) override
    {
        return accept("Exchange", *context, *request, reply, handlers_.exchange_);
    }

    grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* context, const peer::ProbeRequest* request,
                                    peer::ProbeReply* reply) override
    {
        return accept("Probe", *context, *request, reply, handlers_.probe_);
    }

    grpc::ServerUnaryReactor* Reserve(grpc::CallbackServerContext* context, const peer::ReserveRequest* request,
                                      peer::ReserveReply* reply) override
    {
        return accept("Reserve", *context, *request, reply, handlers_.reserve_);
    }

    grpc::ServerUnaryReactor* Release(grpc::CallbackServerContext* context, const peer::ReleaseRequest* request,
                                      peer::ReleaseReply* reply) override
    {
        return accept("Release", *context, *request, reply, handlers_.release_);
    }

    grpc::ServerUnaryReactor* Renew(grpc::CallbackServerContext* context, const peer::RenewRequest* request,
                                    peer::RenewReply* reply) override
    {
        return accept("Renew", *context, *request, reply, handlers_.renew_);
    }

    grpc::ServerUnaryReactor* Wanted(grpc::CallbackServerContext* context, const peer::WantedRequest* request,
                                     peer::WantedReply* reply) override
    {
        return accept("Wanted", *context, *request, reply, handlers_.wanted_);
    }

    grpc::ServerUnaryReactor* FetchConfiguration(grpc::CallbackServerContext* context,
                                                 const peer::FetchConfigurationRequest* request,
                                                 peer::FetchConfigurationReply* reply) override
    {
        return accept("FetchConfiguration", *context, *request, reply, handlers_.fetch_configuration_);
    }

  private:
    /// Checks a call on gRPC's thread and hands it over.
    template <class RequestMessage, class ReplyMessage, class Reply, class Request>
    grpc::ServerUnaryReactor* accept(const char* method, const grpc::CallbackServerContext& context,
                                     const RequestMessage& message, ReplyMessage* reply,
                                     const peer_handler<Reply, Request>& handler)
    {
        // gRPC owns the reactor until OnDone.
        auto* const reactor = new call_reactor(where_);
        if (!is_peer_key(credentials_, metadata_of(context, key_metadata)))
        {
            refuse(
                *reactor, "key", method, context.peer(),
                {grpc::StatusCode::UNAUTHENTICATED, "the peer key is missing or wrong; set the same key on all VMs"});
            return reactor;
        }
        if (!handler)
        {
            reactor->end()->finish_if_first(
                {grpc::StatusCode::UNIMPLEMENTED, "this process does not serve the method"});
            return reactor;
        }
        try
        {
            reactor->call()->sender_ = vm_id{metadata_of(context, sender_metadata)};
            hand_over(method, *reactor, decode(message), reply, handler);
        }
        catch (const connection_error& problem)
        {
            refuse(*reactor, "malformed", method, context.peer(), {grpc::StatusCode::INVALID_ARGUMENT, problem.what()});
        }
        return reactor;
    }

    template <class ReplyMessage, class Reply, class Request>
    void hand_over(const char* method, const call_reactor& reactor, Request request, ReplyMessage* reply,
                   const peer_handler<Reply, Request>& handler)
    {
        // Nothing here refers to the service, which may be gone when the Asio thread gets to it.
        boost::asio::post(where_, [where = where_, counters = counters_, method, request = std::move(request), reply,
                                   handler, call = reactor.call(), end = reactor.end(),
                                   guard = std::make_shared<end_guard>(reactor.end())]() mutable {
            counters->count("peer_calls_total", {{"method", method}});
            spawn(where, method, run_handler<ReplyMessage>(handler, std::move(request), reply, call, end, guard));
        });
    }

    void refuse(const call_reactor& reactor, const char* reason, const char* method, const std::string& from,
                const grpc::Status& status)
    {
        boost::asio::post(where_, [counters = counters_, reason] {
            counters->count("peer_refused_total", {{"reason", reason}});
        });
        log_event(severity::debug, peer_refused, status.error_message(), {{"method", method}, {"from", from}});
        reactor.end()->finish_if_first(status);
    }

    executor where_;
    peer_credentials credentials_;
    peer_handlers handlers_;
    metrics* counters_;
};

}  // namespace

struct peer_server::implementation
{
    implementation(const executor& where, const peer_credentials& credentials, peer_handlers handlers,
                   metrics& counters)
        : service_(where, credentials, std::move(handlers), counters)
    {}

    peer_service service_;
    std::unique_ptr<grpc::Server> server_;
    int port_ = 0;
};

peer_server::peer_server(const executor& where, const socket_address& listen, const peer_credentials& credentials,
                         peer_handlers handlers, metrics& counters)
    : implementation_(std::make_unique<implementation>(where, credentials, std::move(handlers), counters))
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(listen.get(), server_credentials(credentials), &implementation_->port_);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, least_ping_interval_ms);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.SetMaxReceiveMessageSize(max_request_bytes);
    builder.RegisterService(&implementation_->service_);
    implementation_->server_ = builder.BuildAndStart();
    if (!implementation_->server_ || implementation_->port_ == 0)
    {
        throw process_error(peer_listener_failed, "cannot listen for peers on " + listen.get() +
                                                      "; check that the address is local and the port is free");
    }
}

peer_server::~peer_server()
{
    if (implementation_->server_)
    {
        implementation_->server_->Shutdown(gpr_now(GPR_CLOCK_MONOTONIC));
    }
}

int peer_server::port() const noexcept
{
    return implementation_->port_;
}

}  // namespace cornelstall
