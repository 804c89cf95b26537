#pragma once

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

#include "cornelstall/standins.hpp"

namespace cornelstall::tests
{

using nlohmann::json;

/// @brief Any loopback address; the stand-in reports the port that it got.
inline const socket_address any_port{"127.0.0.1:0"};

/// @brief A status, 0 when the connection was cut before an answer, and the body as far as it arrived.
struct answer
{
    int status_ = 0;
    std::string text_;

    [[nodiscard]] json body() const
    {
        return json::parse(text_);
    }
};

/// @brief Calls of one client, which keeps its connection alive as cpprestsdk does. A call whose answer is to be lost
/// needs a new caller: cpprestsdk sends a request again when a connection that it reuses is closed.
class caller
{
  public:
    explicit caller(const standins::running_standin& standin, milliseconds limit = milliseconds{10'000})
        : client_("http://" + standin.address().get(), config(limit))
    {}

    answer call(const std::string& method, const std::string& target, const json& body = json(),
                const std::string& key = {})
    {
        web::http::http_request request{method};
        request.set_request_uri(target);
        if (!body.is_null())
        {
            request.set_body(body.dump(), "application/json");
        }
        if (!key.empty())
        {
            request.headers().add("Idempotency-Key", key);
        }
        answer result;
        try
        {
            const web::http::http_response response = client_.request(request).get();
            result.status_ = response.status_code();
            concurrency::streams::stringstreambuf text;
            const auto collect = [&result, &text] {
                result.text_ = text.collection();
            };
            try
            {
                response.body().read_to_end(text).wait();
            }
            catch (const std::exception&)
            {
                collect();  // the stream was cut
                return result;
            }
            collect();
        }
        catch (const web::http::http_exception&)
        {
            return result;
        }
        return result;
    }

    answer get(const std::string& target)
    {
        return call("GET", target);
    }

    answer post(const std::string& target, const json& body)
    {
        return call("POST", target, body);
    }

  private:
    static web::http::client::http_client_config config(milliseconds limit)
    {
        web::http::client::http_client_config config;
        config.set_timeout(limit);
        return config;
    }

    web::http::client::http_client client_;
};

/// @brief Asks @a condition every 10 ms until it holds, for at most 10 s.
template <class Condition>
bool eventually(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    bool holds = condition();
    while (!holds && std::chrono::steady_clock::now() < deadline)
    {
        std::this_thread::sleep_for(milliseconds{10});
        holds = condition();
    }
    return holds;
}

/// @brief The events of a server-sent event stream, without the end mark and the comments.
inline std::vector<json> events_of(const std::string& text)
{
    std::vector<json> events;
    const std::string mark = "data: ";
    for (std::size_t start = text.find(mark); start != std::string::npos; start = text.find(mark, start + 1))
    {
        const std::string line = text.substr(start + mark.size(), text.find('\n', start) - start - mark.size());
        if (line != "[DONE]")
        {
            events.push_back(json::parse(line));
        }
    }
    return events;
}

/// @brief The text of all parts in the order of arrival.
inline std::string text_of(const std::vector<json>& events)
{
    std::string text;
    std::ranges::for_each(events, [&text](const json& each) { text += each.value("text", ""); });
    return text;
}

inline bool has_end_mark(const std::string& text)
{
    return text.ends_with("data: [DONE]\n\n");
}

}  // namespace cornelstall::tests
