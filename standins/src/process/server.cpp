#include "cornelstall/standins/process/server.hpp"

#include "process/host.hpp"

#include <algorithm>
#include <fstream>
#include <numeric>
#include <ranges>

#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins
{

namespace
{

using clock = std::chrono::steady_clock;

/// Requests that wait beside those that run; more are refused as the server is full.
constexpr int queue_slots = 4;
constexpr std::string_view order_path{"/order"};

struct reservation
{
    token_count tokens_{0};
    clock::time_point until_;
};

struct server_state
{
    server_settings settings_;
    std::ofstream journal_;
    int running_ = 0;
    std::map<std::string, reservation> reservations_;
};

std::string header(const http_call& call, const std::string& name)
{
    const auto found = call.headers_.find(name);
    return found == call.headers_.end() ? std::string() : found->second;
}

/// Adds a line to the journal at once, so that it outlives the process.
void note(server_state& server, const http_call& call, std::string_view what)
{
    // Orders are no requests of callers; one for a former server at this address is refused like a request.
    if (!server.journal_.is_open() || call.path_ == order_path)
    {
        return;
    }
    const auto now = std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch());
    const json line{{"at_ms", now.count()},
                    {"server", server.settings_.id_.get()},
                    {"request", header(call, "attempt-id")},
                    {"what", what},
                    {"path", call.path_},
                    {"after", header(call, "last-event-id")},
                    {"organisation", header(call, "tenant")},
                    {"has_key", call.headers_.contains("authorization")}};
    server.journal_ << line.dump() << '\n' << std::flush;
}

std::string answer_head(const server_state& server, const http_call& call)
{
    const auto id = header(call, "attempt-id");
    return "Attempt-Id: " + id + "\r\nResponse-Seal: " + server.settings_.id_.get() + "." + id +
           "\r\nServer-Load: " + std::to_string(server.running_) + ",0," + std::to_string(server.settings_.slots_) +
           "\r\n";
}

awaitable<void> refuse_unrun(server_state& server, exchange& current, http_status status, std::string_view why)
{
    note(server, current.call(), "refused");
    const std::string head = "Attempt-Id: " + header(current.call(), "attempt-id") + "\r\nNot-Executed: 1\r\n";
    co_await current.refuse(status, why, "the request did not run", head);
}

awaitable<void> pause(detail::host& host, milliseconds length)
{
    boost::asio::steady_timer work{host.context_, length};
    co_await work.async_wait(boost::asio::use_awaitable);
}

/// Waits as long as the server makes no progress.
awaitable<void> stand_still(detail::host& host)
{
    while (clock::now() < host.faults_.paused_until_)
    {
        boost::asio::steady_timer end{host.context_, host.faults_.paused_until_};
        co_await end.async_wait(boost::asio::use_awaitable);
    }
}

awaitable<void> run_plain(detail::host& host, server_state& server, exchange& current)
{
    co_await pause(host, server.settings_.duration_);
    co_await stand_still(host);
    note(server, current.call(), "done");
    const auto head = answer_head(server, current.call());
    co_await current.reply_bytes(http_status::ok, "text/plain", plain_answer_to(current.call().body_), head);
}

awaitable<void> run_stream(detail::host& host, server_state& server, exchange& current)
{
    const auto after = header(current.call(), "last-event-id");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    const bool disturbed = use_fault(host.faults_.disturbed_streams_);
    const auto cut_after = disturbed ? host.faults_.stream_.cut_after_ : std::nullopt;
    const auto silent_after = disturbed ? host.faults_.stream_.silent_after_ : std::nullopt;
    const auto head = answer_head(server, current.call());
    co_await pause(host, server.settings_.duration_);
    co_await stand_still(host);
    const std::function<void()> note_gone = [&server, call = current.call()] {
        note(server, call, "left");
    };
    co_await current.begin_stream("text/event-stream", note_gone, head);
    for (int number = first; number <= server.settings_.events_; ++number)
    {
        const auto event = event_of(current.call().body_, number);
        co_await stand_still(host);
        if (cut_after && static_cast<std::uint64_t>(number) > cut_after->get())
        {
            // Ends in the middle of an event.
            note(server, current.call(), "cut");
            co_await current.send(event.substr(0, event.size() / 2));
            current.cut();
            co_return;
        }
        if (silent_after && static_cast<std::uint64_t>(number) > silent_after->get())
        {
            co_await current.stay_silent();
            co_return;
        }
        co_await current.send(event);
        co_await pause(host, server.settings_.duration_);
    }
    note(server, current.call(), "done");
    co_await current.end_stream();
}

void drop_expired(server_state& server)
{
    std::erase_if(server.reservations_, [now = clock::now()](const auto& held) { return held.second.until_ <= now; });
}

std::int64_t reserved_tokens(const server_state& server)
{
    return std::accumulate(server.reservations_.begin(), server.reservations_.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& held) { return sum + held.second.tokens_.get(); });
}

