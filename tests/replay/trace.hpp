#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall::test
{

/// @brief A request of a trace. Times are relative to the start of the trace.
struct traced_request
{
    milliseconds at_{0};
    std::string caller_;
    rank rank_ = rank::standard;
    token_count prompt_;
    token_count max_output_;
    token_count output_;
    milliseconds time_limit_{0};
};

struct traced_engine
{
    std::string id_;
    int slots_ = 0;
    token_count memory_;
    token_rate prefill_rate_;
    token_rate decode_rate_;  ///< per sequence
};

struct traced_drain
{
    milliseconds at_{0};
    std::string engine_;
};

/// @brief A bound on one measured value of the replay.
struct expected_outcome
{
    std::string measure_;
    std::string subject_;
    double bound_ = 0.0;
    std::string excluded_caller_;  ///< for slowdown: caller that is removed from the trace for comparison
};

/// @brief A parsed trace file; docs/traces.md specifies the format.
struct trace
{
    std::vector<traced_engine> engines_;
    std::map<rank, double> floors_;
    std::vector<traced_request> requests_;  ///< ordered by time
    std::vector<traced_drain> drains_;
    std::vector<expected_outcome> outcomes_;
};

/// @throws std::runtime_error with the number of the line that cannot be parsed
trace read_trace(std::istream& input);

}  // namespace cornelstall::test
