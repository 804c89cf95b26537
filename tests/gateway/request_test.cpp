#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

route make_route(request_kind kind, int attempts, bool resumable = false)
{
    route matched;
    matched.kind_ = kind;
    matched.max_attempts_ = attempts;
    matched.resumable_ = resumable;
    matched.timeout_ = milliseconds{5000};
    matched.latency_target_ = milliseconds{200};
    return matched;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto position = text.find(part); position != std::string::npos;
         position = text.find(part, position + part.size()))
    {
        ++found;
    }
    return found;
}

}  // namespace

TEST_CASE("a request that arrives before the first configuration waits for it")
{
    // Guards against refusals after a restart of all VMs: callers had to wait 1 s, the configuration came within 0.4 s.
    gateway_fixture gateway;
    gateway.add_server([](const auto&) { return plain_response("200 OK", "done"); });
    auto configure_later = [&gateway]() -> task<> {
        co_await sleep_for(milliseconds{100});
        route matched;
        matched.kind_ = request_kind::idempotent;
        gateway.activate_route(matched);
    };
    spawn(gateway.state_.executor_, "configure_later", configure_later());
    CHECK(contains(gateway.send_raw_request(request_text("GET")), " 200 "));
}

TEST_CASE("a process that started 10 s ago and has no configuration refuses requests at once")
{
    gateway_fixture gateway;
    gateway.state_.started_at_ -= std::chrono::seconds{10};
    const auto answer = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(answer, " 503 "));
    CHECK(contains(answer, "no_configuration"));
}

TEST_CASE("a plain answer with Content-Length is relayed completely")
{
    // Beast 1.74 treats an unset body limit as zero and rejects every answer with Content-Length.
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 1));
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "whole body"); });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "question"));
    CHECK(contains(answer, "HTTP/1.1 200 OK"));
    CHECK(contains(answer, "X-Seal: s"));
    CHECK(contains(answer, "whole body"));
    REQUIRE(server->received_requests_.size() == 1);
    CHECK(server->received_requests_.front().body() == "question");
    CHECK(server->received_requests_.front()["X-Server"] == "server-0");
}

TEST_CASE("a non-idempotent request whose answer is lost is not sent again and gets 502, since it may have run")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 2));
    const auto drop_connection = [](const auto&) {
        return scripted_response{};
    };
    const auto first = gateway.add_server(drop_connection);
    const auto second = gateway.add_server(drop_connection);
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(contains(answer, "HTTP/1.1 502"));
    CHECK(first->received_requests_.size() + second->received_requests_.size() == 1);
}

TEST_CASE("a request that a server refuses without running it is sent to another server")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 1));
    const auto full = [](const auto&) {
        return plain_response("503 Service Unavailable", "", "X-Not-Run: 1\r\n");
    };
    gateway.add_server(full);
    gateway.add_server(full);
    const auto refused = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(contains(refused, "HTTP/1.1 503"));
    CHECK(contains(refused, "Retry-After: 0."));
    gateway.add_server([](const auto&) { return plain_response("200 OK", "booked"); });
    CHECK(contains(gateway.send_raw_request(request_text("POST", {}, "book")), "booked"));
}

TEST_CASE("a success that is not authentic, answers another request or is truncated gets 502")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n";
    const auto bytes =
        GENERATE_COPY(head + "X-Id: q1\r\n\r\nunmarked!", head + "X-Id: q2\r\nX-Seal: s\r\n\r\nnot yours",
                      head + "X-Id: q1\r\nX-Seal: s\r\n\r\ncut", std::string("no protocol at all\r\n\r\n"));
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 1));
    gateway.add_server([&bytes](const auto&) { return scripted_response{bytes, false}; });
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "book"));
    CHECK(contains(answer, "HTTP/1.1 502"));
    CHECK_FALSE(contains(answer, "200 OK"));
}

TEST_CASE("bytes after the end of an answer are not sent to the caller")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::idempotent, 1));
    gateway.add_server([](const auto&) {
        auto answer = plain_response("200 OK", "mine");
        answer.bytes_ += plain_response("200 OK", "extra").bytes_;
        return answer;
    });
    const auto answer = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(answer, "mine"));
    CHECK_FALSE(contains(answer, "extra"));
}

