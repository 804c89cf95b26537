#include "cornelstall/decisions/request/stream_parts.hpp"

namespace cornelstall
{

part_verdict accept_part(stream_progress& progress, const part_header& part)
{
    if (part.request_ != progress.request_)
    {
        return part_verdict::wrong_request;
    }
    if (part.attempt_ != progress.attempt_)
    {
        return part_verdict::wrong_attempt;
    }
    if (progress.ended_)
    {
        return part_verdict::after_end;
    }
    if (part.part_ < progress.next_)
    {
        return part_verdict::duplicate;
    }
    if (part.part_ > progress.next_)
    {
        return part_verdict::gap;
    }
    progress.next_ = progress.next_.next();
    progress.ended_ = part.last_;
    return part_verdict::deliver;
}

}  // namespace cornelstall
