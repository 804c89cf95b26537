#include "cornelstall/runtime/process/settings.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <limits>

#include <cxxopts.hpp>

namespace cornelstall
{

namespace
{

constexpr int usage_error = 400;
constexpr int value_error = 401;
constexpr int max_port = 65535;
constexpr std::size_t least_key_length = 16;

std::string variable_of(const std::string& flag)
{
    std::string result{"CORNELSTALL_"};
    std::ranges::transform(flag, std::back_inserter(result), [](unsigned char character) {
        return character == '-' ? '_' : static_cast<char>(std::toupper(character));
    });
    return result;
}

[[noreturn]] void refuse(const std::string& flag, const std::string& problem)
{
    throw process_error(value_error, "--" + flag + " (or " + variable_of(flag) + ") " + problem);
}

/// Values by flag or environment variable.
class source
{
  public:
    source(const cxxopts::ParseResult& parsed, const environment& lookup) : parsed_(parsed), lookup_(lookup) {}

    [[nodiscard]] std::string text(const std::string& flag, const std::string& fallback = {}) const
    {
        if (parsed_.count(flag) > 0)
        {
            return parsed_[flag].as<std::string>();
        }
        return lookup_(variable_of(flag)).value_or(fallback);
    }

    [[nodiscard]] std::string required(const std::string& flag, const std::string& meaning) const
    {
        auto value = text(flag);
        if (value.empty())
        {
            refuse(flag, "is missing; set it to " + meaning);
        }
        return value;
    }

    [[nodiscard]] std::int64_t number(const std::string& flag, std::int64_t fallback, std::int64_t least,
                                      std::int64_t most) const
    {
        const auto value = text(flag);
        if (value.empty())
        {
            return fallback;
        }
        std::int64_t result = 0;
        const auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), result);
        if (code != std::errc{} || end != value.data() + value.size() || result < least || result > most)
        {
            refuse(flag, "is '" + value + "'; use a whole number from " + std::to_string(least) + " to " +
                             std::to_string(most));
        }
        return result;
    }

  private:
    const cxxopts::ParseResult& parsed_;
    const environment& lookup_;
};

void check_address(const std::string& flag, const std::string& value)
{
    const auto colon = value.rfind(':');
    int port = 0;
    if (colon != std::string::npos && colon > 0)
    {
        const char* const first = value.data() + colon + 1;
        const char* const last = value.data() + value.size();
        const auto [end, code] = std::from_chars(first, last, port);
        if (code == std::errc{} && end == last && port > 0 && port <= max_port)
        {
            return;
        }
    }
    refuse(flag, "is '" + value + "'; use an IP number and a port, for instance 10.0.0.5:8080");
}

socket_address address_of(const source& values, const std::string& flag, const std::string& meaning)
{
    const auto value = values.required(flag, meaning);
    check_address(flag, value);
    return socket_address{value};
}

std::string url_of(const source& values, const std::string& flag)
{
    auto value = values.text(flag);
    if (!value.empty() && !value.starts_with("http://") && !value.starts_with("https://"))
    {
        refuse(flag, "is '" + value + "'; use a URL such as http://10.0.0.9:7000");
    }
    while (value.ends_with('/'))
    {
        value.pop_back();
    }
    return value;
}

std::string key_of(const source& values, const std::string& flag, const std::string& meaning)
{
    auto value = values.required(flag, meaning);
    if (value.size() < least_key_length)
    {
        refuse(flag, "is too short; use at least " + std::to_string(least_key_length) + " characters");
    }
    return value;
}

std::vector<socket_address> seeds_of(const source& values)
{
    std::vector<socket_address> seeds;
    std::string rest = values.text("seeds");
    while (!rest.empty())
    {
        const auto comma = std::min(rest.find(','), rest.size());
        const auto seed = rest.substr(0, comma);
        check_address("seeds", seed);
        seeds.emplace_back(seed);
        rest.erase(0, std::min(comma + 1, rest.size()));
    }
    return seeds;
}

