#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelstall/value.hpp"

namespace cornelstall::soak
{

/// @brief What a caller asks for.
enum class call_kind
{
    once,        ///< a plain call that must not run twice
    repeatable,  ///< a plain call that may run again
    stream,      ///< a generation that must not run twice
    resumable    ///< a generation that may go on at another server
};

/// @brief One request as its caller saw it.
struct sent_request
{
    std::string id_;
    call_kind kind_ = call_kind::once;
    std::string key_;
    std::string path_;
    std::string body_;
    std::int64_t prompt_tokens_ = 1000;  ///< of a generation
    std::size_t vm_ = 0;                 ///< the VM that the caller's connection went to
    bool chunked_ = false;               ///< the body is sent in chunks
    time_point sent_at_;
    std::optional<time_point> last_byte_at_;  ///< the request was written whole
    std::optional<time_point> ended_at_;
    bool left_ = false;       ///< the caller closed its connection before the answer
    unsigned status_ = 0;     ///< 0 when the connection ended without an answer
    bool whole_ = false;      ///< the answer was complete by its own framing, and its connection had not failed before
    bool malformed_ = false;  ///< bytes arrived that are no answer
    std::string seal_;
    std::string answer_;
};

/// @brief One request as a backend server saw it.
struct server_note
{
    time_point at_;
    std::string server_;
    std::string request_;
    std::string what_;  ///< `run`, `done`, `refused`, `cut` by the server, or `left` by the VM
    std::string path_;
    std::string organisation_;
    bool has_key_ = false;
};

/// @brief What a disruption concerns.
enum class disrupted_part
{
    vm,     ///< a VM's process or its callers' connections
    store,  ///< the store or a VM's connections to it
    server  ///< backend servers or the connections to them
};

/// @brief A time in which something was disrupted from outside; some promises with a bound in time do not hold then.
struct disruption
{
    time_point from_;
    time_point until_;
    disrupted_part part_ = disrupted_part::vm;
    std::optional<std::size_t> vm_;  ///< only this VM; all when absent
};

/// @brief A change that the store acknowledged.
struct acknowledged_change
{
    enum class kind
    {
        key_added,
        key_revoked,
        route_added,
        route_removed,
        server_leaving
    };
    kind kind_ = kind::key_revoked;
    std::string name_;  ///< key, path prefix or server
    time_point at_;
};

/// @brief A planned stop of a VM.
struct planned_stop
{
    std::size_t vm_ = 0;
    time_point begun_at_;
    std::optional<time_point> ended_at_;
    int exit_code_ = 0;
};

/// @brief A SIGHUP of a VM.
struct planned_reload
{
    std::size_t vm_ = 0;
    time_point at_;
};

/// @brief All that was seen from outside.
struct observations
{
    std::vector<sent_request> requests_;
    std::vector<server_note> notes_;
    std::vector<disruption> disruptions_;
    std::vector<acknowledged_change> changes_;
    std::vector<planned_stop> stops_;
    std::vector<planned_reload> reloads_;
};

}  // namespace cornelstall::soak
