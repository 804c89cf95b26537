#include <algorithm>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>

#include "commands.hpp"

namespace cornelstall::ctl
{

namespace
{

using nlohmann::json;

struct status_text
{
    publish_status status_;
    const char* code_;
    exit_code exit_;
};

constexpr std::array status_texts{
    status_text{publish_status::accepted, "accepted", exit_code::ok},
    status_text{publish_status::unchanged, "unchanged", exit_code::ok},
    status_text{publish_status::lost, "lost", exit_code::refused},
    status_text{publish_status::invalid, "invalid", exit_code::invalid},
    status_text{publish_status::not_appended, "not_appended", exit_code::unreachable},
    status_text{publish_status::unknown, "unknown", exit_code::unreachable},
};

const status_text& text_of(publish_status status)
{
    return *std::ranges::find(status_texts, status, &status_text::status_);
}

publication_id new_publication_id()
{
    std::random_device source;
    std::ostringstream text;
    text << std::hex << source() << source() << source() << source();
    return publication_id{text.str()};
}

std::string explanation(const publish_result& result)
{
    const auto version = std::to_string(result.version_.get());
    switch (result.status_)
    {
        case publish_status::accepted:
            return "accepted as version " + version;
        case publish_status::unchanged:
            return "nothing to publish: version " + version + " holds these declarations already";
        case publish_status::lost:
            return "lost to version " + version +
                   ", which changed a service first; nothing of this publication comes into force; look at that "
                   "version's declarations and publish again";
        case publish_status::invalid:
            return "not published: the declarations do not agree with those in force";
        case publish_status::not_appended:
            return "not published: the log took nothing: " + result.problem_ + "; try again later";
        case publish_status::unknown:
            break;
    }
    return "the result is not known: the publication may still be accepted; the log failed: " + result.problem_ +
           "; publish again to find out";
}

void print_result(const ctl_settings& settings, const publish_result& result, const std::string& in_force)
{
    if (settings.json_)
    {
        json services = json::array();
        std::ranges::transform(result.services_, std::back_inserter(services),
                               [](const service_id& service) { return service.get(); });
        std::cout << json{{"status", text_of(result.status_).code_},
                          {"version", result.version_.get()},
                          {"services", std::move(services)},
                          {"in_force", in_force},
                          {"message", explanation(result)}}
                         .dump()
                  << '\n';
        return;
    }
    const bool fine = text_of(result.status_).exit_ == exit_code::ok;
    (fine ? std::cout : std::cerr) << explanation(result) << '\n';
    if (fine && in_force == "yes")
    {
        std::cout << "version " << result.version_ << " is in force on all listed members\n";
    }
    else if (fine && in_force == "not_confirmed")
    {
        std::cerr << "not confirmed as in force on all listed members within the time limit\n";
    }
}

publication publication_of(const ctl_settings& settings, const declaration_tree& tree)
{
    publication wanted;
    wanted.id_ = new_publication_id();
    wanted.time_limit_ = settings.time_limit_;
    std::ranges::for_each(tree.files_,
                          [&](const auto& entry) { wanted.texts_.emplace(entry.first, entry.second.text_); });
    std::ranges::for_each(settings.withdrawn_,
                          [&](const std::string& service) { wanted.texts_[service_id{service}] = ""; });
    return wanted;
}

}  // namespace

task<exit_code> publish_declarations(ctl_settings settings)
{
    const auto tree = settings.arguments_.empty() ? declaration_tree{} : read_declarations(settings);
    if (!tree.faults_.empty())
    {
        co_return exit_code::invalid;
    }
    log_service service;
    service.base_url_ = settings.log_url_;
    const auto log = configuration_log_of(service);
    const parse_function parse = parse_declaration;
    auto wanted = publication_of(settings, tree);
    const auto result = co_await publish(log, parse, std::move(wanted));
    if (result.status_ == publish_status::invalid)
    {
        print_faults(settings, locate(tree, result.faults_));
        co_return exit_code::invalid;
    }
    const auto ended = text_of(result.status_).exit_;
    if (ended != exit_code::ok || !settings.wait_)
    {
        print_result(settings, result, "not_asked");
        co_return ended;
    }
    const bool everywhere = co_await wait_until_in_force(settings, result.version_);
    print_result(settings, result, everywhere ? "yes" : "not_confirmed");
    co_return everywhere ? exit_code::ok : exit_code::unreachable;
}

}  // namespace cornelstall::ctl
