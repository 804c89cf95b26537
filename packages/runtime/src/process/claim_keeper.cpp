#include "cornelstall/runtime/process/claim_keeper.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/runtime/process/log_event.hpp"
#include "cornelstall/wire/process/claims_codec.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind claims_gap{4301, "claims_gap"};
constexpr event_kind claims_dropped{4302, "claims_dropped"};

using shared_keeper = std::shared_ptr<claim_keeper>;

/// Time for which a waiting task sleeps at most before it looks again by itself.
constexpr milliseconds idle_wait{1'000};

claims_batch to_batch(const log_page& page, claim_keeper& keeper)
{
    claims_batch batch{page.oldest_, page.next_, true, {}};
    if (!page.records_.empty())
    {
        batch.next_ = page.records_.back().offset_.next();
        batch.at_end_ = batch.next_ >= page.next_;
    }
    std::ranges::for_each(page.records_, [&](const log_record& record) {
        if (auto decoded = decode_claims_record(record.data_); decoded)
        {
            batch.records_.push_back({record.offset_, std::move(*decoded)});
        }
        else
        {
            keeper.metrics_->count("claims_records_skipped_total");
        }
    });
    return batch;
}

void apply_page(claim_keeper& keeper, const log_page& page)
{
    const auto gaps = keeper.index_.gaps_;
    apply(keeper.index_, to_batch(page, keeper));
    keeper.retention_ = page.retention_;
    if (keeper.index_.gaps_ != gaps)
    {
        log_event(severity::warning, claims_gap, "claims were dropped by the log before this VM read them",
                  {{"oldest", std::to_string(page.oldest_.get())}});
    }
    keeper.metrics_->set("claims_keys", {}, static_cast<double>(keeper.index_.keys_.size()));
    keeper.index_changed_.notify();
}

/// Takes the next records to append out of the queue.
std::vector<queued_claims_record> take_batch(claim_keeper& keeper)
{
    const auto size = std::min(keeper.queue_.size(), keeper.settings_.max_batch_);
    const auto end = keeper.queue_.begin() + static_cast<std::ptrdiff_t>(size);
    std::vector<queued_claims_record> batch(std::make_move_iterator(keeper.queue_.begin()),
                                            std::make_move_iterator(end));
    keeper.queue_.erase(keeper.queue_.begin(), end);
    return batch;
}

void set_claim_states(const std::vector<queued_claims_record>& batch, claim_append state)
{
    std::ranges::for_each(batch, [state](const queued_claims_record& record) {
        if (record.claim_state_)
        {
            *record.claim_state_ = state;
        }
    });
}

/// Puts outcomes and abandoned records back. Claims are appended once only: their fate is known or will be read.
void requeue(claim_keeper& keeper, std::vector<queued_claims_record> batch)
{
    std::erase_if(batch, [](const queued_claims_record& record) { return record.claim_state_ != nullptr; });
    keeper.queue_.insert(keeper.queue_.begin(), std::make_move_iterator(batch.begin()),
                         std::make_move_iterator(batch.end()));
}

bool is_not_appended(const connection_error& problem)
{
    return problem.id() == log_refused || problem.id() == http_connect_failed;
}

task<bool> append_batch(shared_keeper keeper, std::vector<queued_claims_record> batch)
{
    std::vector<std::string> texts;
    std::ranges::transform(batch, std::back_inserter(texts), &queued_claims_record::text_);
    set_claim_states(batch, claim_append::in_flight);
    try
    {
        co_await keeper->log_.append_(std::move(texts));
    }
    catch (const connection_error& problem)
    {
        set_claim_states(batch, is_not_appended(problem) ? claim_append::refused : claim_append::sent);
        requeue(*keeper, std::move(batch));
        keeper->metrics_->count("claims_append_failures_total");
        co_return false;
    }
    set_claim_states(batch, claim_append::sent);
    std::ranges::for_each(batch, [](const queued_claims_record& record) { *record.appended_ = true; });
    keeper->metrics_->count("claims_appends_total");
    keeper->metrics_->count("claims_records_appended_total", {}, batch.size());
    co_return true;
}

bool is_full(const claim_keeper& keeper)
{
    return keeper.queue_.size() >= keeper.settings_.max_queued_;
}

/// Drops the record that waits longest and that no claimant waits for.
void drop_oldest_outcome(claim_keeper& keeper)
{
    const auto found = std::ranges::find_if(
        keeper.queue_, [](const queued_claims_record& record) { return record.claim_state_ == nullptr; });
    if (found != keeper.queue_.end())
    {
        keeper.queue_.erase(found);
        keeper.metrics_->count("claims_records_dropped_total");
        log_event(severity::error, claims_dropped,
                  "too many records wait for the log; a repeat of a call gets 'unknown'");
    }
}

void enqueue(claim_keeper& keeper, queued_claims_record record)
{
    if (is_full(keeper))
    {
        drop_oldest_outcome(keeper);
    }
    keeper.queue_.push_back(std::move(record));
    keeper.queue_changed_.notify();
}

task<bool> append_until_acknowledged(shared_keeper keeper, queued_claims_record record)
{
    const auto appended = record.appended_;
    enqueue(*keeper, std::move(record));
    // The queue holds the only other owner; when it dropped the record, nobody will set the flag.
    while (!*appended && appended.use_count() > 1)
    {
        co_await keeper->index_changed_.wait_until(keeper->clock_, keeper->clock_.now_() + idle_wait);
    }
    co_return *appended;
}

claim_id new_claim_id(claim_keeper& keeper)
{
    return claim_id{keeper.self_.get() + "/" + std::to_string(++keeper.claims_made_)};
}

/// Waits until the claim is judged, cannot be appended, or can no longer be sent.
task<claim_result> wait_for_standing(shared_keeper keeper, held_claim held, std::shared_ptr<claim_append> state)
{
    auto standing = claim_result::pending;
    while (standing == claim_result::pending && *state != claim_append::refused && may_send_now(*keeper, held))
    {
        co_await keeper->index_changed_.wait_until(keeper->clock_, held.started_ + held.duration_ - claim_margin);
        standing = evaluate_claim(keeper->index_, held.key_, held.id_);
    }
    co_return standing;
}

/// Starts @a record without waiting for its append.
void abandon_later(const shared_keeper& keeper, const claim_id& id, claim_append state)
{
    // A claim that the log refused, or that never left the queue, cannot arrive later.
    if (state == claim_append::refused)
    {
        return;
    }
    if (std::erase_if(keeper->queue_, [&](const queued_claims_record& record) {
            return record.claim_ == id && record.claim_state_ != nullptr;
        }) == 0)
    {
        enqueue(*keeper, {encode(abandoned_record{id}), id, nullptr, std::make_shared<bool>(false)});
    }
}

}  // namespace

