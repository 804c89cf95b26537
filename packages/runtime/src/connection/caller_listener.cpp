#include "cornelstall/runtime/connection/caller_listener.hpp"

#include <algorithm>
#include <array>

#include <cpprest/http_listener.h>
#include <openssl/crypto.h>

#include "cornelstall/runtime/process/status.hpp"
#include "cornelstall/runtime/request/model_request.hpp"

namespace cornelstall
{

namespace
{

using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

constexpr std::string_view explain_path = "/operator/explain/";
constexpr std::string_view services_path = "/services/";
constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr const char* json_type = "application/json";

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

http_listener_config config_of(const settings& values)
{
    http_listener_config config;
    if (values.tls_.enabled())
    {
        config.set_ssl_context_callback([files = values.tls_](boost::asio::ssl::context& context) {
            context.set_options(boost::asio::ssl::context::default_workarounds | boost::asio::ssl::context::no_sslv2 |
                                boost::asio::ssl::context::no_sslv3 | boost::asio::ssl::context::no_tlsv1 |
                                boost::asio::ssl::context::no_tlsv1_1);
            context.use_certificate_chain_file(files.certificate_);
            context.use_private_key_file(files.private_key_, boost::asio::ssl::context::pem);
        });
    }
    return config;
}

std::string url_of(const settings& values)
{
    return (values.tls_.enabled() ? "https://" : "http://") + values.listen_.get();
}

}  // namespace

struct caller_listener::listener
{
    listener(entry_state& state, plain_service_handler plain)
        : state_(state), http_(url_of(state.settings_), config_of(state.settings_))
    {
        http_.support([&state, plain = std::move(plain)](const web::http::http_request& request) {
            boost::asio::post(state.executor_, [&state, plain, request] {
                spawn(state.executor_, "serve", serve(state, plain, std::make_shared<caller_connection>(request)));
            });
        });
    }

    entry_state& state_;
    http_listener http_;
};

caller_listener::caller_listener(entry_state& state, plain_service_handler plain)
    : listener_(std::make_unique<listener>(state, std::move(plain)))
{}

caller_listener::~caller_listener() = default;

task<> caller_listener::open()
{
    try
    {
        co_await await_task(listener_->http_.open());
    }
    catch (const std::exception& problem)
    {
        throw process_error(413, "cannot listen on " + listener_->state_.settings_.listen_.get() +
                                     "; check --listen and that the port is free: " + problem.what());
    }
}

task<> caller_listener::close()
{
    co_await await_task(listener_->http_.close());
}

}  // namespace cornelstall
