#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <string>
#include <utility>

/// @brief Checks a rapidcheck property with a fixed seed, so that every run gives the same verdict.
template <class Property>
bool holds_with_seed(std::uint64_t seed, const std::string& name, Property&& property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return result.template is<rc::detail::SuccessResult>();
}