log_stream stream_of(const log_service& service, const std::string& name)
{
    return {[service, name](std::vector<std::string> records) { return append(service, name, std::move(records)); },
            [service, name](log_offset from, int limit, milliseconds wait) {
                return read(service, name, from, limit, wait);
            }};
}

task<> follow_claims(std::shared_ptr<claim_keeper> keeper)
{
    while (!keeper->stopping_)
    {
        milliseconds pause{0};
        // Until the head is reached, calls are refused, so no read waits for a first record.
        const milliseconds wait = keeper->index_.complete_ ? keeper->settings_.read_wait_ : milliseconds{0};
        try
        {
            const auto page = co_await keeper->log_.read_(keeper->index_.next_, keeper->settings_.page_size_, wait);
            apply_page(*keeper, page);
            // A service that does not wait for a first record must not be asked without end.
            pause = page.records_.empty() ? keeper->settings_.batch_period_ : milliseconds{0};
        }
        catch (const connection_error&)
        {
            keeper->metrics_->count("claims_read_failures_total");
            pause = keeper->settings_.retry_pause_;
        }
        if (pause > milliseconds{0})
        {
            co_await sleep_for(keeper->clock_, pause);
        }
    }
}

task<> append_claims(std::shared_ptr<claim_keeper> keeper)
{
    while (!keeper->stopping_ || !keeper->queue_.empty())
    {
        if (keeper->queue_.empty())
        {
            co_await keeper->queue_changed_.wait_until(keeper->clock_, keeper->clock_.now_() + idle_wait);
            continue;
        }
        co_await sleep_for(keeper->clock_, keeper->settings_.batch_period_);
        const bool appended = co_await append_batch(keeper, take_batch(*keeper));
        keeper->index_changed_.notify();
        if (!appended)
        {
            co_await sleep_for(keeper->clock_, keeper->settings_.retry_pause_);
        }
    }
}

