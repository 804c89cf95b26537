#include "cornelstall/runtime/process/lease_keeper.hpp"

#include <algorithm>
#include <vector>

#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/wire/process/lease_codec.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind lease_taken{4401, "lease_taken"};
constexpr event_kind lease_lost{4402, "lease_lost"};

lease_batch to_batch(const log_page& page, metrics& counters)
{
    lease_batch batch{page.oldest_, page.next_, true, {}};
    if (!page.records_.empty())
    {
        batch.next_ = page.records_.back().offset_.next();
        batch.at_end_ = batch.next_ >= page.next_;
    }
    std::ranges::for_each(page.records_, [&](const log_record& record) {
        if (auto decoded = decode_lease_record(record.data_); decoded)
        {
            batch.records_.push_back({record.offset_, std::move(*decoded)});
        }
        else
        {
            counters.count("lease_records_skipped_total");
        }
    });
    return batch;
}

void log_change(const lease_keeper& keeper, const vm_id& former)
{
    if (keeper.view_.holder_ == former)
    {
        return;
    }
    const bool taken = keeper.view_.holder_ == keeper.participant_.self_;
    if (taken || former == keeper.participant_.self_)
    {
        log_event(severity::info, taken ? lease_taken : lease_lost, "the lease of orders changed its holder",
                  {{"holder", keeper.view_.holder_.get()},
                   {"fencing_number", std::to_string(fencing_number_of(keeper.view_).get())}});
    }
}

void apply_page(lease_keeper& keeper, const log_page& page)
{
    const vm_id former = keeper.view_.holder_;
    const auto accepted = apply(keeper.view_, to_batch(page, *keeper.metrics_), keeper.clock_.now_());
    std::ranges::for_each(accepted,
                          [&](const lease_record& record) { apply_accepted_record(keeper.participant_, record); });
    log_change(keeper, former);
}

/// Reads and applies one page; false when the next read should wait a little.
task<bool> read_page(std::shared_ptr<lease_keeper> keeper)
{
    const milliseconds wait = keeper->view_.complete_ ? keeper->settings_.read_wait_ : milliseconds{0};
    try
    {
        const auto page = co_await keeper->log_.read_(keeper->view_.next_, keeper->settings_.page_size_, wait);
        apply_page(*keeper, page);
        // A service that does not wait for a first record must not be asked without end.
        co_return !page.records_.empty();
    }
    catch (const connection_error&)
    {
        keeper->metrics_->count("lease_read_failures_total");
    }
    co_return false;
}

task<> append_action(std::shared_ptr<lease_keeper> keeper, lease_action action)
{
    const auto record = make_lease_record(keeper->participant_, keeper->view_, action, keeper->clock_.now_());
    std::vector<std::string> texts;
    texts.push_back(encode(record));
    try
    {
        co_await keeper->log_.append_(std::move(texts));
    }
    catch (const connection_error&)
    {
        // Whether the record was appended is learned by reading.
        keeper->metrics_->count("lease_append_failures_total");
    }
}

/// True while the log still gives this VM the lease and its time is not over.
bool holds_time(const lease_keeper& keeper)
{
    return keeper.view_.holder_ == keeper.participant_.self_ && keeper.participant_.held_since_ &&
           keeper.clock_.now_() < *keeper.participant_.held_since_ + lease_duration;
}

}  // namespace

std::shared_ptr<lease_keeper> make_lease_keeper(log_stream log, task_clock clock, metrics& counters, vm_id self,
                                                data_centre_id data_centre)
{
    auto keeper = std::make_shared<lease_keeper>();
    keeper->log_ = std::move(log);
    keeper->clock_ = std::move(clock);
    keeper->metrics_ = &counters;
    keeper->view_.data_centre_ = std::move(data_centre);
    keeper->participant_.self_ = std::move(self);
    return keeper;
}

task<> keep_lease(std::shared_ptr<lease_keeper> keeper)
{
    while (!keeper->stopping_ || holds_time(*keeper))
    {
        if (keeper->stopping_ && !keeper->participant_.releasing_)
        {
            co_await append_action(keeper, lease_action::release);
        }
        if (!co_await read_page(keeper))
        {
            co_await sleep_for(keeper->clock_, keeper->settings_.retry_pause_);
        }
        const auto action = next_lease_action(keeper->participant_, keeper->view_, keeper->clock_.now_());
        if (action && (!keeper->stopping_ || *action == lease_action::release))
        {
            co_await append_action(keeper, *action);
        }
        keeper->metrics_->set("lease_held", {}, permission(*keeper, true, {}) == order_permission::allowed ? 1.0 : 0.0);
    }
}

void stop(lease_keeper& keeper)
{
    keeper.stopping_ = true;
}

order_permission permission(const lease_keeper& keeper, bool engine_checks_fencing, time_point state_read_at)
{
    if (keeper.stopping_)
    {
        return order_permission::not_holder;
    }
    return check_order_permission(keeper.participant_, keeper.view_, engine_checks_fencing, state_read_at,
                                  keeper.clock_.now_());
}

}  // namespace cornelstall
