#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cornelstall
{

/// @brief A label of a metric. Values come from bounded sets only: reasons, ranks, length classes, models.
struct metric_label
{
    std::string_view name_;
    std::string_view value_;
};

/// @brief Counters, gauges and distributions of one process. Used from the Asio thread only.
class metrics
{
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// @brief Adds @a amount to a counter; by convention names end in `_total`.
    void count(std::string_view name, std::initializer_list<metric_label> labels = {}, std::uint64_t amount = 1);

    /// @brief Sets a gauge.
    void set(std::string_view name, std::initializer_list<metric_label> labels, double value);

    /// @brief Adds @a value to a distribution (count, sum, quantiles 0.5, 0.95 and 0.99).
    void observe(std::string_view name, std::initializer_list<metric_label> labels, double value);

    /// @brief The current value of a counter; 0 when it was never counted.
    [[nodiscard]] std::uint64_t counter(std::string_view name, std::initializer_list<metric_label> labels = {}) const;

    /// @brief All metrics in the text exposition format. Linear in the number of metrics.
    [[nodiscard]] std::string exposition() const;

  private:
    struct distribution;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<distribution>> distributions_;
};

}  // namespace cornelstall