bool may_send_now(const claim_keeper& keeper, const held_claim& held)
{
    return may_send(held.started_, held.duration_, keeper.clock_.now_());
}

task<held_claim> claim(std::shared_ptr<claim_keeper> keeper, claim_key key, claimed_call call, time_point deadline)
{
    const auto now = keeper->clock_.now_();
    held_claim held{claim_status::not_ready, {}, std::move(key), std::move(call), now, milliseconds{0}};
    const auto before = evaluate_key(keeper->index_, held.key_, held.call_, now, deadline).kind_;
    if (before != key_decision_kind::may_claim || keeper->stopping_)
    {
        held.status_ = before == key_decision_kind::index_incomplete || keeper->stopping_ ? claim_status::not_ready
                                                                                          : claim_status::taken;
        co_return held;
    }
    if (is_full(*keeper))
    {
        held.status_ = claim_status::log_unavailable;
        co_return held;
    }
    held.id_ = new_claim_id(*keeper);
    held.duration_ = claim_duration(remaining_until(deadline, now), keeper->retention_);
    const auto state = std::make_shared<claim_append>(claim_append::queued);
    enqueue(*keeper, {encode(claim_record{held.id_, keeper->self_, held.key_, held.call_}), held.id_, state,
                      std::make_shared<bool>(false)});
    const auto standing = co_await wait_for_standing(keeper, held, state);
    if (standing == claim_result::won && may_send_now(*keeper, held))
    {
        held.status_ = claim_status::won;
        co_return held;
    }
    abandon_later(keeper, held.id_, *state);
    held.status_ = standing == claim_result::lost ? claim_status::taken : claim_status::log_unavailable;
    co_return held;
}

task<bool> record_outcome(std::shared_ptr<claim_keeper> keeper, const held_claim& held, recorded_answer answer)
{
    outcome_record record{held.id_, held.key_, held.call_, truncate_answer(std::move(answer))};
    return append_until_acknowledged(std::move(keeper),
                                     {encode(std::move(record)), held.id_, nullptr, std::make_shared<bool>(false)});
}

task<bool> abandon(std::shared_ptr<claim_keeper> keeper, const claim_id& id)
{
    return append_until_acknowledged(std::move(keeper),
                                     {encode(abandoned_record{id}), id, nullptr, std::make_shared<bool>(false)});
}

task<key_decision> wait_for_outcome(std::shared_ptr<claim_keeper> keeper, claim_key key, claimed_call call,
                                    time_point deadline)
{
    auto decision = evaluate_key(keeper->index_, key, call, keeper->clock_.now_(), deadline);
    while (decision.kind_ == key_decision_kind::wait)
    {
        co_await keeper->index_changed_.wait_until(keeper->clock_, deadline);
        decision = evaluate_key(keeper->index_, key, call, keeper->clock_.now_(), deadline);
    }
    co_return decision;
}

void stop(claim_keeper& keeper)
{
    keeper.stopping_ = true;
    keeper.queue_changed_.notify();
    keeper.index_changed_.notify();
}

}  // namespace cornelstall