TEST_CASE("an idempotent request is sent to another server after an error, and the error is relayed when both fail")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::idempotent, 2));
    int arrivals = 0;
    const auto fail_once = [&arrivals](const auto&) {
        return ++arrivals == 1 ? plain_response("500 Internal Server Error", "broken")
                               : plain_response("200 OK", "good");
    };
    gateway.add_server(fail_once);
    gateway.add_server(fail_once);
    CHECK(contains(gateway.send_raw_request(request_text("GET")), "good"));
    CHECK(arrivals == 2);
    arrivals = -10;
    const auto fail_always = [&arrivals](const auto&) {
        ++arrivals;
        return plain_response("500 Internal Server Error", "broken");
    };
    gateway.servers_[0]->script_ = fail_always;
    gateway.servers_[1]->script_ = fail_always;
    const auto failed = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(failed, "HTTP/1.1 500"));
    CHECK(contains(failed, "X-Seal: s"));
    CHECK(arrivals == -8);
}

TEST_CASE("a request whose time limit passes gets 504, and its backend connection is closed")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 1));
    const auto server = gateway.add_server([](const auto&) { return scripted_response{"", true}; });
    const auto answer = gateway.send_raw_request(request_text("POST", "X-Left: 150\r\n", "book"));
    CHECK(contains(answer, "HTTP/1.1 504"));
    CHECK(gateway.run_until([&server] { return server->closed_by_gateway_ == 1; }));
    CHECK(std::stoi(std::string(server->received_requests_.front()["X-Left"])) <= 150);
}

TEST_CASE("the backend connection is closed when the caller disconnects before its answer")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 1));
    const auto server = gateway.add_server([](const auto&) { return scripted_response{"", true}; });
    boost::asio::ip::tcp::socket caller(gateway.io_);
    caller.connect(gateway.acceptor_.local_endpoint());
    boost::asio::write(caller, boost::asio::buffer(request_text("POST", {}, "book")));
    REQUIRE(gateway.run_until([&server] { return server->received_requests_.size() == 1; }));
    caller.close();
    CHECK(gateway.run_until([&server] { return server->closed_by_gateway_ == 1; }));
    CHECK(gateway.run_until([&gateway] { return gateway.state_.open_requests_ == 0; }));
    CHECK(gateway.state_.local_work_.empty());
}

TEST_CASE("a stream cut in the middle of an event continues on another server without lost or repeated events")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::streaming, 2, true));
    int arrivals = 0;
    const auto script = [&arrivals](const fake_server::request& message) {
        if (++arrivals == 1)
        {
            return scripted_response{stream_events(1, 3) + "8\r\nid: 4\nda\r\n", false};
        }
        REQUIRE(message["X-After"] == "3");
        return scripted_response{stream_events(4, 6) + last_chunk, false};
    };
    gateway.add_server(script);
    gateway.add_server(script);
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "prompt"));
    CHECK(arrivals == 2);
    CHECK(count_of(answer, "X-Seal: s") == 1);
    for (int id = 1; id <= 6; ++id)
    {
        CHECK(count_of(answer, "data: e" + std::to_string(id) + "\n") == 1);
    }
    CHECK(answer.ends_with(last_chunk));
}

TEST_CASE("a cut stream that cannot be resumed ends without the last chunk and is not sent again")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::streaming, 2, false));
    const auto cut = [](const auto&) {
        return scripted_response{stream_events(1, 2), false};
    };
    const auto first = gateway.add_server(cut);
    const auto second = gateway.add_server(cut);
    const auto answer = gateway.send_raw_request(request_text("POST", {}, "prompt"));
    CHECK(contains(answer, "data: e2"));
    CHECK_FALSE(answer.ends_with(last_chunk));
    CHECK(first->received_requests_.size() + second->received_requests_.size() == 1);
}

