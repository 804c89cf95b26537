#include "cornelstall/decisions/request/stream_parts.hpp"

namespace cornelstall
{

part_check_result accept_part(stream_progress& progress, const part_header& part)
{
    if (part.request_ != progress.request_)
    {
        return part_check_result::wrong_request;
    }
    if (part.attempt_ != progress.attempt_)
    {
        return part_check_result::wrong_attempt;
    }
    if (progress.ended_)
    {
        return part_check_result::after_end;
    }
    if (part.part_ < progress.next_)
    {
        return part_check_result::duplicate;
    }
    if (part.part_ > progress.next_)
    {
        return part_check_result::gap;
    }
    progress.next_ = progress.next_.next();
    progress.ended_ = part.last_;
    return part_check_result::deliver;
}

}  // namespace cornelstall