tls_files tls_of(const source& values)
{
    tls_files files{values.text("tls-certificate"), values.text("tls-key"), values.text("tls-authority")};
    const bool any = !files.certificate_.empty() || !files.private_key_.empty() || !files.authority_.empty();
    const bool all = !files.certificate_.empty() && !files.private_key_.empty() && !files.authority_.empty();
    if (any && !all)
    {
        refuse("tls-certificate", "needs --tls-key and --tls-authority as well; set all three or none");
    }
    return files;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("cornelstall",
                             "One entry VM's process. Each flag has an environment variable "
                             "CORNELSTALL_<FLAG>, upper case, with underscores.");
    const auto text = [] {
        return cxxopts::value<std::string>();
    };
    options.add_options()("name", "name of this VM (required)", text())(
        "data-centre", "data centre (required)", text())("listen", "ip:port for callers and operators (required)",
                                                         text())(
        "peer-listen", "ip:port for other entry processes (required)", text())(
        "peer-advertise", "ip:port told to peers (default: peer-listen)", text())(
        "seeds", "comma-separated ip:port of other entry processes", text())("log", "URL of the log service", text())(
        "vm-list", "URL of the VM list", text())("weight-store", "URL of the weight store", text())(
        "peer-key", "key shared by the entry processes (required)", text())("operator-key",
                                                                            "key of the operators (required)", text())(
        "drain-grace-ms", "how long accepting goes on after SIGTERM (default 5000)", text())(
        "stop-limit-ms", "a stop that takes longer is logged as an error (default 3600000)", text())(
        "worker-threads", "threads for parsing and sockets (default 4)", text())(
        "max-requests", "requests served at once (default 4096)", text())(
        "max-connections", "callers' connections open at once (default 5120, with TLS 2048)", text())(
        "log-level", "debug, info, warning or error (default info)", text())("tls-certificate", "PEM file", text())(
        "tls-key", "PEM file", text())("tls-authority", "PEM file", text())("help", "print this text")(
        "version", "print the version");
    return options;
}

settings read_values(const source& values)
{
    settings result;
    result.name_ = values.required("name", "the name of this VM");
    result.data_centre_ = data_centre_id{values.required("data-centre", "the data centre of this VM")};
    result.listen_ = address_of(values, "listen", "ip:port for callers");
    result.peer_listen_ = address_of(values, "peer-listen", "ip:port for other entry processes");
    result.peer_advertise_ = socket_address{values.text("peer-advertise", result.peer_listen_.get())};
    check_address("peer-advertise", result.peer_advertise_.get());
    result.seeds_ = seeds_of(values);
    result.log_url_ = url_of(values, "log");
    result.vm_list_url_ = url_of(values, "vm-list");
    result.weight_store_url_ = url_of(values, "weight-store");
    result.peer_key_ = key_of(values, "peer-key", "the key shared by the entry processes");
    result.operator_key_ = key_of(values, "operator-key", "the key of the operators");
    constexpr std::int64_t one_day_ms = 86'400'000;
    result.drain_grace_ = milliseconds{values.number("drain-grace-ms", result.drain_grace_.count(), 0, one_day_ms)};
    result.stop_limit_ = milliseconds{values.number("stop-limit-ms", result.stop_limit_.count(), 1, one_day_ms)};
    result.worker_threads_ = static_cast<int>(values.number("worker-threads", result.worker_threads_, 2, 64));
    result.max_requests_ = static_cast<int>(values.number("max-requests", result.max_requests_, 1, 1'000'000));
    result.log_level_ = parse_severity(values.text("log-level", "info"));
    result.tls_ = tls_of(values);
    auto& connections = result.caller_bounds_.connections_;
    connections = result.tls_.enabled() ? default_tls_connections : connections;
    connections = static_cast<int>(values.number("max-connections", connections, 1, 1'000'000));
    return result;
}

}  // namespace

environment process_environment()
{
    return [](const std::string& name) -> std::optional<std::string> {
        const char* const value = std::getenv(name.c_str());  // NOLINT(concurrency-mt-unsafe): read once at start
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
}

settings_result read_settings(int argc, const char* const* argv, const environment& lookup, const std::string& version)
{
    auto options = make_options();
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (!parsed.unmatched().empty())
        {
            throw process_error(usage_error, "unexpected argument '" + parsed.unmatched().front() + "'; see --help");
        }
        if (parsed.count("help") > 0)
        {
            return {{}, options.help()};
        }
        if (parsed.count("version") > 0)
        {
            return {{}, "cornelstall " + version + "\n"};
        }
        return {read_values(source(parsed, lookup)), std::nullopt};
    }
    catch (const cxxopts::exceptions::exception& problem)
    {
        throw process_error(usage_error, std::string(problem.what()) + "; see --help");
    }
}

}  // namespace cornelstall