TEST_CASE("a send to a silent server may be abandoned only while another send is possible")
{
    // Guards against closing a silent stream whose attempts are used up, as happened on a VM that received SIGTERM.
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::streaming, 2, true));
    exchange current(gateway.state_, nullptr, {}, nullptr);
    current.route_ = find_route(*gateway.state_.table_, "h", "/r/x");
    current.service_ = &gateway.state_.table_->services_.at(service_id{"s"});
    REQUIRE(current.route_ != nullptr);
    // There is no other server yet.
    CHECK_FALSE(can_switch_server(current));
    gateway.add_server([](const auto&) { return plain_response("200 OK", ""); });
    CHECK(can_switch_server(current));
    current.tried_ = {server_id{"server-0"}};
    CHECK_FALSE(can_switch_server(current));
    current.tried_.clear();
    current.possible_runs_ = 1;
    CHECK_FALSE(can_switch_server(current));
    current.possible_runs_ = 0;
    gateway.state_.retry_budget_.bound_.extra_ = 0;
    CHECK_FALSE(can_switch_server(current));
}

TEST_CASE("a send to a silent server is not abandoned when the retry budget is used up during the wait")
{
    // Guards against checking the budget only at the start of the wait: streams were closed and could not be continued.
    gateway_fixture gateway;
    auto matched = make_route(request_kind::idempotent, 2);
    matched.latency_target_ = milliseconds{50};
    gateway.activate_route(matched);
    gateway.state_.retry_budget_.bound_.extra_ = 15;
    gateway.state_.retry_budget_.vms_ = 12;
    for (int index = 0; index < 2; ++index)
    {
        gateway.add_server([](const auto&) { return scripted_response{"", true}; });
    }
    std::string answer;
    boost::asio::ip::tcp::socket caller(gateway.io_);
    caller.connect(gateway.acceptor_.local_endpoint());
    boost::asio::write(caller, boost::asio::buffer(request_text("GET", "X-Left: 900\r\n")));
    const auto arrivals = [&gateway] {
        return gateway.servers_[0]->received_requests_.size() + gateway.servers_[1]->received_requests_.size();
    };
    REQUIRE(gateway.run_until([&arrivals] { return arrivals() == 1; }));
    const auto now = std::chrono::steady_clock::now();
    while (take_retry(gateway.state_.retry_budget_, service_id{"s"}, now))
    {}
    const auto closed = [&gateway] {
        return gateway.servers_[0]->closed_by_gateway_ + gateway.servers_[1]->closed_by_gateway_;
    };
    CHECK(gateway.run_until([&] { return closed() == 1; }));
    CHECK(std::chrono::steady_clock::now() - now > milliseconds{600});
    CHECK(arrivals() == 1);
}

TEST_CASE("a stream that has begun is continued even when its cost to other requests exceeds its value")
{
    // Guards against applying the admission check to a resumed stream, which closed such streams midway.
    gateway_fixture gateway;
    auto matched = make_route(request_kind::streaming, 2, true);
    matched.latency_target_ = milliseconds{1000};
    engine_profile engine;
    engine.slots_ = 16;
    engine.kv_capacity_ = token_count{400000};
    engine.prefill_tokens_per_ms_ = 10;
    engine.decode_steps_per_pass_ = 34;
    engine.mean_output_tokens_ = token_count{100};
    gateway.activate_route(matched, engine);
    gateway.add_server([](const auto& message) {
        return message["X-After"].empty() ? scripted_response{stream_events(1, 2), false}
                                          : scripted_response{stream_events(3, 3) + last_chunk, false};
    });
    const auto send_long_prompt = [&gateway] {
        return gateway.send_raw_request(request_text("POST", "X-Prompt: 90000\r\n", "prompt"));
    };
    gateway.add_server([](const auto& message) {
        return message["X-After"].empty() ? scripted_response{stream_events(1, 2), false}
                                          : scripted_response{stream_events(3, 3) + last_chunk, false};
    });
    // Prefilling the prompt takes 9 s and would stall these streams.
    auto& state = gateway.state_;
    const auto load_server = [&state](const std::string& name) {
        const auto now = std::chrono::steady_clock::now();
        for (std::uint64_t key = 1; key <= 12; ++key)
        {
            engine_work stream;
            stream.key_ = execution_id{key};
            stream.prompt_ = token_count{5000};
            stream.answer_left_ = token_count{100000};
            stream.target_ = milliseconds{250};
            stream.max_gap_ = milliseconds{250};
            stream.value_ = 5.0;
            add_work(state.fleet_load_.engines_[server_id{name}], stream, now);
            record_first_token(state.fleet_load_.engines_[server_id{name}], stream.key_, now);
        }
    };
    load_server("server-1");
    const auto answer = send_long_prompt();
    CHECK(count_of(answer, "data: e") == 3);
    CHECK(answer.ends_with(last_chunk));
    // A new request is refused when both servers are loaded like this.
    load_server("server-0");
    CHECK(contains(send_long_prompt(), "503"));
}

