#include "cornelstall/runtime/connection/log_connection.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cornelstall/runtime/connection/http_call.hpp"

namespace cornelstall
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

std::string path_of(const std::string& stream)
{
    return "/streams/" + stream + "/records";
}

void check_status(const http_answer& answer, const std::string& stream)
{
    if (answer.status_ == status_too_many_requests || answer.status_ == status_unavailable)
    {
        throw connection_error(log_refused, "log service refused stream " + stream + " with status " +
                                                std::to_string(answer.status_) + "; try again later");
    }
    if (answer.status_ != status_ok)
    {
        throw connection_error(log_malformed, "log service answered status " + std::to_string(answer.status_) +
                                                  " for stream " + stream + "; check --log");
    }
}

json parse_answer(const http_answer& answer, const std::string& stream)
{
    auto parsed = json::parse(answer.body_, nullptr, false);
    if (!parsed.is_object())
    {
        throw connection_error(log_malformed, "log service sent an answer for stream " + stream +
                                                  " that is not a JSON object; check --log");
    }
    return parsed;
}

log_page to_page(const json& answer)
{
    log_page page;
    page.oldest_ = log_offset{answer.at("oldest").get<std::uint64_t>()};
    page.next_ = log_offset{answer.at("next").get<std::uint64_t>()};
    page.retention_ = milliseconds{answer.value("retention_ms", std::int64_t{0})};
    std::ranges::transform(answer.at("records"), std::back_inserter(page.records_), [](const json& record) {
        return log_record{log_offset{record.at("offset").get<std::uint64_t>()}, record.at("data").get<std::string>()};
    });
    return page;
}

}  // namespace

task<log_offset> append(log_service service, std::string stream, std::vector<std::string> records)
{
    http_call call;
    call.method_ = "POST";
    call.base_url_ = service.base_url_;
    call.path_ = path_of(stream);
    call.body_ = json{{"records", records}}.dump();
    call.timeout_ = service.append_timeout_;
    const auto answer = co_await make_call(std::move(call));
    check_status(answer, stream);
    try
    {
        co_return log_offset{parse_answer(answer, stream).at("first_offset").get<std::uint64_t>()};
    }
    catch (const json::exception& problem)
    {
        throw connection_error(log_malformed, std::string("log service sent a malformed answer: ") + problem.what());
    }
}

task<log_page> read(log_service service, std::string stream, log_offset from, int limit, milliseconds wait)
{
    http_call call;
    call.base_url_ = service.base_url_;
    call.path_ = path_of(stream) + "?from=" + std::to_string(from.get()) + "&limit=" + std::to_string(limit) +
                 "&wait_ms=" + std::to_string(wait.count());
    call.timeout_ = service.read_timeout_ + wait;
    const auto answer = co_await make_call(std::move(call));
    check_status(answer, stream);
    try
    {
        co_return to_page(parse_answer(answer, stream));
    }
    catch (const json::exception& problem)
    {
        throw connection_error(log_malformed, std::string("log service sent a malformed answer: ") + problem.what());
    }
}

}  // namespace cornelstall
