#include "cornelstall/standins/process/store.hpp"

#include "process/host.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <ranges>
#include <set>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace cornelstall::standins
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr std::size_t page_items = 500;
constexpr std::string_view keyed_prefix{"keyed."};

struct keyed_value
{
    std::string value_;
    std::uint64_t offset_ = 0;
};

struct topic
{
    bool keyed_ = false;
    std::uint64_t first_ = 0;          ///< offset of the oldest record that is kept
    std::deque<std::string> records_;  ///< contents without their lengths
    std::map<std::string, keyed_value> newest_;
    std::set<boost::asio::steady_timer*> readers_;  ///< readers that wait for the next append

    [[nodiscard]] std::uint64_t end() const
    {
        return first_ + records_.size();
    }
};

struct store_state
{
    store_settings settings_;
    std::map<std::string, topic> topics_;
};

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t index = 0; index < bytes; ++index)
    {
        text[bytes - 1 - index] = static_cast<char>((value >> (8U * index)) & 0xFFU);
    }
    return text;
}

std::uint64_t number_in(std::string_view bytes)
{
    std::uint64_t value = 0;
    std::ranges::for_each(bytes, [&value](char byte) { value = (value << 8U) | static_cast<unsigned char>(byte); });
    return value;
}

/// The records of the body of an append.
/// @throws std::invalid_argument when the lengths do not fit the body
std::vector<std::string> split(std::string_view body)
{
    std::vector<std::string> records;
    while (!body.empty())
    {
        const auto length = body.size() < length_bytes ? body.size() : number_in(body.substr(0, length_bytes));
        if (body.size() < length_bytes + length)
        {
            throw std::invalid_argument("a record's length goes beyond the body");
        }
        records.emplace_back(body.substr(length_bytes, length));
        body.remove_prefix(length_bytes + length);
    }
    return records;
}

void append(topic& into, const std::string& record, const store_settings& settings)
{
    const auto offset = into.end();
    into.records_.push_back(record);
    if (into.records_.size() > settings.kept_records_)
    {
        into.records_.pop_front();
        ++into.first_;
    }
    if (!into.keyed_ || record.empty())
    {
        return;
    }
    const std::size_t key_length = static_cast<unsigned char>(record.front());
    const auto key = record.substr(1, key_length);
    const auto value = record.substr(std::min(record.size(), 1 + key_length));
    if (value.empty())
    {
        into.newest_.erase(key);
        return;
    }
    into.newest_[key] = {value, offset};
}

std::string to_base64(const std::string& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

awaitable<void> serve_append(store_state& store, topic& into, exchange& current)
{
    const auto& call = current.call();
    if (call.query_.contains("at") && query_number(call, "at", 0) != into.end())
    {
        const json conflict{{"end", into.end()}};
        co_await current.reply(http_status::precondition_failed, conflict);
        co_return;
    }
    const auto records = split(call.body_);
    const auto first = into.end();
    std::ranges::for_each(records, [&](const std::string& record) { append(into, record, store.settings_); });
    std::ranges::for_each(into.readers_, [](boost::asio::steady_timer* reader) { reader->cancel(); });
    const json answer{{"offset", first}, {"end", into.end()}};
    co_await current.reply(http_status::ok, answer);
}

awaitable<void> serve_read(detail::host& host, topic& from, exchange& current)
{
    const auto wanted = query_number(current.call(), "from", 0);
    const auto deadline = clock::now() + milliseconds{query_number(current.call(), "wait_ms", 0)};
    while (from.end() <= wanted && clock::now() < deadline)
    {
        boost::asio::steady_timer timer{host.context_, deadline};
        boost::system::error_code woken;
        from.readers_.insert(&timer);
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
        from.readers_.erase(&timer);
    }
    if (wanted < from.first_)
    {
        const json oldest{{"first", from.first_}};
        co_await current.reply(http_status::gone, oldest);
        co_return;
    }
    std::string body = big_endian(from.end(), offset_bytes) + big_endian(wanted, offset_bytes);
    const auto skipped = static_cast<std::ptrdiff_t>(std::min(wanted, from.end()) - from.first_);
    std::ranges::for_each(from.records_ | std::views::drop(skipped), [&body](const std::string& record) {
        body += big_endian(record.size(), length_bytes) + record;
    });
    co_await current.reply_bytes(http_status::ok, "application/octet-stream", std::move(body));
}

awaitable<void> serve_newest(topic& from, exchange& current)
{
    const auto after = current.call().query_.find("after");
    const auto start =
        after == current.call().query_.end() ? from.newest_.begin() : from.newest_.upper_bound(after->second);
    const auto rest = std::ranges::subrange(start, from.newest_.end());
    json items = json::array();
    std::ranges::for_each(rest | std::views::take(page_items), [&items](const auto& entry) {
        items.push_back(
            {{"key", entry.first}, {"value", to_base64(entry.second.value_)}, {"offset", entry.second.offset_}});
    });
    const bool more = std::ranges::distance(rest) > static_cast<std::ptrdiff_t>(page_items);
    const json answer{{"items", std::move(items)}, {"has_more", more}, {"end", from.end()}};
    co_await current.reply(http_status::ok, answer);
}

awaitable<void> serve(detail::host& host, store_state& store, exchange& current)
{
    const auto& call = current.call();
    const auto name = call.query_.find("topic");
    if (name == call.query_.end() || query_number(call, "part", 0) != 0)
    {
        co_await current.refuse(http_status::bad_request, "unknown_topic", "name a topic and partition 0");
        co_return;
    }
    auto& chosen = store.topics_[name->second];
    chosen.keyed_ = name->second.starts_with(keyed_prefix);
    host.counters_.add(call.method_ + " " + call.path_);
    if (call.method_ == "POST" && call.path_ == "/log-append")
    {
        co_await serve_append(store, chosen, current);
        co_return;
    }
    if (call.method_ == "GET" && call.path_ == "/log-read")
    {
        co_await serve_read(host, chosen, current);
        co_return;
    }
    if (call.method_ == "GET" && call.path_ == "/log-newest")
    {
        co_await serve_newest(chosen, current);
        co_return;
    }
    co_await current.refuse(http_status::not_found, "unknown_path", "use /log-append, /log-read or /log-newest");
}

}  // namespace

running_standin start_store(const store_settings& settings, const socket_address& address)
{
    auto host = std::make_unique<detail::host>(address);
    auto store = std::make_shared<store_state>();
    store->settings_ = settings;
    host->state_ = store;
    host->start([&host = *host, store](exchange& current) { return serve(host, *store, current); });
    return running_standin{std::move(host)};
}

}  // namespace cornelstall::standins
