#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <random>
#include <string>
#include <utility>

/// @brief Checks a rapidcheck property with a fixed seed, so that every run gives the same verdict.
/// @param cases number of generated cases
template <class Property>
bool holds_with_seed(std::uint64_t seed, const std::string& name, Property&& property, int cases = 100)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return result.template is<rc::detail::SuccessResult>();
}

/// @brief Checks @a run with @a cases random generators that derive from one seed. Each run draws from its generator
/// without rapidcheck's growing sizes, so that the first cases are as varied as the last ones.
/// @param run takes a `std::mt19937_64&` and returns whether the property holds
template <class Run>
bool holds_for_random_runs(std::uint64_t seed, const std::string& name, int cases, Run&& run)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    parameters.disableShrinking = true;
    const auto property = [&run] {
        std::mt19937_64 random(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        RC_ASSERT(run(random));
    };
    const auto result = rc::detail::checkTestable(property, metadata, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return result.template is<rc::detail::SuccessResult>();
}
