#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall::test
{

/// @brief A request of a trace; times count from the start of the trace.
struct traced_request
{
    milliseconds at_{0};
    std::string caller_;
    rank rank_ = rank::standard;
    token_count prompt_;
    token_count max_output_;
    token_count output_;
    milliseconds limit_{0};
};

struct traced_engine
{
    std::string id_;
    int slots_ = 0;
    token_count memory_;
    token_rate prefill_rate_;
    token_rate decode_rate_;  ///< of one sequence
};

struct traced_drain
{
    milliseconds at_{0};
    std::string engine_;
};

/// @brief A bound on one measure of the replay.
struct stated_outcome
{
    std::string measure_;
    std::string subject_;
    double bound_ = 0.0;
    std::string without_;  ///< caller whose requests are left out for the comparison
};

/// @brief A trace as docs/traces.md describes it.
struct trace
{
    std::vector<traced_engine> engines_;
    std::map<rank, double> floors_;
    std::vector<traced_request> requests_;  ///< in order of time
    std::vector<traced_drain> drains_;
    std::vector<stated_outcome> outcomes_;
};

/// @throws std::runtime_error that names the line which cannot be read
trace read_trace(std::istream& input);

}  // namespace cornelstall::test
