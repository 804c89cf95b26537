#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace cornelstall
{

/// @brief Identifies a kind of log event. The catalogue is docs/events.md.
struct event_kind
{
    int number_ = 0;
    std::string_view name_;
};

/// @brief How serious an event is.
enum class severity
{
    debug,
    info,
    warning,
    error
};

/// @brief A named value attached to an event.
struct event_field
{
    std::string_view name_;
    std::string value_;
};

/// @brief Writes events of at least @a least to standard output, one line each:
/// `time severity number name field=value … message`. Lines that would block, and those beyond 1,000 a second, are
/// dropped; `dropped_lines` in the next line counts them.
void start_logging(severity least);

/// @brief The severity named @a text.
/// @throws process_error (id 402) when there is none
[[nodiscard]] severity parse_severity(std::string_view text);

/// @brief Logs one event. Safe to call from any thread.
void log_event(severity level, const event_kind& kind, std::string_view message,
               std::initializer_list<event_field> fields = {});

}  // namespace cornelstall
