#include "cornelstall/runtime/connection/caller_listener.hpp"

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <sys/resource.h>
#include <boost/asio/ip/tcp.hpp>

#include "connection/caller_session.hpp"
#include "cornelstall/runtime/process/status.hpp"
#include "cornelstall/runtime/request/model_request.hpp"

namespace cornelstall
{

namespace
{

using boost::asio::ip::tcp;

constexpr std::string_view explain_path = "/operator/explain/";
constexpr std::string_view services_path = "/services/";
constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr const char* json_type = "application/json";
constexpr int listen_backlog = 1024;
/// Descriptors for files, for connections to the platform and to other entry processes.
constexpr rlim_t reserved_descriptors = 200;

/// Counts a request for as long as it is open; a planned stop waits for the count to reach zero.
class open_request
{
  public:
    explicit open_request(entry_state& state) : state_(state)
    {
        ++state_.open_requests_;
    }
    ~open_request()
    {
        --state_.open_requests_;
    }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;
    open_request(open_request&&) = delete;
    open_request& operator=(open_request&&) = delete;

  private:
    entry_state& state_;
};

bool is_operator(const entry_state& state, const caller_connection& connection)
{
    const auto expected = "Bearer " + state.settings_.operator_key_;
    const auto given = connection.header("Authorization");
    // Constant-time comparison: the time of the answer must not tell how much of a guess is right.
    return given.size() == expected.size() && CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

void serve_operator(entry_state& state, caller_connection& connection, const std::string& path)
{
    if (!is_operator(state, connection))
    {
        state.metrics_.count("cornelstall_operator_refusals_total");
        connection.reply(status_unauthorized,
                         R"({"error":{"code":130,"message":"send 'Authorization: Bearer OPERATOR_KEY'"}})", json_type);
        return;
    }
    if (path == "/operator/status")
    {
        connection.reply(status_ok, encode_status(state), json_type);
        return;
    }
    if (path.starts_with(explain_path))
    {
        const auto text = encode_explanation(state, request_id{path.substr(explain_path.size())});
        connection.reply(
            text ? status_ok : status_not_found,
            text.value_or(
                R"({"error":{"code":131,"message":"no such request is remembered here; ask the other VMs"}})"),
            json_type);
        return;
    }
    connection.reply(status_not_found, R"({"error":{"code":132,"message":"no such path; see the README"}})", json_type);
}

void serve_models(entry_state& state, caller_connection& connection)
{
    try
    {
        const auto caller = authenticate(state.version_, connection.header("Authorization"));
        connection.reply(status_ok, encode_models(*caller.service_), json_type);
    }
    catch (const request_error& problem)
    {
        refuse(state, connection, next_request_id(state), problem);
    }
}

/// Answers what needs no waiting. Returns false when the path belongs to a longer exchange.
bool serve_at_once(entry_state& state, caller_connection& connection, const std::string& path)
{
    if (path == "/healthz")
    {
        connection.reply(status_ok, "ok\n", "text/plain");
    }
    else if (path == "/readyz")
    {
        const bool ready = state.version_ && !state.stopping_;
        connection.reply(ready ? status_ok : status_unavailable, ready ? "ready\n" : "not ready\n", "text/plain");
    }
    else if (path == "/metrics")
    {
        update_gauges(state);
        connection.reply(status_ok, state.metrics_.exposition(), "text/plain; version=0.0.4");
    }
    else if (path == "/v1/models")
    {
        serve_models(state, connection);
    }
    else if (path.starts_with("/operator/"))
    {
        serve_operator(state, connection, path);
    }
    else
    {
        return false;
    }
    return true;
}

task<> serve(entry_state& state, plain_service_handler plain, std::shared_ptr<caller_connection> connection)
{
    const auto path = connection->path();
    if (serve_at_once(state, *connection, path))
    {
        co_return;
    }
    const open_request open(state);
    if (connection->method() == "POST" && path == path_of(completion_kind::text))
    {
        co_await serve_completion(state, connection, completion_kind::text);
    }
    else if (connection->method() == "POST" && path == path_of(completion_kind::chat))
    {
        co_await serve_completion(state, connection, completion_kind::chat);
    }
    else if (path.starts_with(services_path))
    {
        co_await plain(state, connection);
    }
    else
    {
        connection->reply(status_not_found,
                          R"({"error":{"code":132,"message":"no such path or method; see the README"}})", json_type);
    }
}

std::unique_ptr<boost::asio::ssl::context> make_tls_context(const tls_files& files)
{
    using boost::asio::ssl::context;
    if (!files.enabled())
    {
        return nullptr;
    }
    auto result = std::make_unique<context>(context::tls_server);
    result->set_options(context::default_workarounds | context::no_sslv2 | context::no_sslv3 | context::no_tlsv1 |
                        context::no_tlsv1_1);
    result->use_certificate_chain_file(files.certificate_);
    result->use_private_key_file(files.private_key_, context::pem);
    // Idle connections hold no record buffers.
    SSL_CTX_set_mode(result->native_handle(), SSL_MODE_RELEASE_BUFFERS);
    return result;
}

/// The bounds of the settings. Each request may need a second descriptor for its backend server, so that connections
/// get half of what the process may open.
caller_bounds bounds_of(const settings& values)
{
    auto bounds = values.caller_bounds_;
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY)
    {
        const auto free = descriptors.rlim_cur - std::min(descriptors.rlim_cur, reserved_descriptors);
        bounds.connections_ =
            static_cast<int>(std::clamp(free / 2, rlim_t{1}, static_cast<rlim_t>(std::max(bounds.connections_, 1))));
    }
    return bounds;
}

tcp::endpoint endpoint_of(const executor& where, const std::string& address)
{
    const auto colon = address.rfind(':');
    auto host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
    }
    tcp::resolver resolver(where);
    return *resolver.resolve(host, address.substr(colon + 1), tcp::resolver::passive).begin();
}

void start_listening(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(listen_backlog);
}

std::shared_ptr<const caller_handlers> make_handlers(entry_state& state, plain_service_handler plain)
{
    caller_handlers handlers;
    handlers.serve_ = [&state, plain = std::move(plain)](std::shared_ptr<caller_connection> connection) {
        return serve(state, plain, std::move(connection));
    };
    handlers.refuse_ = [&state](caller_connection& connection, const request_error& problem) {
        refuse(state, connection, next_request_id(state), problem);
    };
    handlers.connection_refused_ = [&state] {
        state.metrics_.count("cornelstall_connections_refused_total");
    };
    return std::make_shared<const caller_handlers>(std::move(handlers));
}

}  // namespace

