#include "cornelstall/standins/process/plain.hpp"

#include "process/host.hpp"

#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins
{

namespace
{

struct plain_state
{
    plain_settings settings_;
    std::map<std::string, std::uint64_t> read_by_key_;
    std::map<std::string, std::uint64_t> read_by_body_;
};

void count(plain_state& plain, const http_call& call)
{
    if (const auto key = call.headers_.find("idempotency-key"); key != call.headers_.end())
    {
        ++plain.read_by_key_[key->second];
    }
    ++plain.read_by_body_[call.body_];
}

awaitable<void> serve(detail::host& host, plain_state& plain, exchange& current)
{
    const http_call& call = current.call();
    if (host.faults_.drain_)
    {
        host.counters_.add("refused_draining");
        co_await current.refuse(http_status::unavailable, "draining", "the server is leaving; the call did not run",
                                "X-Draining: true\r\n");
        co_return;
    }
    if (plain.settings_.duration_ > milliseconds{0})
    {
        boost::asio::steady_timer work{host.context_, plain.settings_.duration_};
        co_await work.async_wait(boost::asio::use_awaitable);
    }
    host.counters_.add("ran");
    const json body = json::parse(call.body_, nullptr, false);
    const json answer{{"server", plain.settings_.id_.get()},
                      {"method", call.method_},
                      {"path", call.path_},
                      {"query", call.query_},
                      {"headers", call.headers_},
                      {"body", body.is_discarded() ? json(call.body_) : body}};
    co_await current.reply(http_status::ok, answer);
}

}  // namespace

running_standin start_plain(const plain_settings& settings, const socket_address& address)
{
    auto host = std::make_unique<detail::host>(address);
    auto plain = std::make_shared<plain_state>();
    plain->settings_ = settings;
    host->state_ = plain;
    host->details_ = [plain] {
        return json{{"keys", plain->read_by_key_}, {"bodies", plain->read_by_body_}};
    };
    host->on_read_ = [plain](const http_call& call) {
        count(*plain, call);
    };
    host->start([&host = *host, plain](exchange& current) { return serve(host, *plain, current); });
    return running_standin{std::move(host)};
}

}  // namespace cornelstall::standins
