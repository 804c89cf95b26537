#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decisions/fake_engine.hpp"
#include "decisions/queue_samples.hpp"

/// @file
/// Simulations of owners and entry VMs over fake engines, in virtual time and with fixed seeds.

namespace cornelstall::test
{

/// @brief One kind of work that arrives at random (Poisson).
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

/// @brief A request and what became of it.
struct simulated_request
{
    workload kind_;
    time_point arrived_;
    time_point first_part_ = time_point::max();
    time_point ended_ = time_point::max();  ///< answered, refused or removed
    bool answered_ = false;
    bool cut_off_ = false;  ///< ended by its entry VM at the limit, after the grant
};

/// @brief What a simulation runs with; variants take a mechanism away.
struct simulation_settings
{
    std::vector<workload> workloads_;
    int engines_ = 1;
    int slots_ = 32;
    std::int64_t memory_ = 1'000'000;
    std::map<rank, double> floors_;
    double max_bypass_ratio_ = 1.0;
    bool engine_preempts_ = true;
    bool chooses_engine_ = true;  ///< false: engines in turn
    /// The request as the decisions see it; the identity unless a variant hides what a mechanism depends on.
    std::function<queue_entry(queue_entry)> as_seen_ = [](queue_entry entry) {
        return entry;
    };
    std::chrono::seconds duration_{120};
    std::uint64_t seed_ = 1;
};

/// @brief Runs the simulation until the last arrival has ended.
std::vector<simulated_request> simulate(const simulation_settings& settings);

/// @brief Requests of one rank or caller.
std::vector<simulated_request> of_rank(const std::vector<simulated_request>& requests, rank which);

/// @brief 95th percentile of the time to the first token; a request without an answer counts as endless.
milliseconds first_token_p95(const std::vector<simulated_request>& requests);

/// @brief Uncached prompt and output tokens answered within the simulated time after @a warm_up, by a key of the
/// workload.
std::map<std::string, double> served_tokens(const std::vector<simulated_request>& requests,
                                            const simulation_settings& settings,
                                            const std::function<std::string(const workload&)>& key);

/// @brief Number of requests that ended after their limit.
int ended_late(const std::vector<simulated_request>& requests);

/// @brief Share of the granted requests that their entry VM had to cut off at the limit.
double cut_off_share(const std::vector<simulated_request>& requests);

}  // namespace cornelstall::test
