#include "cornelstall/runtime/process/log_event.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall
{

namespace
{

constexpr std::array<std::pair<severity, std::string_view>, 4> severity_names{{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

std::string_view name_of(severity level)
{
    const auto* const found = std::ranges::find(severity_names, level, &std::pair<severity, std::string_view>::first);
    return found == severity_names.end() ? std::string_view{"invalid"} : found->second;
}

using logger_type = boost::log::sources::severity_logger_mt<int>;

logger_type& logger()
{
    static logger_type instance;
    return instance;
}

/// Quotes values that would make a line ambiguous and removes line breaks, which callers could use to forge events.
std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos)
    {
        return value;
    }
    std::string result{"\""};
    std::ranges::for_each(value, [&result](char character) {
        if (character == '"' || character == '\\')
        {
            result += '\\';
        }
        result += (character == '\n' || character == '\r') ? ' ' : character;
    });
    return result + '"';
}

/// A pipe that reports room takes this many bytes without blocking.
constexpr std::size_t longest_line = 4096;
/// Lines in a second that are written at most; a VM at its usual load writes some tens.
constexpr int lines_per_second = 1000;

/// Writes lines to standard output. A line that would block or that exceeds the bound of its second is dropped, and the
/// number of dropped lines is written with the next one.
class output_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
  public:
    void consume(const boost::log::record_view& /*record*/, const std::string& text)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - second_begun_ >= std::chrono::seconds{1})
        {
            second_begun_ = now;
            lines_ = 0;
        }
        if (++lines_ > lines_per_second || !has_room())
        {
            ++dropped_;
            return;
        }
        write_line(text);
    }

  private:
    [[nodiscard]] static bool has_room()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    void write_line(const std::string& text)
    {
        std::string line = text.substr(0, longest_line - longest_note);
        if (dropped_ > 0)
        {
            line += " dropped_lines=" + std::to_string(std::exchange(dropped_, 0));
        }
        line += '\n';
        // A line that cannot be written is lost; there is nowhere left to report it.
        (void)!::write(STDOUT_FILENO, line.data(), line.size());
    }

    static constexpr std::size_t longest_note = 64;
    std::chrono::steady_clock::time_point second_begun_;
    int lines_ = 0;
    std::uint64_t dropped_ = 0;
};

}  // namespace

void start_logging(severity least)
{
    namespace expressions = boost::log::expressions;
    const auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<output_backend>>();
    sink->set_formatter(expressions::stream
                        << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << ' ' << expressions::smessage);
    core->add_sink(sink);
    core->set_filter(expressions::attr<int>("Severity") >= static_cast<int>(least));
}

severity parse_severity(std::string_view text)
{
    const auto* const found = std::ranges::find(severity_names, text, &std::pair<severity, std::string_view>::second);
    if (found == severity_names.end())
    {
        throw process_error(402, "log level '" + std::string(text) + "' is unknown; use debug, info, warning or error");
    }
    return found->first;
}

void log_event(severity level, const event_kind& kind, std::string_view message,
               std::initializer_list<event_field> fields)
{
    std::ostringstream line;
    line << name_of(level) << ' ' << kind.number_ << ' ' << kind.name_;
    std::ranges::for_each(
        fields, [&line](const event_field& field) { line << ' ' << field.name_ << '=' << quoted(field.value_); });
    line << " message=" << quoted(std::string(message));
    BOOST_LOG_SEV(logger(), static_cast<int>(level)) << line.str();
}

}  // namespace cornelstall
