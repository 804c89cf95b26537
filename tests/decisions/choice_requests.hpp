#pragma once

#include "cornelstall/decisions.hpp"

namespace cornelstall::testing
{

/// @brief A choice request without tried servers, in a fleet of one cell.
inline choice_request request_for(const service_description& service, const engine_work& work,
                                  const std::string& data_centre, std::uint64_t seed)
{
    choice_request request;
    request.service_ = service.id_;
    request.work_ = work;
    request.data_centre_ = data_centre_id{data_centre};
    request.tie_break_seed_ = seed;
    return request;
}

}  // namespace cornelstall::testing