awaitable<void> serve_order(server_state& server, exchange& current)
{
    const json order = json::parse(current.call().body_);
    const auto id = order.at("id").get<std::string>();
    drop_expired(server);
    if (order.at("operation") == "release")
    {
        server.reservations_.erase(id);
        co_await current.reply(http_status::ok, json::object());
        co_return;
    }
    const auto tokens = order.at("tokens").get<std::int64_t>();
    const auto known = server.reservations_.find(id);
    const auto others =
        reserved_tokens(server) - (known == server.reservations_.end() ? 0 : known->second.tokens_.get());
    if (others + tokens > server.settings_.memory_.get())
    {
        co_await current.refuse(http_status::conflict, "memory", "the memory is not free");
        co_return;
    }
    const milliseconds hold{order.at("hold_ms").get<std::int64_t>()};
    server.reservations_[id] = {token_count{tokens}, clock::now() + hold};
    const json answer{{"free", server.settings_.memory_.get() - others - tokens}};
    co_await current.reply(http_status::ok, answer);
}

awaitable<void> serve_report(server_state& server, exchange& current)
{
    drop_expired(server);
    json tickets = json::array();
    std::ranges::for_each(server.reservations_, [&tickets](const auto& held) {
        tickets.push_back({{"id", held.first}, {"tokens", held.second.tokens_.get()}, {"state", "held"}});
    });
    const json report{{"running_count", server.running_}, {"tickets", std::move(tickets)}};
    co_await current.reply(http_status::ok, report);
}

/// Counts a request that runs.
class running_request
{
  public:
    explicit running_request(server_state& server) : server_(server)
    {
        ++server_.running_;
    }
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;
    running_request(running_request&&) = delete;
    running_request& operator=(running_request&&) = delete;
    ~running_request()
    {
        --server_.running_;
    }

  private:
    server_state& server_;
};

awaitable<void> serve(detail::host& host, server_state& server, exchange& current)
{
    const auto& call = current.call();
    const auto expected = header(call, "expect-instance");
    if (!expected.empty() && expected != server.settings_.id_.get())
    {
        co_await refuse_unrun(server, current, http_status::misdirected, "other_server");
        co_return;
    }
    if (call.path_ == order_path)
    {
        co_await serve_order(server, current);
        co_return;
    }
    if (call.path_ == "/report")
    {
        co_await serve_report(server, current);
        co_return;
    }
    if (header(call, "attempt-id").empty())
    {
        co_await refuse_unrun(server, current, http_status::bad_request, "no_id");
        co_return;
    }
    if (host.faults_.full_ || server.running_ >= server.settings_.slots_ + queue_slots)
    {
        co_await refuse_unrun(server, current, http_status::unavailable, "full");
        co_return;
    }
    const running_request running(server);
    note(server, call, "run");
    if (call.headers_.contains("token-counts"))
    {
        co_await run_stream(host, server, current);
        co_return;
    }
    co_await run_plain(host, server, current);
}

}  // namespace

std::string plain_answer_to(std::string body)
{
    std::ranges::transform(body, body.begin(),
                           [](unsigned char character) { return static_cast<char>(std::toupper(character)); });
    return body;
}

std::string event_of(const std::string& body, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + body + " " + std::to_string(number) + "\n\n";
}

running_standin start_server(const server_settings& settings, const socket_address& address)
{
    auto host = std::make_unique<detail::host>(address);
    auto server = std::make_shared<server_state>();
    server->settings_ = settings;
    if (!settings.journal_.empty())
    {
        server->journal_.open(settings.journal_, std::ios::app);
    }
    host->state_ = server;
    host->start([&host = *host, server](exchange& current) { return serve(host, *server, current); });
    return running_standin{std::move(host)};
}

}  // namespace cornelstall::standins
