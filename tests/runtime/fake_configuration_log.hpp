#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include "cornelstall/runtime.hpp"

namespace cornelstall
{

/// A log stream in memory whose outages and lost acknowledgements the test decides.
struct fake_configuration_log
{
    std::vector<log_record> records_;
    log_offset oldest_{1};
    log_offset next_{1};
    milliseconds retention_{3'600'000};
    int failing_reads_ = 0;
    int refused_appends_ = 0;
    int lost_acknowledgements_ = 0;  ///< appended, but the caller sees a cut connection
    int lost_appends_ = 0;           ///< not appended, and the caller sees the same
    int reads_ = 0;
    std::function<void()> before_append_;

    log_offset put(std::vector<std::string> texts)
    {
        const auto first = next_;
        std::ranges::transform(texts, std::back_inserter(records_), [this](std::string& text) {
            const auto offset = next_;
            next_ = next_.next();
            return log_record{offset, std::move(text)};
        });
        return first;
    }

    /// Forgets the records before `oldest`, as the end of their retention does.
    void expire_before(log_offset oldest)
    {
        oldest_ = oldest;
        std::erase_if(records_, [oldest](const log_record& record) { return record.offset_ < oldest; });
    }

    task<log_page> read(log_offset from, int limit)
    {
        ++reads_;
        co_await sleep_for(milliseconds{1});
        if (failing_reads_ > 0)
        {
            --failing_reads_;
            throw connection_error(log_refused, "outage");
        }
        log_page page{{}, oldest_, next_, retention_};
        std::ranges::copy_if(records_, std::back_inserter(page.records_), [&](const log_record& record) {
            return record.offset_ >= from && page.records_.size() < static_cast<std::size_t>(limit);
        });
        co_return page;
    }

    task<log_offset> append(std::vector<std::string> texts)
    {
        co_await sleep_for(milliseconds{1});
        if (before_append_)
        {
            before_append_();
        }
        if (refused_appends_ > 0)
        {
            --refused_appends_;
            throw connection_error(log_refused, "outage");
        }
        if (lost_appends_ > 0)
        {
            --lost_appends_;
            throw connection_error(http_cut, "cut");
        }
        const auto first = put(std::move(texts));
        if (lost_acknowledgements_ > 0)
        {
            --lost_acknowledgements_;
            throw connection_error(http_cut, "cut");
        }
        co_return first;
    }

    configuration_log access()
    {
        return {[this](log_offset from, int limit, milliseconds) { return read(from, limit); },
                [this](std::vector<std::string> texts) {
                    return append(std::move(texts));
                }};
    }
};

/// Runs `work` to its end.
template <class Result>
Result run_to_end(task<Result> work)
{
    boost::asio::io_context context;
    Result result{};
    std::exception_ptr failure;
    boost::asio::co_spawn(context, std::move(work), [&](const std::exception_ptr& problem, Result value) {
        failure = problem;
        result = std::move(value);
    });
    context.run();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return result;
}

}  // namespace cornelstall
