#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decisions/fake_engine.hpp"
#include "decisions/queue_samples.hpp"

/// @file
/// Simulation of engine owners and entry VMs with fake engines, in virtual time and with fixed seeds.

namespace cornelstall::test
{

/// @brief Requests of one caller and rank with Poisson arrivals.
struct workload
{
    std::string caller_ = "a";
    rank rank_ = rank::standard;
    double per_second_ = 1.0;
    std::int64_t prompt_ = 1000;
    std::int64_t max_output_ = 100;
    std::int64_t output_ = 100;
    milliseconds limit_{30'000};
};

/// @brief A request and its outcome.
struct simulated_request
{
    workload workload_;
    time_point arrived_;
    time_point first_part_ = time_point::max();
    time_point ended_ = time_point::max();  ///< answered, refused or removed
    bool answered_ = false;
    bool cancelled_at_limit_ = false;  ///< granted, then cancelled by its entry VM at the time limit
};

/// @brief Parameters of a simulation. Some of them disable a mechanism, as a control that the test detects its absence.
struct simulation_settings
{
    std::vector<workload> workloads_;
    int engines_ = 1;
    int slots_ = 32;
    std::int64_t memory_ = 1'000'000;
    std::map<rank, double> floors_;
    double max_bypass_ratio_ = 1.0;
    bool engine_preempts_ = true;
    bool uses_placement_ = true;  ///< false: round robin over the engines
    /// Changes each request before it is placed and enqueued, to hide the field that a mechanism depends on.
    std::function<queue_entry(queue_entry)> transform_entry_ = [](queue_entry entry) {
        return entry;
    };
    std::chrono::seconds duration_{120};
    std::uint64_t seed_ = 1;
};

/// @brief Runs the simulation until every request has ended.
std::vector<simulated_request> simulate(const simulation_settings& settings);

/// @brief Requests of one rank.
std::vector<simulated_request> of_rank(const std::vector<simulated_request>& requests, rank which);

/// @brief 95th percentile of the time to the first token; a request without a response counts as `milliseconds::max()`.
milliseconds first_token_p95(const std::vector<simulated_request>& requests);

/// @brief Uncached prompt tokens and output tokens of the requests answered within the simulated time after a warm-up,
/// grouped by @a key of their workload.
std::map<std::string, double> served_tokens(const std::vector<simulated_request>& requests,
                                            const simulation_settings& settings,
                                            const std::function<std::string(const workload&)>& key);

/// @brief Number of requests that ended after their time limit.
int ended_late(const std::vector<simulated_request>& requests);

/// @brief Fraction of the granted requests that their entry VM cancelled at the time limit.
double cancelled_at_limit_share(const std::vector<simulated_request>& requests);

}  // namespace cornelstall::test
