#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "cornelstall/declarations.hpp"
#include "cornelstall/runtime.hpp"
#include "cornelstall/standins.hpp"
#include "free_port.hpp"
#include "runtime/peer_fixture.hpp"

/// @file
/// An entry process's listener and state in the test's own process, with engine stand-ins on loopback.

namespace cornelstall::testing
{

inline const std::string caller_key{"test-caller-key-0001"};

/// @brief Declarations with one model, one service and one caller.
inline std::shared_ptr<const configuration> sample_configuration()
{
    auto active_config = std::make_shared<configuration>();
    active_config->version_ = configuration_version{1};
    active_config->fleet_.ranks_[rank::urgent] = {milliseconds{2000}, milliseconds{20'000}, milliseconds{100}, 0.0,
                                                  10.0};
    model_policy model;
    model.name_ = model_id{"small"};
    active_config->fleet_.models_[model.name_] = model;
    service_policy service;
    service.name_ = service_id{"sample"};
    service.models_ = {model.name_};
    service.ranks_ = {rank::urgent, rank::deferred};
    service.limits_.max_body_ = byte_count{100'000};
    service.callers_ = {{caller_id{"tester"}, organisation_id{"tests"}, caller_weight{1.0}, hash_key(caller_key)}};
    active_config->services_[service.name_] = service;
    return active_config;
}

inline settings sample_settings()
{
    settings values;
    values.name_ = "entry";
    values.data_centre_ = data_centre_id{"dc1"};
    values.listen_ = tests::free_address();
    values.peer_listen_ = socket_address{"127.0.0.1:1"};
    values.peer_advertise_ = values.peer_listen_;
    values.operator_key_ = "operator-key-for-tests";
    return values;
}

/// @brief One entry process without peers.
struct entry_fixture
{
    explicit entry_fixture(settings values = sample_settings())
        : state_(std::move(values), io_.get_executor()), listener_(state_, {})
    {
        state_.version_ = make_version_state(sample_configuration());
        auto opened = std::make_shared<task_end<bool>>();
        boost::asio::co_spawn(io_, record_end(open(), opened), boost::asio::detached);
        run_until(io_, [opened] { return opened->ended(); });
    }

    ~entry_fixture()
    {
        auto closed = std::make_shared<task_end<bool>>();
        boost::asio::co_spawn(io_, record_end(close(), closed), boost::asio::detached);
        run_until(io_, [closed] { return closed->ended(); });
    }

    entry_fixture(const entry_fixture&) = delete;
    entry_fixture& operator=(const entry_fixture&) = delete;
    entry_fixture(entry_fixture&&) = delete;
    entry_fixture& operator=(entry_fixture&&) = delete;

    task<bool> open()
    {
        co_await listener_.open();
        co_return true;
    }

    task<bool> close()
    {
        co_await listener_.close();
        co_return true;
    }

    /// Makes @a engines known and waits until all are ready.
    bool know_engines(const std::vector<socket_address>& engines)
    {
        vm_list list;
        std::ranges::for_each(engines, [&list](const socket_address& address) {
            listed_vm vm;
            vm.id_ = "engine-" + address.get();
            vm.address_ = address;
            vm.data_centre_ = data_centre_id{"dc1"};
            list.vms_.push_back(vm);
        });
        apply_vm_list(state_, list);
        return run_until(io_, [this] {
            return std::ranges::all_of(
                state_.engines_, [](const auto& entry) { return entry.second.condition_ == engine_condition::ready; });
        });
    }

    /// Sends a completion call and waits for its whole answer.
    http_answer complete(const std::string& body, std::map<std::string, std::string> headers = {})
    {
        headers.emplace("Authorization", "Bearer " + caller_key);
        return call("POST", "/v1/completions", body, std::move(headers));
    }

    http_answer call(const std::string& method, const std::string& path, const std::string& body,
                     std::map<std::string, std::string> headers)
    {
        http_call sent;
        sent.method_ = method;
        sent.base_url_ = "http://" + state_.settings_.listen_.get();
        sent.path_ = path;
        sent.body_ = body;
        sent.headers_ = std::move(headers);
        sent.timeout_ = std::chrono::duration_cast<milliseconds>(generous);
        auto answer = std::make_shared<task_end<http_answer>>();
        boost::asio::co_spawn(io_, record_end(make_call(std::move(sent)), answer), boost::asio::detached);
        run_until(io_, [answer] { return answer->ended(); });
        return answer->value_.value_or(http_answer{});
    }

    boost::asio::io_context io_{1};
    entry_state state_;
    caller_listener listener_;
};

/// @brief The body of a completion call.
inline std::string completion_body(const std::string& prompt, int max_tokens, bool stream = false)
{
    return nlohmann::json{{"model", "small"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}}
        .dump();
}

/// @brief The text of a plain answer.
inline std::string text_of(const http_answer& answer)
{
    const auto parsed = nlohmann::json::parse(answer.body_, nullptr, false);
    return parsed.is_object() && parsed.contains("choices") ? parsed["choices"][0].value("text", std::string{})
                                                            : std::string{};
}

/// @brief The refusal reason of an answer, empty when it is none.
inline std::string reason_of(const http_answer& answer)
{
    const auto parsed = nlohmann::json::parse(answer.body_, nullptr, false);
    return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("reason", std::string{})
                                                          : std::string{};
}

}  // namespace cornelstall::testing
