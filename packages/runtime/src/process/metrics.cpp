#include "cornelstall/runtime/process/metrics.hpp"

#include <algorithm>
#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace cornelstall
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> exposed_quantiles{0.5, 0.95, 0.99};

/// Builds `name{label="value",…}`, the series' identity and its text in the exposition.
std::string series(std::string_view name, std::initializer_list<metric_label> labels)
{
    std::string result(name);
    if (labels.size() == 0)
    {
        return result;
    }
    result += '{';
    std::ranges::for_each(labels, [&result](const metric_label& label) {
        if (result.back() != '{')
        {
            result += ',';
        }
        result.append(label.name_).append("=\"").append(label.value_).append("\"");
    });
    return result + '}';
}

/// Inserts @a suffix behind the name and one more label into a series.
std::string with(const std::string& series_name, std::string_view suffix, const std::string& label)
{
    const auto brace = series_name.find('{');
    std::string result = series_name.substr(0, brace);
    result += suffix;
    std::string labels =
        brace == std::string::npos ? "" : series_name.substr(brace + 1, series_name.size() - brace - 2);
    if (!label.empty())
    {
        labels += labels.empty() ? label : "," + label;
    }
    return labels.empty() ? result : result + '{' + labels + '}';
}

std::string name_of(const std::string& series_name)
{
    return series_name.substr(0, series_name.find('{'));
}

template <class Map>
void write_types(std::ostream& out, const Map& values, std::string_view type)
{
    std::string previous;
    for (const auto& [key, value] : values)
    {
        if (name_of(key) != previous)
        {
            previous = name_of(key);
            out << "# TYPE " << previous << ' ' << type << '\n';
        }
        out << key << ' ' << value << '\n';
    }
}

}  // namespace

struct metrics::distribution
{
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                                              accumulators::tag::extended_p_square_quantile>>
        values_{accumulators::extended_p_square_probabilities = exposed_quantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(std::string_view name, std::initializer_list<metric_label> labels, std::uint64_t amount)
{
    counters_[series(name, labels)] += amount;
}

void metrics::set(std::string_view name, std::initializer_list<metric_label> labels, double value)
{
    gauges_[series(name, labels)] = value;
}

void metrics::observe(std::string_view name, std::initializer_list<metric_label> labels, double value)
{
    auto& entry = distributions_[series(name, labels)];
    if (!entry)
    {
        entry = std::make_unique<distribution>();
    }
    entry->values_(value);
}

std::uint64_t metrics::counter(std::string_view name, std::initializer_list<metric_label> labels) const
{
    const auto found = counters_.find(series(name, labels));
    return found == counters_.end() ? 0 : found->second;
}

std::string metrics::exposition() const
{
    std::ostringstream out;
    write_types(out, counters_, "counter");
    write_types(out, gauges_, "gauge");
    std::string previous;
    for (const auto& [key, entry] : distributions_)
    {
        if (name_of(key) != previous)
        {
            previous = name_of(key);
            out << "# TYPE " << previous << " summary\n";
        }
        std::ranges::for_each(exposed_quantiles, [&out, &key = key, &entry = entry](double probability) {
            std::ostringstream label;
            label << "quantile=\"" << probability << '"';
            out << with(key, "", label.str()) << ' '
                << accumulators::quantile(entry->values_, accumulators::quantile_probability = probability) << '\n';
        });
        out << with(key, "_sum", "") << ' ' << accumulators::sum(entry->values_) << '\n';
        out << with(key, "_count", "") << ' ' << accumulators::count(entry->values_) << '\n';
    }
    return out.str();
}

}  // namespace cornelstall
