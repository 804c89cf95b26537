#include "replay/trace.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace cornelstall::test
{

namespace
{

rank read_rank(std::istream& line)
{
    std::string name;
    line >> name;
    const auto found = std::ranges::find_if(all_ranks, [&](rank each) { return to_string(each) == name; });
    if (found == all_ranks.end())
    {
        line.setstate(std::ios::failbit);
        return rank::standard;
    }
    return *found;
}

token_count read_tokens(std::istream& line)
{
    std::int64_t tokens = 0;
    line >> tokens;
    return token_count{tokens};
}

milliseconds read_time(std::istream& line)
{
    std::int64_t time = 0;
    line >> time;
    return milliseconds{time};
}

token_rate read_rate(std::istream& line)
{
    double rate = 0.0;
    line >> rate;
    return token_rate{rate};
}

traced_request read_request(std::istream& line, milliseconds at)
{
    traced_request request;
    request.at_ = at;
    line >> request.caller_;
    request.rank_ = read_rank(line);
    request.prompt_ = read_tokens(line);
    request.max_output_ = read_tokens(line);
    request.output_ = read_tokens(line);
    request.time_limit_ = read_time(line);
    return request;
}

void read_repeated(trace& result, std::istream& line, milliseconds at)
{
    const milliseconds interval = read_time(line);
    const milliseconds until = read_time(line);
    traced_request request = read_request(line, at);
    if (interval <= milliseconds{0})
    {
        line.setstate(std::ios::failbit);
        return;
    }
    for (; request.at_ < until; request.at_ += interval)
    {
        result.requests_.push_back(request);
    }
}

traced_engine read_engine(std::istream& line)
{
    traced_engine engine;
    line >> engine.id_ >> engine.slots_;
    engine.memory_ = read_tokens(line);
    engine.prefill_rate_ = read_rate(line);
    engine.decode_rate_ = read_rate(line);
    return engine;
}

expected_outcome read_outcome(std::istream& line)
{
    expected_outcome outcome;
    line >> outcome.measure_ >> outcome.subject_ >> outcome.bound_;
    if (outcome.measure_ == "slowdown")
    {
        line >> outcome.excluded_caller_;
    }
    return outcome;
}

void read_event(trace& result, std::istream& line, milliseconds at, const std::string& event)
{
    if (event == "request")
    {
        result.requests_.push_back(read_request(line, at));
    }
    else if (event == "every")
    {
        read_repeated(result, line, at);
    }
    else if (event == "engine")
    {
        result.engines_.push_back(read_engine(line));
    }
    else if (event == "floor")
    {
        const rank which = read_rank(line);
        line >> result.floors_[which];
    }
    else if (event == "drain")
    {
        std::string engine;
        line >> engine;
        result.drains_.push_back({at, engine});
    }
    else if (event == "expect")
    {
        result.outcomes_.push_back(read_outcome(line));
    }
    else
    {
        line.setstate(std::ios::failbit);
    }
}

}  // namespace

trace read_trace(std::istream& input)
{
    trace result;
    std::string text;
    for (int number = 1; std::getline(input, text); ++number)
    {
        text = text.substr(0, text.find('#'));
        if (text.find_first_not_of(" \t") == std::string::npos)
        {
            continue;
        }
        std::istringstream line(text);
        const milliseconds at = read_time(line);
        std::string event;
        line >> event;
        read_event(result, line, at, event);
        const bool complete = !line.fail();
        std::string rest;
        if (!complete || line >> rest)
        {
            throw std::runtime_error("line " + std::to_string(number) +
                                     " of the trace is malformed (format: docs/traces.md): " + text);
        }
    }
    std::ranges::stable_sort(result.requests_, {}, &traced_request::at_);
    return result;
}

}  // namespace cornelstall::test
