#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelstall/decisions.hpp"
#include "cornelstall/value.hpp"
#include "cornelstall/wire/request/completion.hpp"

namespace cornelstall
{

/// @brief Longest event accepted from an engine; a longer one is treated as a broken stream.
inline constexpr std::size_t max_event_bytes = 1'048'576;

/// @brief Splits a server-sent event stream into the `data:` texts of its events; comments count as signs of life only.
struct event_splitter
{
    std::string pending_;
};

/// @brief Adds @a bytes and returns the events completed by them. Linear in the bytes.
/// @throws connection_error (id 241) when an event is longer than `max_event_bytes`
[[nodiscard]] std::vector<std::string> split_events(event_splitter& splitter, std::string_view bytes);

/// @brief One event of an engine's answer.
struct engine_event
{
    part_header header_;
    std::string text_;
    std::string finish_reason_;  ///< set on the last part
    completion_usage usage_;
    bool end_mark_ = false;  ///< `[DONE]`
};

/// @brief Decodes the data of one event.
/// @throws connection_error (id 242) when it is malformed
[[nodiscard]] engine_event decode_engine_event(std::string_view data);

/// @brief The error code in a refusal body, empty when there is none.
[[nodiscard]] std::string decode_error_code(std::string_view body);

/// @brief The retry reason for an engine's refusal; nothing when the refusal is final.
[[nodiscard]] std::optional<retry_reason> retry_reason_of(int status, std::string_view code);

/// @brief Decodes an engine's load report.
/// @throws connection_error (id 243) when it is malformed
[[nodiscard]] engine_load decode_engine_load(std::string_view body);

/// @brief A change of an engine's prefix cache.
struct cache_event
{
    bool stored_ = true;
    prefix_key key_;
    token_count tokens_;
};

/// @brief A page of cache events.
struct cache_events
{
    std::vector<cache_event> events_;
    std::uint64_t oldest_ = 0;
    std::uint64_t next_ = 0;
};

/// @throws connection_error (id 244)
[[nodiscard]] cache_events decode_cache_events(std::string_view body);

/// @brief The full list of an engine's cached prefixes.
struct cache_list
{
    std::uint64_t sequence_ = 0;
    std::vector<cache_event> entries_;
};

/// @throws connection_error (id 244)
[[nodiscard]] cache_list decode_cache_list(std::string_view body);

/// @brief Decodes an engine's list of what it holds.
/// @throws connection_error (id 246)
[[nodiscard]] std::vector<holding> decode_holdings(std::string_view body);

}  // namespace cornelstall
