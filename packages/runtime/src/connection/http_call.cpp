#include "cornelstall/runtime/connection/http_call.hpp"

#include <algorithm>
#include <cctype>
#include <system_error>

#include <cpprest/http_client.h>

namespace cornelstall
{

namespace
{

web::http::http_request to_request(const http_call& call)
{
    web::http::http_request request(call.method_);
    request.set_request_uri(call.path_);
    std::ranges::for_each(call.headers_,
                          [&request](const auto& header) { request.headers().add(header.first, header.second); });
    if (!call.body_.empty())
    {
        request.set_body(call.body_, call.content_type_);
    }
    return request;
}

std::string lower_case(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

[[noreturn]] void rethrow(const web::http::http_exception& problem, const std::string& url)
{
    const auto& code = problem.error_code();
    if (code == std::errc::connection_refused || code == std::errc::host_unreachable)
    {
        throw connection_error(http_connect_failed, "no connection to " + url + "; check that the server runs there");
    }
    if (code == std::errc::timed_out)
    {
        throw connection_error(http_timed_out, "no answer from " + url + " in time; retry on a new connection");
    }
    throw connection_error(http_cut, "connection to " + url + " broke: " + problem.what());
}

}  // namespace

task<http_answer> make_call(http_call call)
{
    web::http::client::http_client_config config;
    config.set_timeout(call.timeout_);
    // The client lives until the exchange has ended, also when this task has given up waiting.
    auto client = std::make_shared<web::http::client::http_client>(call.base_url_, config);
    pplx::cancellation_token_source cancel;
    auto exchange =
        client->request(to_request(call), cancel.get_token()).then([client](web::http::http_response response) {
            return response.extract_utf8string(true).then([client, response](const std::string& body) {
                http_answer answer{response.status_code(), body, {}};
                std::ranges::for_each(response.headers(), [&answer](const auto& header) {
                    answer.headers_.emplace(lower_case(header.first), header.second);
                });
                return answer;
            });
        });
    const auto ended = co_await await_task_for(std::move(exchange), call.timeout_);
    if (!ended)
    {
        cancel.cancel();
        throw connection_error(http_timed_out,
                               "no answer from " + call.base_url_ + " in time; retry on a new connection");
    }
    try
    {
        co_return ended->get();
    }
    catch (const web::http::http_exception& problem)
    {
        rethrow(problem, call.base_url_);
    }
}

}  // namespace cornelstall
