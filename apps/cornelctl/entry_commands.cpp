#include <algorithm>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

#include "commands.hpp"

namespace cornelstall::ctl
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr milliseconds poll_interval{300};

/// The answer of one entry process, or why there is none.
struct entry_answer
{
    std::string url_;
    int status_ = 0;  ///< 0 when there is no answer
    json value_;
    std::string problem_;
};

task<entry_answer> ask(std::string url, std::string path, std::string operator_key)
{
    entry_answer answer;
    answer.url_ = url;
    http_call call;
    call.base_url_ = std::move(url);
    call.path_ = std::move(path);
    call.headers_["Authorization"] = "Bearer " + operator_key;
    try
    {
        const auto reply = co_await make_call(std::move(call));
        answer.status_ = reply.status_;
        answer.value_ = json::parse(reply.body_, nullptr, false);
    }
    catch (const error& failure)
    {
        answer.problem_ = failure.what();
    }
    if (answer.status_ == status_unauthorized)
    {
        answer.problem_ = "the operator key was refused; set CORNELSTALL_OPERATOR_KEY";
    }
    else if (answer.status_ != 0 && !answer.value_.is_object())
    {
        answer.problem_ = "the answer is not a JSON object; check --entry";
    }
    else if (answer.status_ != 0 && answer.status_ != status_ok && answer.status_ != status_not_found)
    {
        answer.problem_ = "answered status " + std::to_string(answer.status_) + "; look at its log";
    }
    co_return answer;
}

std::uint64_t version_in(const json& value)
{
    const auto found = value.find("configuration_version");
    return found != value.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string text_in(const json& value, const char* field)
{
    const auto found = value.find(field);
    return found != value.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Adds the versions that one entry process tells: its own, and those of the members that it lists. A member whose
/// version is not told counts as version 0 until it is asked itself.
void add_versions(std::map<std::string, std::uint64_t>& versions, const entry_answer& answer)
{
    const auto raise = [&versions](const std::string& member, std::uint64_t version) {
        auto& known = versions[member];
        known = std::max(known, version);
    };
    const auto name = text_in(answer.value_, "vm");
    raise(name.empty() ? answer.url_ : name, version_in(answer.value_));
    const auto members = answer.value_.find("members");
    if (members == answer.value_.end() || !members->is_array())
    {
        return;
    }
    for (const auto& member : *members)
    {
        if (member.is_object() && text_in(member, "state") != "dead" && !text_in(member, "id").empty())
        {
            raise(text_in(member, "id"), version_in(member));
        }
    }
}

/// One line for each entry process that did not answer.
void print_problem(const entry_answer& answer)
{
    std::cerr << answer.url_ << ": " << answer.problem_ << '\n';
}

}  // namespace

task<bool> wait_until_in_force(ctl_settings settings, configuration_version version)
{
    const auto deadline = std::chrono::steady_clock::now() + settings.time_limit_;
    std::string last_line;
    while (true)
    {
        std::map<std::string, std::uint64_t> versions;
        for (const auto& url : settings.entry_urls_)
        {
            const auto answer = co_await ask(url, "/operator/status", settings.operator_key_);
            if (answer.problem_.empty())
            {
                add_versions(versions, answer);
            }
            else
            {
                versions[url] = 0;
            }
        }
        const auto reached =
            std::ranges::count_if(versions, [&](const auto& entry) { return entry.second >= version.get(); });
        const auto line = std::to_string(reached) + " of " + std::to_string(versions.size()) +
                          " listed members have version " + std::to_string(version.get());
        if (line != last_line)
        {
            std::cerr << line << std::endl;
            last_line = line;
        }
        if (!versions.empty() && static_cast<std::size_t>(reached) == versions.size())
        {
            co_return true;
        }
        if (std::chrono::steady_clock::now() >= deadline)
        {
            co_return false;
        }
        co_await sleep_for(poll_interval);
    }
}

task<exit_code> print_status(ctl_settings settings)
{
    json all = json::array();
    bool complete = true;
    for (const auto& url : settings.entry_urls_)
    {
        const auto answer = co_await ask(url, "/operator/status", settings.operator_key_);
        if (!answer.problem_.empty())
        {
            print_problem(answer);
            complete = false;
            continue;
        }
        all.push_back(answer.value_);
        if (!settings.json_)
        {
            const auto members = answer.value_.value("members", json::array());
            std::cout << url << ": vm " << text_in(answer.value_, "vm") << ", data centre "
                      << text_in(answer.value_, "data_centre") << ", configuration version "
                      << version_in(answer.value_) << ", " << members.size() << " members\n";
        }
    }
    if (settings.json_)
    {
        std::cout << all.dump() << '\n';
    }
    co_return complete ? exit_code::ok : exit_code::unreachable;
}

task<exit_code> explain(ctl_settings settings)
{
    bool any_answer = false;
    for (const auto& url : settings.entry_urls_)
    {
        const auto path = "/operator/explain/" + settings.arguments_.front();
        const auto answer = co_await ask(url, path, settings.operator_key_);
        if (answer.status_ == status_ok && answer.problem_.empty())
        {
            std::cout << (settings.json_ ? answer.value_.dump() : answer.value_.dump(2)) << '\n';
            co_return exit_code::ok;
        }
        any_answer = any_answer || answer.status_ != 0;
        if (answer.status_ != status_not_found)
        {
            print_problem(answer);
        }
    }
    if (!any_answer)
    {
        co_return exit_code::unreachable;
    }
    std::cerr << "no entry process that was asked knows request " << settings.arguments_.front()
              << "; ask the entry process that received it\n";
    co_return exit_code::refused;
}

}  // namespace cornelstall::ctl
