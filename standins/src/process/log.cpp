#include "cornelstall/standins/process/log.hpp"

#include "process/host.hpp"

#include <algorithm>
#include <deque>
#include <ranges>
#include <set>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::uint64_t default_read_limit = 1000;
/// Share of a second's appends that may arrive at once.
constexpr double burst_seconds = 0.1;

struct record
{
    log_offset offset_;
    std::string data_;
    time_point appended_at_;
};

struct log_stream
{
    std::deque<record> records_;
    log_offset next_{1};
    std::set<boost::asio::steady_timer*> readers_;  ///< readers that wait for the next append
};

struct log_state
{
    log_settings settings_;
    std::map<std::string, log_stream> streams_;
    double tokens_ = 0.0;  ///< append calls allowed now
    time_point refilled_at_ = clock::now();
};

double largest_burst(double rate)
{
    return std::max(1.0, rate * burst_seconds);
}

bool take_append_token(log_state& log, time_point now)
{
    const double rate = log.settings_.appends_per_second_;
    const double elapsed = std::chrono::duration<double>(now - log.refilled_at_).count();
    log.tokens_ = std::min(log.tokens_ + elapsed * rate, largest_burst(rate));
    log.refilled_at_ = now;
    if (log.tokens_ < 1.0)
    {
        return false;
    }
    log.tokens_ -= 1.0;
    return true;
}

void drop_expired(log_stream& stream, time_point oldest_kept)
{
    const auto kept = std::ranges::find_if(
        stream.records_, [oldest_kept](const record& each) { return each.appended_at_ >= oldest_kept; });
    stream.records_.erase(stream.records_.begin(), kept);
}

log_offset append(log_stream& stream, const std::vector<std::string>& texts, time_point now)
{
    const log_offset first = stream.next_;
    std::ranges::transform(texts, std::back_inserter(stream.records_), [&stream, now](const std::string& text) {
        const log_offset offset = stream.next_;
        stream.next_ = offset.next();
        return record{offset, text, now};
    });
    std::ranges::for_each(stream.readers_, [](boost::asio::steady_timer* reader) { reader->cancel(); });
    return first;
}

json read(const log_stream& stream, log_offset from, std::uint64_t limit, milliseconds retention)
{
    json records = json::array();
    const auto first = std::ranges::lower_bound(stream.records_, from, {}, &record::offset_);
    const auto chosen =
        std::ranges::subrange(first, stream.records_.end()) | std::views::take(static_cast<std::ptrdiff_t>(limit));
    std::ranges::transform(chosen, std::back_inserter(records), [](const record& each) {
        return json{{"offset", each.offset_.get()}, {"data", each.data_}};
    });
    const log_offset oldest = stream.records_.empty() ? stream.next_ : stream.records_.front().offset_;
    return {{"records", std::move(records)},
            {"oldest", oldest.get()},
            {"next", stream.next_.get()},
            {"retention_ms", retention.count()}};
}

awaitable<void> serve_append(detail::host& host, log_state& log, log_stream& stream, exchange& current)
{
    const auto texts = json::parse(current.call().body_).at("records").get<std::vector<std::string>>();
    const time_point now = clock::now();
    if (!take_append_token(log, now))
    {
        host.counters_.add("rate_limited");
        co_await current.refuse(http_status::too_many_requests, "rate_limited", "too many appends; try again later");
        co_return;
    }
    host.counters_.add("appends");
    host.counters_.add("records", texts.size());
    const log_offset first = append(stream, texts, now);
    const json answer{{"first_offset", first.get()}};
    co_await current.reply(http_status::ok, answer);
}

awaitable<void> serve_read(detail::host& host, log_state& log, log_stream& stream, exchange& current)
{
    const log_offset from{std::max<std::uint64_t>(1, query_number(current.call(), "from", 1))};
    const std::uint64_t limit = query_number(current.call(), "limit", default_read_limit);
    const milliseconds wait{query_number(current.call(), "wait_ms", 0)};
    host.counters_.add("reads");
    const time_point deadline = clock::now() + wait;
    while (stream.next_ <= from && clock::now() < deadline)
    {
        boost::asio::steady_timer timer{host.context_, deadline};
        boost::system::error_code woken;
        stream.readers_.insert(&timer);
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
        stream.readers_.erase(&timer);
    }
    drop_expired(stream, clock::now() - log.settings_.retention_);
    co_await current.reply(http_status::ok, read(stream, from, limit, log.settings_.retention_));
}

awaitable<void> serve(detail::host& host, log_state& log, exchange& current)
{
    constexpr std::string_view suffix = "/records";
    const std::string_view rest = path_after(current.call(), "/streams/");
    if (rest.size() <= suffix.size() || !rest.ends_with(suffix))
    {
        co_await current.refuse(http_status::not_found, "unknown_path", "use /streams/{name}/records");
        co_return;
    }
    log_stream& stream = log.streams_[std::string(rest.substr(0, rest.size() - suffix.size()))];
    if (current.call().method_ == "POST")
    {
        co_await serve_append(host, log, stream, current);
        co_return;
    }
    co_await serve_read(host, log, stream, current);
}

}  // namespace

running_standin start_log(const log_settings& settings, const socket_address& address)
{
    auto host = std::make_unique<detail::host>(address);
    auto log = std::make_shared<log_state>();
    log->settings_ = settings;
    log->tokens_ = largest_burst(settings.appends_per_second_);
    host->state_ = log;
    host->details_ = [log] {
        json next = json::object();
        std::ranges::for_each(log->streams_, [&next](const auto& each) { next[each.first] = each.second.next_.get(); });
        return json{{"next", next}};
    };
    host->start([&host = *host, log](exchange& current) { return serve(host, *log, current); });
    return running_standin{std::move(host)};
}

}  // namespace cornelstall::standins