struct caller_listener::listener
{
    listener(entry_state& state, plain_service_handler plain)
        : state_(state),
          traffic_(std::make_shared<caller_traffic>(state.executor_, bounds_of(state.settings_))),
          acceptor_(std::make_shared<tcp::acceptor>(state.executor_)),
          handlers_(make_handlers(state, std::move(plain)))
    {}

    entry_state& state_;
    std::shared_ptr<caller_traffic> traffic_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::shared_ptr<const caller_handlers> handlers_;
};

caller_listener::caller_listener(entry_state& state, plain_service_handler plain)
    : listener_(std::make_unique<listener>(state, std::move(plain)))
{}

caller_listener::~caller_listener()
{
    boost::system::error_code ignored;
    listener_->acceptor_->close(ignored);
}

task<> caller_listener::open()
{
    auto& parts = *listener_;
    const auto address = parts.state_.settings_.listen_.get();
    try
    {
        parts.traffic_->tls_ = make_tls_context(parts.state_.settings_.tls_);
        start_listening(*parts.acceptor_, endpoint_of(parts.state_.executor_, address));
    }
    catch (const std::exception& problem)
    {
        throw process_error(413, "cannot listen on " + address +
                                     "; check --listen, that the port is free, and the TLS files: " + problem.what());
    }
    spawn(parts.state_.executor_, "accept_callers", accept_callers(parts.traffic_, parts.acceptor_, parts.handlers_));
    co_return;
}

task<> caller_listener::close()
{
    boost::system::error_code ignored;
    listener_->acceptor_->close(ignored);
    end_callers(*listener_->traffic_);
    co_await wait_for_callers(listener_->traffic_);
}

}  // namespace cornelstall
