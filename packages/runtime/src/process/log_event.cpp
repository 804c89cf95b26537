#include "cornelstall/runtime/process/log_event.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>
#include <utility>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>

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

}  // namespace

void start_logging(severity least)
{
    namespace expressions = boost::log::expressions;
    const auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    boost::log::add_console_log(
        std::clog, boost::log::keywords::auto_flush = true,
        boost::log::keywords::format = expressions::stream << expressions::format_date_time<boost::posix_time::ptime>(
                                                                  "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                                                           << ' ' << expressions::smessage);
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