TEST_CASE("the gateway refuses requests without a configuration, a route, a valid key or recently confirmed keys")
{
    gateway_fixture gateway;
    const auto early = gateway.send_raw_request(request_text("GET"));
    CHECK(contains(early, "HTTP/1.1 503"));
    gateway.activate_route(make_route(request_kind::idempotent, 1));
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "open"); });
    CHECK(contains(gateway.send_raw_request("GET /other/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
                   "HTTP/1.1 404"));
    auto table = std::make_shared<routing_table>(*gateway.state_.table_);
    table->version_ = table->version_.next();
    table->keys_required_ = true;
    table->keys_["k1"] = organisation_entry{organisation_id{"o"}, std::nullopt};
    activate_table(gateway.state_, table);
    CHECK(contains(gateway.send_raw_request(request_text("GET", "X-Key: k2\r\n")), "HTTP/1.1 401"));
    CHECK(contains(gateway.send_raw_request(request_text("GET", "X-Key: k1\r\n")), "open"));
    gateway.state_.settings_.max_configuration_age_ = milliseconds{1000};
    gateway.state_.table_confirmed_at_ = boot_time() - std::chrono::seconds{2};
    CHECK(contains(gateway.send_raw_request(request_text("GET", "X-Key: k1\r\n")), "HTTP/1.1 503"));
    CHECK(server->received_requests_.size() == 1);
}

TEST_CASE("ambiguous or malformed requests get 400 and reach no server")
{
    // Guards against request smuggling through ambiguous body lengths.
    const auto text = GENERATE(
        as<std::string>{}, "POST /r/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /r/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /r/x HTTP/1.1\nHost: h\n\n", "nonsense\r\n\r\n");
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::idempotent, 1));
    const auto server = gateway.add_server([](const auto&) { return plain_response("200 OK", "open"); });
    const auto answer = gateway.send_raw_request(text);
    CHECK(contains(answer, "HTTP/1.1 400"));
    CHECK(server->received_requests_.empty());
}

TEST_CASE("an older version of the routing table does not replace the active one")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::idempotent, 1));
    gateway.activate_route(make_route(request_kind::idempotent, 1));
    auto old = std::make_shared<routing_table>();
    old->version_ = configuration_version{1};
    CHECK_FALSE(activate_table(gateway.state_, old));
    CHECK(gateway.state_.table_->version_ == configuration_version{2});
}

TEST_CASE("a send that cannot connect is not charged to the retry budget")
{
    gateway_fixture gateway;
    gateway.activate_route(make_route(request_kind::non_idempotent, 1));
    gateway.state_.retry_budget_.bound_.extra_ = 0;
    gateway.state_.retry_budget_.bound_.ratio_ = 0;
    const auto gone = gateway.add_server([](const auto&) { return plain_response("200 OK", "gone"); });
    gone->acceptor_.close();
    const auto good = gateway.add_server([](const auto&) { return plain_response("200 OK", "good"); });
    for (int call = 0; call < 4; ++call)
    {
        record_success(gateway.state_.directory_.servers_.at(server_id{"server-0"}));
        CHECK(contains(gateway.send_raw_request(request_text("POST", {}, "book")), "good"));
    }
    CHECK(good->received_requests_.size() == 4);
}
