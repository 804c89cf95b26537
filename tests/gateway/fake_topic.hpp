#pragma once

#include <map>

#include "cornelstall/gateway.hpp"
#include "log_positions.hpp"

namespace cornelstall::tests
{

/// @brief The log that @a topic plays.
template <class Topic>
record_log open(Topic& topic)
{
    record_log log;
    log.read_newest_ = [&topic]() {
        return Topic::read_newest(&topic);
    };
    log.read_from_ = [&topic](log_position from, milliseconds wait) {
        return Topic::read_from(&topic, from, wait);
    };
    return log;
}

/// @brief A log with several records, which shows a part of the newest ones while it is faulty.
struct fake_operator_topic
{
    std::vector<keyed_record> records_;  ///< each at the offset of its index
    std::size_t hidden_ = 0;             ///< records at the end that a faulty read of the newest ones leaves out
    std::size_t first_ = 0;              ///< records before this one have been discarded
    bool reachable_ = true;
    int newest_reads_ = 0;
    std::size_t lowest_read_ = 1000;  ///< lowest offset that changes were asked from

    void add(const std::string& key, const std::string& value)
    {
        records_.push_back({key, value, value.empty(), at_offset(records_.size())});
    }

    static task<record_page> read_newest(fake_operator_topic* self)
    {
        ++self->newest_reads_;
        std::map<std::string, keyed_record> newest;
        std::ranges::for_each(self->records_, [&newest](const keyed_record& record) { newest[record.key_] = record; });
        std::erase_if(newest, [](const auto& entry) { return entry.second.removed_; });
        record_page page;
        page.reached_ = self->reachable_;
        page.complete_ = self->hidden_ == 0;
        for (const auto& [key, record] : newest)
        {
            if (page.records_.size() + self->hidden_ < newest.size())
            {
                page.records_.push_back(record);
            }
        }
        page.next_ = at_offset(self->records_.size());
        co_await sleep_for(milliseconds{5});
        co_return page;
    }

    static task<record_page> read_from(fake_operator_topic* self, log_position from, milliseconds wait)
    {
        self->lowest_read_ = std::min<std::size_t>(self->lowest_read_, from.offset().get());
        record_page page;
        page.reached_ = self->reachable_;
        page.first_ = std::max(from, at_offset(self->first_));
        page.end_ = at_offset(self->records_.size());
        page.next_ = page.first_;
        // One record a page, so that a read seldom reaches the end of the log.
        if (page.next_ < page.end_)
        {
            page.records_.push_back(self->records_[page.next_.offset().get()]);
            page.next_ = page.next_.next();
            co_await sleep_for(milliseconds{5});
        }
        else
        {
            co_await sleep_for(std::min(wait, milliseconds{50}));
        }
        co_return page;
    }
};

}  // namespace cornelstall::tests
