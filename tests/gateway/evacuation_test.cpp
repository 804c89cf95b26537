#include <catch2/catch.hpp>

#include "cornelstall/wire.hpp"
#include "gateway/placed_requests.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const data_centre_id here{"dc-a"};
const data_centre_id elsewhere{"dc-b"};

route route_of(request_kind kind)
{
    route matched;
    matched.kind_ = kind;
    matched.max_attempts_ = 2;
    matched.timeout_ = milliseconds{4000};
    matched.latency_target_ = milliseconds{2000};
    return matched;
}

std::shared_ptr<fake_server> add_server_in(gateway_fixture& gateway, const data_centre_id& data_centre,
                                           std::function<scripted_response(const fake_server::request&)> script)
{
    auto server = gateway.add_server(std::move(script));
    auto& directory = gateway.state_.directory_;
    directory.servers_.at(server_id{"server-" + std::to_string(gateway.servers_.size() - 1)}).listed_.data_centre_ =
        data_centre;
    return server;
}

void evacuate(gateway_fixture& gateway, const data_centre_id& data_centre, std::uint64_t offset, bool evacuated = true)
{
    apply_evacuation_record(gateway.state_, {data_centre, at_offset(offset), evacuated});
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Checks that @a answer refuses the request because of an evacuation, with a time to come back.
void check_refused(const std::string& answer)
{
    CHECK(contains(answer, " 503 "));
    CHECK(contains(answer, "data_centre_evacuated"));
    const auto field = answer.find("Retry-After: ");
    REQUIRE(field != std::string::npos);
    CHECK(std::stod(answer.substr(field + 13)) >= 5.0);
}

/// Fills the slots of all engines with requests of another VM that generate long answers.
void fill_engines(gateway_fixture& gateway)
{
    const auto now = std::chrono::steady_clock::now();
    std::uint64_t key = 1000;
    for (const auto& [id, server] : gateway.state_.directory_.servers_)
    {
        for (int slot = 0; slot < small_engine().slots_; ++slot)
        {
            engine_work work;
            work.key_ = execution_id{++key};
            work.prompt_ = token_count{1000};
            work.answer_left_ = token_count{900};
            work.generating_ = true;
            work.target_ = milliseconds{1000};
            work.max_gap_ = milliseconds{1000};
            work.arrived_ = now;
            work.sent_at_ = now;
            work.value_ = request_value(work.prompt_, work.answer_left_);
            add_work(gateway.state_.fleet_load_.engines_[id], work, now);
        }
    }
}

/// Starts a request and returns where its answer is received.
std::shared_ptr<std::string> start_request(gateway_fixture& gateway, const std::string& text,
                                           std::shared_ptr<bool> finished)
{
    auto received = std::make_shared<std::string>();
    const auto send = [](gateway_fixture& where, std::string request, std::shared_ptr<std::string> answer,
                         std::shared_ptr<bool> done) -> task<> {
        boost::asio::ip::tcp::socket socket(where.state_.executor_);
        boost::system::error_code failed;
        co_await socket.async_connect(where.acceptor_.local_endpoint(),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        co_await boost::asio::async_write(socket, boost::asio::buffer(request),
                                          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        std::vector<char> bytes(4096);
        while (!failed)
        {
            const auto size = co_await socket.async_read_some(
                boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            answer->append(bytes.data(), size);
        }
        *done = true;
    };
    spawn(gateway.state_.executor_, "start_request", send(gateway, text, received, std::move(finished)));
    return received;
}

bool any_waits(const gateway_fixture& gateway)
{
    const auto queue = gateway.state_.wait_queues_.queues_.find(service_id{"s"});
    return queue != gateway.state_.wait_queues_.queues_.end() && !queue->second.waiting_.empty();
}

}  // namespace

TEST_CASE("requests move away from an evacuated data centre, and return when it is not evacuated any more")
{
    gateway_fixture gateway;
    gateway.activate_route(route_of(GENERATE(request_kind::idempotent, request_kind::non_idempotent)));
    const auto evacuated = add_server_in(gateway, here, [](const auto&) { return plain_response("200 OK", "a"); });
    const auto other = add_server_in(gateway, elsewhere, [](const auto&) { return plain_response("200 OK", "b"); });
    evacuate(gateway, here, 1);
    for (int request = 0; request < 4; ++request)
    {
        CHECK(contains(gateway.send_raw_request(request_text("GET")), "200 OK"));
    }
    CHECK(evacuated->received_requests_.empty());
    evacuate(gateway, elsewhere, 2);
    evacuate(gateway, here, 3, false);
    CHECK(contains(gateway.send_raw_request(request_text("GET")), "200 OK"));
    CHECK(evacuated->received_requests_.size() == 1);
    CHECK(other->received_requests_.size() == 4);
}

TEST_CASE("a request whose only servers are in evacuated data centres is refused at once")
{
    gateway_fixture gateway;
    gateway.activate_route(
        route_of(GENERATE(request_kind::idempotent, request_kind::non_idempotent, request_kind::streaming)));
    const auto first = add_server_in(gateway, here, [](const auto&) { return plain_response("200 OK", "a"); });
    const auto second = add_server_in(gateway, elsewhere, [](const auto&) { return plain_response("200 OK", "b"); });
    evacuate(gateway, here, 1);
    evacuate(gateway, elsewhere, 2);
    const auto started_at = std::chrono::steady_clock::now();
    check_refused(gateway.send_raw_request(request_text("GET")));
    CHECK(std::chrono::steady_clock::now() - started_at < milliseconds{1000});
    CHECK(first->received_requests_.empty());
    CHECK(second->received_requests_.empty());
    CHECK(gateway.state_.metrics_.counter("gateway_refusals_total", {{"reason", "data_centre_evacuated"}}) == 1);
}

// Guards against the untrue reason that the prompt is too large for the service: it fits again later.
TEST_CASE("a prompt that only the engines of an evacuated data centre could hold is refused because of the evacuation")
{
    gateway_fixture gateway;
    gateway.activate_route(route_of(request_kind::non_idempotent), small_engine());
    for (const auto& data_centre : {here, here, elsewhere})
    {
        add_server_in(gateway, data_centre, [](const auto&) { return plain_response("200 OK", "a"); });
    }
    evacuate(gateway, here, 1);
    check_refused(gateway.send_raw_request(request_text("POST", "X-Prompt: 150000\r\n", "prompt")));
    CHECK(contains(gateway.send_raw_request(request_text("POST", "X-Prompt: 1000000000\r\n", "prompt")),
                   "prompt_too_large"));
    CHECK(contains(gateway.send_raw_request(request_text("POST", "X-Prompt: 1000\r\n", "prompt")), "200 OK"));
}

TEST_CASE("a stream that has begun goes on when its data centre is evacuated")
{
    gateway_fixture gateway;
    gateway.activate_route(route_of(request_kind::streaming));
    const auto server = add_server_in(gateway, here, [](const auto&) {
        scripted_response response{stream_events(1, 2)};
        response.silence_ = milliseconds{200};
        response.later_ = stream_events(3, 4, false) + last_chunk;
        return response;
    });
    auto finished = std::make_shared<bool>(false);
    const auto received = start_request(gateway, request_text("POST"), finished);
    REQUIRE(gateway.run_until([&] { return contains(*received, "data: e2"); }));
    evacuate(gateway, here, 1);
    REQUIRE(gateway.run_until([&] { return *finished; }));
    CHECK(contains(*received, "data: e4"));
    CHECK(contains(*received, last_chunk));
    CHECK(server->received_requests_.size() == 1);
}

// Guards against a stream that is resumed in the data centre that it has to leave.
TEST_CASE("a stream that breaks after the evacuation is resumed in another data centre")
{
    gateway_fixture gateway;
    auto matched = route_of(request_kind::streaming);
    matched.resumable_ = true;
    gateway.activate_route(matched);
    const auto resume = [](const auto&) {
        return scripted_response{stream_events(3, 4) + last_chunk};
    };
    const auto broken = add_server_in(gateway, here, [](const auto&) {
        scripted_response response{stream_events(1, 2)};
        response.silence_ = milliseconds{200};
        response.later_ = "x";
        return response;
    });
    auto finished = std::make_shared<bool>(false);
    const auto received = start_request(gateway, request_text("POST"), finished);
    REQUIRE(gateway.run_until([&] { return contains(*received, "data: e2"); }));
    const auto same = add_server_in(gateway, here, resume);
    const auto other = add_server_in(gateway, elsewhere, resume);
    evacuate(gateway, here, 1);
    REQUIRE(gateway.run_until([&] { return *finished; }));
    CHECK(contains(*received, "data: e4"));
    CHECK(broken->received_requests_.size() == 1);
    CHECK(same->received_requests_.empty());
    CHECK(other->received_requests_.size() == 1);
}

// Guards against waiting requests that notice an evacuation only at their next check or deadline.
TEST_CASE("a waiting request is planned anew when the data centre of its servers is evacuated")
{
    gateway_fixture gateway;
    auto matched = route_of(request_kind::non_idempotent);
    matched.latency_target_ = milliseconds{60000};
    matched.timeout_ = milliseconds{60000};
    gateway.activate_route(matched);
    const auto server =
        add_server_in(gateway, here, [](const auto&) { return plain_response("200 OK", "a", "X-Limit: 2\r\n"); });
    REQUIRE(contains(gateway.send_raw_request(request_text("POST")), "200 OK"));
    // The limit of the server lets the next request through after 10 s.
    auto& limit = gateway.state_.directory_.limits_.limits_.at(server_id{"server-0"});
    while (take_allowance(limit, std::chrono::steady_clock::now()))
    {}
    set_share(limit, {request_rate{0.1}, 1.0}, std::chrono::steady_clock::now());
    auto finished = std::make_shared<bool>(false);
    const auto received = start_request(gateway, request_text("POST"), finished);
    REQUIRE(gateway.run_until([&gateway] { return any_waits(gateway); }));
    REQUIRE_FALSE(*finished);
    const bool has_other_server = GENERATE(false, true);
    if (has_other_server)
    {
        add_server_in(gateway, elsewhere, [](const auto&) { return plain_response("200 OK", "b"); });
    }
    evacuate(gateway, here, 1);
    CHECK(gateway.state_.wait_queues_.wake_pending_);
    const auto evacuated_at = std::chrono::steady_clock::now();
    REQUIRE(gateway.run_until([&] { return *finished; }));
    CHECK(std::chrono::steady_clock::now() - evacuated_at < milliseconds{2000});
    CHECK(server->received_requests_.size() == 1);
    if (has_other_server)
    {
        CHECK(contains(*received, "200 OK"));
    }
    else
    {
        check_refused(*received);
    }
}

TEST_CASE("a joint prefill that holds engines of an evacuated data centre lets them go")
{
    gateway_fixture gateway;
    auto matched = route_of(request_kind::non_idempotent);
    matched.latency_target_ = milliseconds{8000};
    matched.timeout_ = milliseconds{20000};
    gateway.activate_route(matched, small_engine());
    for (int index = 0; index < 4; ++index)
    {
        add_server_in(gateway, here, [](const auto&) { return plain_response("200 OK", "a"); });
    }
    fill_engines(gateway);
    auto finished = std::make_shared<bool>(false);
    const auto received = start_request(gateway, request_text("POST", "X-Prompt: 150000\r\n", "prompt"), finished);
    const auto holds = [&gateway] {
        return std::ranges::any_of(gateway.state_.local_work_,
                                   [](const reported_work& entry) { return entry.work_.holds_engine_; });
    };
    REQUIRE(gateway.run_until([&] { return holds() || *finished; }));
    REQUIRE_FALSE(*finished);
    evacuate(gateway, here, 1);
    REQUIRE(gateway.run_until([&] { return *finished; }));
    check_refused(*received);
    CHECK_FALSE(holds());
    for (const auto& server : gateway.servers_)
    {
        CHECK(server->received_requests_.empty());
    }
}

// The evacuation arrives while the helpers reserve memory, after the prompt was planned.
TEST_CASE("a joint prefill whose data centre is evacuated while its memory is reserved is not sent")
{
    gateway_fixture gateway;
    gateway.activate_route(route_of(request_kind::non_idempotent), small_engine());
    for (int index = 0; index < 3; ++index)
    {
        add_server_in(gateway, here, [&gateway](const auto& message) {
            if (message["X-Order"] == "reserve")
            {
                evacuate(gateway, here, 1);
            }
            return plain_response("200 OK", "a");
        });
    }
    check_refused(gateway.send_raw_request(request_text("POST", "X-Prompt: 150000\r\n", "prompt")));
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    int orders = 0;
    for (const auto& server : gateway.servers_)
    {
        for (const auto& message : server->received_requests_)
        {
            CHECK(message.target() == "/memory");
            orders += message["X-Order"] == "reserve" ? 1 : 0;
        }
    }
    CHECK(orders == 1);
}

// Guards against an order to prefill that reaches a helper in an evacuated data centre by way of the answering engine.
TEST_CASE("a joint prefill is not sent when the data centre of a helper is evacuated after its memory was reserved")
{
    gateway_fixture gateway;
    gateway.activate_route(route_of(request_kind::non_idempotent), small_engine());
    std::optional<std::size_t> evacuated;
    for (std::size_t index = 0; index < 4; ++index)
    {
        const data_centre_id own{"dc-" + std::to_string(index)};
        add_server_in(gateway, own, [&gateway, &evacuated, own, index](const auto& message) {
            if (message["X-Order"] == "reserve" && !evacuated)
            {
                evacuated = index;
                evacuate(gateway, own, 1);
            }
            return plain_response("200 OK", "answer");
        });
    }
    const auto answer = gateway.send_raw_request(request_text("POST", "X-Prompt: 150000\r\n", "prompt"));
    CHECK(contains(answer, "200 OK"));
    REQUIRE(gateway.run_until([&gateway] { return gateway.state_.open_leases_ == 0; }));
    REQUIRE(evacuated);
    CHECK(gateway.state_.metrics_.counter("gateway_sends_refused_total", {{"reason", "helper_left_or_paused"}}) == 1);
    int requests = 0;
    for (std::size_t index = 0; index < gateway.servers_.size(); ++index)
    {
        for (const auto& message : gateway.servers_[index]->received_requests_)
        {
            CHECK((index != *evacuated || message.target() == "/memory"));
            requests += message.target() == "/r/x" ? 1 : 0;
        }
    }
    CHECK(requests == 1);
}

TEST_CASE("requests that were placed before an evacuation are not sent to the data centre any more")
{
    // The requests have chosen the server and are connecting when the evacuation becomes known.
    gateway_fixture gateway;
    gateway.activate_route(route_of(request_kind::idempotent));
    const auto server = add_server_in(gateway, here, [](const auto&) { return plain_response("200 OK", "a"); });
    const auto entry = gateway.state_.directory_.servers_.at(server_id{"server-0"}).listed_;
    auto ends = std::make_shared<std::vector<send_result>>();
    const auto evacuate_now = [](gateway_fixture& where) -> task<> {
        evacuate(where, here, 1);
        co_return;
    };
    for (int request = 0; request < 5; ++request)
    {
        spawn(gateway.state_.executor_, "send_directly", send_directly(gateway, entry, ends));
    }
    spawn(gateway.state_.executor_, "evacuate", evacuate_now(gateway));
    REQUIRE(gateway.run_until([ends] { return ends->size() == 5; }));
    CHECK(std::ranges::count(*ends, send_result::did_not_run) == 5);
    CHECK(server->received_requests_.empty());
}

TEST_CASE("a VM without the evacuation requests is not ready")
{
    gateway_fixture gateway;
    gateway.activate_route(route_of(request_kind::idempotent));
    CHECK(is_ready(gateway.state_));
    gateway.state_.directory_.evacuations_.known_ = false;
    CHECK_FALSE(is_ready(gateway.state_));
}

TEST_CASE("reports carry evacuations to other VMs, and only a report with them confirms that they are in force")
{
    gateway_fixture sender;
    gateway_fixture receiver;
    sender.activate_route(route_of(request_kind::idempotent));
    receiver.activate_route(route_of(request_kind::idempotent));
    evacuate(sender, here, 4);
    confirm_evacuations(sender.state_.directory_.evacuations_, at_offset(5));
    confirm_table_read(sender.state_, boot_time());
    load_report report;
    report.vm_ = vm_id{"vm-1"};
    report.log_update_ = make_log_update(sender.state_);
    const auto now = std::chrono::steady_clock::now();
    const auto bytes = encode_load_report(report, byte_count{1400}, now);
    const auto received = decode_load_report(bytes, now);
    REQUIRE(received);
    auto without = received->log_update_;
    without.evacuations_.reset();
    auto& state = receiver.state_;
    apply_log_update(state, without, state.table_->version_);
    CHECK(is_read_due(state, state.evacuations_confirmed_at_));
    CHECK_FALSE(is_read_due(state, state.table_confirmed_at_));
    apply_log_update(state, received->log_update_, state.table_->version_, vm_id{"vm-1"});
    CHECK_FALSE(is_read_due(state, state.evacuations_confirmed_at_));
    CHECK(is_evacuated(state.directory_.evacuations_, here));
    CHECK(state.directory_.evacuations_.known_end_ == at_offset(5));
}
