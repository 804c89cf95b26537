#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>

#include <cxxopts.hpp>

#include "commands.hpp"

namespace
{

using namespace cornelstall;
using namespace cornelstall::ctl;

constexpr std::int64_t max_time_limit_s = 3600;

/// What a command needs before it runs.
struct command_needs
{
    std::string_view name_;
    bool log_ = false;
    bool entry_ = false;
    std::size_t least_arguments_ = 0;
    std::size_t most_arguments_ = 0;
};

constexpr std::size_t many = 1000;
constexpr std::array commands{
    command_needs{"check", false, false, 1, many}, command_needs{"publish", true, false, 0, many},
    command_needs{"status", false, true, 0, 0},    command_needs{"explain", false, true, 1, 1},
    command_needs{"hash-key", false, false, 0, 0},
};

std::string setting(const cxxopts::ParseResult& flags, const char* flag, const char* variable)
{
    if (flags.count(flag) > 0)
    {
        return flags[flag].as<std::string>();
    }
    const char* const value = std::getenv(variable);
    return value == nullptr ? "" : value;
}

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream in(list);
    for (std::string part; std::getline(in, part, ',');)
    {
        if (!part.empty())
        {
            parts.push_back(part);
        }
    }
    return parts;
}

bool is_request_id(const std::string& text)
{
    return std::ranges::all_of(text, [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    });
}

ctl_settings read_settings(const cxxopts::ParseResult& flags)
{
    ctl_settings settings;
    settings.log_url_ = setting(flags, "log", "CORNELSTALL_LOG");
    settings.entry_urls_ = split(setting(flags, "entry", "CORNELSTALL_ENTRY"));
    settings.operator_key_ = setting(flags, "operator-key", "CORNELSTALL_OPERATOR_KEY");
    settings.wait_ = flags["wait"].as<bool>();
    settings.json_ = flags["json"].as<bool>();
    const auto seconds = flags["time-limit"].as<std::int64_t>();
    if (seconds < 1 || seconds > max_time_limit_s)
    {
        throw process_error(414, "--time-limit is out of range; use 1 to 3600 seconds");
    }
    settings.time_limit_ = std::chrono::seconds{seconds};
    if (flags.count("arguments") > 0)
    {
        settings.arguments_ = flags["arguments"].as<std::vector<std::string>>();
    }
    if (flags.count("withdraw") > 0)
    {
        settings.withdrawn_ = flags["withdraw"].as<std::vector<std::string>>();
    }
    return settings;
}

/// Throws process_error (id 414) when the command cannot run with these settings.
void check_needs(const command_needs& needs, const ctl_settings& settings)
{
    const auto count = settings.arguments_.size();
    if (count < needs.least_arguments_ || count > needs.most_arguments_)
    {
        throw process_error(414, "'" + std::string(needs.name_) + "' takes other arguments; see --help");
    }
    if (needs.name_ == "publish" && count == 0 && settings.withdrawn_.empty())
    {
        throw process_error(414, "nothing to publish; name directories, or services to --withdraw");
    }
    if (needs.name_ == "explain" && !is_request_id(settings.arguments_.front()))
    {
        throw process_error(414, "the request id holds other characters than letters, digits, '-', '_' and '.'");
    }
    if (needs.log_ && settings.log_url_.empty())
    {
        throw process_error(414, "the log's address is not set; use --log or CORNELSTALL_LOG");
    }
    if ((needs.entry_ || settings.wait_) && (settings.entry_urls_.empty() || settings.operator_key_.empty()))
    {
        throw process_error(414,
                            "entry processes or operator key are not set; use --entry and --operator-key, or "
                            "CORNELSTALL_ENTRY and CORNELSTALL_OPERATOR_KEY");
    }
}

exit_code run_task(task<exit_code> work)
{
    boost::asio::io_context context;
    // The answers of HTTP calls arrive from another thread, so that there can be no work for a while.
    auto guard = boost::asio::make_work_guard(context);
    exit_code result = exit_code::unreachable;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, std::move(work), [&](const std::exception_ptr& problem, exit_code ended) {
        failure = problem;
        result = ended;
        guard.reset();
        context.stop();
    });
    context.run();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return result;
}

exit_code run_command(std::string_view name, const ctl_settings& settings)
{
    if (name == "check")
    {
        return check(settings);
    }
    if (name == "publish")
    {
        return run_task(publish_declarations(settings));
    }
    if (name == "status")
    {
        return run_task(print_status(settings));
    }
    if (name == "explain")
    {
        return run_task(explain(settings));
    }
    return print_key_hash(settings);
}

cxxopts::Options make_options()
{
    cxxopts::Options options("cornelctl", "Checks and publishes declarations, and asks the entry processes.");
    options.custom_help("check DIR… | publish DIR… | status | explain REQUEST | hash-key  [FLAGS]");
    options.positional_help("");
    options.add_options()("log", "URL of the log service (CORNELSTALL_LOG)", cxxopts::value<std::string>())(
        "entry", "URLs of entry processes, with commas between (CORNELSTALL_ENTRY)", cxxopts::value<std::string>())(
        "operator-key", "key of the operator pages (CORNELSTALL_OPERATOR_KEY)", cxxopts::value<std::string>())(
        "wait", "publish: wait until all listed members have the version")(
        "withdraw", "publish: withdraw this service; may be repeated", cxxopts::value<std::vector<std::string>>())(
        "time-limit", "seconds for a publication, and again for --wait",
        cxxopts::value<std::int64_t>()->default_value("20"))("json", "print JSON")("help", "print this page")(
        "version", "print the release")("command", "", cxxopts::value<std::string>())(
        "arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "arguments"});
    return options;
}

exit_code run(int argc, char** argv)
{
    auto options = make_options();
    const auto flags = options.parse(argc, argv);
    if (flags["help"].as<bool>())
    {
        std::cout << options.help()
                  << "\nExit codes: 0 done, 1 refused or lost a race, 2 usage or invalid files, 3 platform unreachable "
                     "or result not known.\n";
        return exit_code::ok;
    }
    if (flags["version"].as<bool>())
    {
        std::cout << "cornelctl " << CORNELSTALL_VERSION << '\n';
        return exit_code::ok;
    }
    const auto name = flags.count("command") > 0 ? flags["command"].as<std::string>() : std::string{};
    const auto* const needs = std::ranges::find(commands, name, &command_needs::name_);
    if (needs == commands.end())
    {
        throw process_error(414, "use check, publish, status, explain or hash-key; see --help");
    }
    const auto settings = read_settings(flags);
    check_needs(*needs, settings);
    return run_command(name, settings);
}

}  // namespace

int main(int argc, char** argv)
{
    auto result = exit_code::invalid;
    try
    {
        result = run(argc, argv);
    }
    catch (const connection_error& problem)
    {
        std::cerr << problem.what() << '\n';
        result = exit_code::unreachable;
    }
    catch (const std::exception& problem)
    {
        std::cerr << problem.what() << '\n';
    }
    return static_cast<int>(result);
}
