#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "child_process.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"
#include "free_port.hpp"
#include "runtime/peer_fixture.hpp"

/// @file
/// Real processes on loopback: entry processes and stand-ins, started and ended by tests.

namespace cornelstall::testing
{

inline const std::string operator_key{"operator-key-for-tests"};
inline const std::string driver_key{"driver-app-example-key"};
inline const std::string sorting_key{"sorting-floor-example-key"};

/// @brief Starts @a program of the build.
inline child_process start_program(const std::string& program, const std::vector<std::string>& arguments)
{
    return {std::string(BINARY_DIR) + "/" + program, arguments};
}

/// @brief An entry process and its address.
struct entry_process
{
    socket_address address_;
    socket_address peer_address_;
    std::string data_centre_;
    child_process process_;
};

/// @brief Stand-ins of the platform, and the entry processes and engines that a test adds.
class fleet
{
  public:
    fleet()
        : log_address_(tests::free_address()),
          platform_address_(tests::free_address()),
          log_(start_program("standins/log_standin", {"--listen", log_address_.get()})),
          platform_(start_program("standins/platform_standin",
                                  {"--listen", platform_address_.get(), "--visibility-lag-ms", "50"}))
    {
        REQUIRE(answers(log_address_, "/streams/x/records?from=1&limit=1&wait_ms=0"));
        REQUIRE(answers(platform_address_, "/vms"));
    }

    /// Calls any server and waits for the whole answer; status 0 when there was none.
    http_answer call(const std::string& method, const socket_address& address, const std::string& path,
                     const std::string& body = {}, std::map<std::string, std::string> headers = {})
    {
        auto pending = start_call(method, address, path, body, std::move(headers));
        run_until(io_, [pending] { return pending->ended(); });
        return pending->value_.value_or(http_answer{});
    }

    std::shared_ptr<task_end<http_answer>> start_call(const std::string& method, const socket_address& address,
                                                      const std::string& path, const std::string& body,
                                                      std::map<std::string, std::string> headers)
    {
        http_call sent;
        sent.method_ = method;
        sent.base_url_ = "http://" + address.get();
        sent.path_ = path;
        sent.body_ = body;
        sent.headers_ = std::move(headers);
        sent.timeout_ = std::chrono::duration_cast<milliseconds>(generous);
        auto end = std::make_shared<task_end<http_answer>>();
        boost::asio::co_spawn(io_, record_end(make_call(std::move(sent)), end), boost::asio::detached);
        return end;
    }

    bool answers(const socket_address& address, const std::string& path)
    {
        return eventually([&] { return call("GET", address, path).status_ == 200; });
    }

    bool eventually(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + generous;
        while (std::chrono::steady_clock::now() < end)
        {
            if (condition())
            {
                return true;
            }
            io_.restart();
            io_.run_for(50ms);
        }
        return false;
    }

    socket_address add_engine(const std::string& data_centre, std::vector<std::string> flags = {})
    {
        auto address = tests::free_address();
        flags.insert(flags.end(), {"--listen", address.get(), "--models", "atlas-8b@3"});
        engines_.push_back(start_program("standins/engine_standin", flags));
        vms_.push_back({{"id", "engine-" + address.get()},
                        {"address", address.get()},
                        {"data_centre", data_centre},
                        {"role", "engine"},
                        {"state", "live"},
                        {"fencing", true}});
        REQUIRE(answers(address, "/v1/load"));
        publish_vms();
        return address;
    }

    socket_address add_plain(const std::string& data_centre, const std::string& service)
    {
        auto address = tests::free_address();
        engines_.push_back(start_program("standins/plain_standin", {"--listen", address.get()}));
        vms_.push_back({{"id", "plain-" + address.get()},
                        {"address", address.get()},
                        {"data_centre", data_centre},
                        {"role", "plain"},
                        {"service", service},
                        {"state", "live"}});
        REQUIRE(answers(address, "/control/counters"));
        publish_vms();
        return address;
    }

    /// @param flags added to those of every entry process
    entry_process start_entry(const std::string& data_centre, const std::vector<std::string>& flags = {})
    {
        auto address = tests::free_address();
        const auto peer = tests::free_address();
        vms_.push_back({{"id", "entry-" + address.get()},
                        {"address", address.get()},
                        {"peer_address", peer.get()},
                        {"data_centre", data_centre},
                        {"role", "entry"},
                        {"state", "live"}});
        publish_vms();
        std::vector<std::string> arguments{"--name",
                                           "entry",
                                           "--data-centre",
                                           data_centre,
                                           "--listen",
                                           address.get(),
                                           "--peer-listen",
                                           peer.get(),
                                           "--log",
                                           "http://" + log_address_.get(),
                                           "--vm-list",
                                           "http://" + platform_address_.get(),
                                           "--peer-key",
                                           "peer-key-for-tests-01",
                                           "--operator-key",
                                           operator_key,
                                           "--drain-grace-ms",
                                           "300",
                                           "--log-level",
                                           "error"};
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        return {address, peer, data_centre, start_program("apps/cornelstall/cornelstall", arguments)};
    }

    /// Runs `cornelctl publish examples` and returns its exit code.
    int publish_examples()
    {
        auto ctl = start_program("apps/cornelctl/cornelctl", {"publish", std::string(SOURCE_DIR) + "/examples", "--log",
                                                              "http://" + log_address_.get()});
        return ctl.wait();
    }

    nlohmann::json status(const socket_address& entry)
    {
        const auto answer = call("GET", entry, "/operator/status", {}, {{"Authorization", "Bearer " + operator_key}});
        return nlohmann::json::parse(answer.body_, nullptr, false);
    }

    std::uint64_t version(const socket_address& entry)
    {
        const auto parsed = status(entry);
        return parsed.is_object() ? parsed.value("configuration_version", std::uint64_t{0}) : 0;
    }

    bool all_have_version(const std::vector<entry_process>& entries, std::uint64_t wanted)
    {
        return std::ranges::all_of(entries,
                                   [&](const entry_process& entry) { return version(entry.address_) >= wanted; });
    }

    /// True when @a entry knows @a engines ready engines and @a members live members.
    bool knows(const socket_address& entry, std::size_t engines, std::size_t members)
    {
        const auto parsed = status(entry);
        if (!parsed.is_object())
        {
            return false;
        }
        const auto ready = std::ranges::count_if(
            parsed["engines"], [](const nlohmann::json& engine) { return engine["condition"] == "ready"; });
        const auto alive = std::ranges::count_if(parsed["members"],
                                                 [](const nlohmann::json& known) { return known["state"] == "alive"; });
        return static_cast<std::size_t>(ready) == engines && static_cast<std::size_t>(alive) >= members;
    }

    socket_address log_address_;
    socket_address platform_address_;
    boost::asio::io_context io_{1};
    child_process log_;
    child_process platform_;

  private:
    void publish_vms()
    {
        REQUIRE(call("PUT", platform_address_, "/control/vms", nlohmann::json{{"vms", vms_}}.dump()).status_ == 200);
    }

    std::vector<child_process> engines_;
    nlohmann::json vms_ = nlohmann::json::array();
};

/// @brief Headers of a caller's request.
inline std::map<std::string, std::string> as_caller(const std::string& key)
{
    return {{"Authorization", "Bearer " + key}};
}

/// @brief A completion body for the example declarations.
inline std::string question(const std::string& prompt, int max_tokens)
{
    return nlohmann::json{{"model", "atlas-8b"}, {"prompt", prompt}, {"max_tokens", max_tokens}}.dump();
}

}  // namespace cornelstall::testing
