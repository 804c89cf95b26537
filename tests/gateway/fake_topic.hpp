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
    int change_reads_ = 0;
    log_era era_;                     ///< 0 when the log states none
    std::size_t lowest_read_ = 1000;  ///< lowest offset that changes were asked from

    void add(const std::string& key, const std::string& value)
    {
        records_.push_back({key, value, value.empty(), at_offset(records_.size(), era_)});
    }

    /// Comes back in the next era from a copy with the first @a copied records.
    void come_back(std::size_t copied)
    {
        records_.resize(copied);
        era_ = era_.next();
        std::ranges::for_each(records_, [this](keyed_record& record) {
            record.position_ = {era_, record.position_.offset()};
        });
    }

    [[nodiscard]] std::optional<log_era> stated_era() const
    {
        return era_ == log_era{} ? std::nullopt : std::optional(era_);
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
        page.next_ = at_offset(self->records_.size(), self->era_);
        page.era_ = self->stated_era();
        co_await sleep_for(milliseconds{5});
        co_return page;
    }

    static task<record_page> read_from(fake_operator_topic* self, log_position from, milliseconds wait)
    {
        self->lowest_read_ = std::min<std::size_t>(self->lowest_read_, from.offset().get());
        ++self->change_reads_;
        // As the platform's store, which is asked for an offset and does not know which era it is of.
        const auto asked = std::max<std::size_t>(from.offset().get(), self->first_);
        record_page page;
        page.reached_ = self->reachable_;
        page.era_ = self->stated_era();
        page.expired_ = asked > self->records_.size();
        page.first_ = at_offset(asked, self->era_);
        page.end_ = at_offset(self->records_.size(), self->era_);
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
