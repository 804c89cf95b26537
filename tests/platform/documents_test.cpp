#include <random>

#include <catch2/catch.hpp>

#include "cornelstall/platform.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const std::string configuration_text = R"({"version":7,
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming","timeout_ms":10000,"target_latency_ms":250,
   "priority":0,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,
   "public":false,"session_affinity":true,"resumable":true,"gap_aim_ms":250},
  {"name":"r2","host":"h.example","path_prefix":"/b/","kind":"a_new_kind","timeout_ms":1000,"service":"s2"}],
 "services":[
  {"name":"s1","health_path":"/health","max_connections":424,"engine":{"slots":16,"kv_capacity_tokens":405000,
   "stride":34,"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,
   "chunk":2048,"usual":{"prompt":11323,"answer":1266}}},
  {"name":"s2","health_path":"/health","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}]})";

std::string encode_record(const std::string& key, const std::string& value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
    return std::string(3, '\0') + std::string(1, static_cast<char>(content.size())) + content;
}

std::string encode_offset(std::uint64_t value)
{
    std::string text(8, '\0');
    text.back() = static_cast<char>(value);
    return text;
}

}  // namespace

TEST_CASE("a configuration is decoded into routes, services and keys")
{
    const auto table = platform::decode_routing_table(configuration_text);
    REQUIRE(table);
    CHECK(table->version_ == configuration_version{7});
    const auto* const matched = find_route(*table, "h.example", "/a/b/c");
    REQUIRE(matched != nullptr);
    CHECK(matched->kind_ == request_kind::streaming);
    CHECK(matched->resumable_);
    CHECK(matched->max_event_gap_ == milliseconds{250});
    CHECK(matched->services_.size() == 2);
    const auto& engine = table->services_.at(service_id{"s1"}).engine_;
    REQUIRE(engine);
    CHECK(engine->prefill_tokens_per_ms_ == Approx(154.0));
    CHECK(engine->decode_steps_per_pass_ == 34);
    CHECK_FALSE(table->services_.at(service_id{"s2"}).engine_);
    CHECK(check_key(*table, *matched, "k2").organisation_->id_ == organisation_id{"t1"});
    CHECK(check_key(*table, *matched, "k9").status_ == key_status::unknown);
}

TEST_CASE("a route of an unknown kind is treated as non-idempotent")
{
    const auto table = platform::decode_routing_table(configuration_text);
    CHECK(find_route(*table, "h.example", "/b/")->kind_ == request_kind::non_idempotent);
}

TEST_CASE("a malformed configuration gives no routing table")
{
    CHECK(platform::decode_routing_table("{\"version\":7") == nullptr);
    CHECK(platform::decode_routing_table("{\"version\":\"seven\",\"routes\":[],\"services\":[]}") == nullptr);
}

TEST_CASE("a malformed or unusable server entry is rejected")
{
    const std::string usable =
        R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready","sequence":4,
        "cold_remaining_ms":100,"born":1700000000000})";
    const auto server = platform::decode_server("i-1", usable);
    REQUIRE(server);
    CHECK(server->started_at_ms_ == 1700000000000);
    CHECK(server->cold_remaining_ == milliseconds{100});
    const auto unusable =
        GENERATE(as<std::string>{}, R"({"service":"s1"})", "\x01\x02",
                 R"({"service":"s1","address":"nowhere","zone":"z","slots":16,"state":"ready"})",
                 R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":"x","state":"ready"})",
                 R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":16,"state":"asleep"})");
    CHECK_FALSE(platform::decode_server("i-1", unusable));
}

TEST_CASE("records are decoded with their offsets, and an empty value removes the key")
{
    const auto bytes = encode_offset(12) + encode_offset(3) + encode_record("a", "1") + encode_record("b", "");
    const auto page = platform::decode_records(bytes, record_offset{10});
    REQUIRE(page.reached_);
    REQUIRE(page.records_.size() == 2);
    CHECK(page.records_[0].key_ == "a");
    CHECK(page.records_[0].value_ == "1");
    CHECK(page.records_[0].position_ == at_offset(10));
    CHECK(page.records_[1].removed_);
    CHECK(page.next_ == at_offset(12));
    CHECK_FALSE(platform::decode_records("short", record_offset{0}).reached_);
    // The next read starts with a record that was truncated.
    CHECK(platform::decode_records(bytes.substr(0, bytes.size() - 1), record_offset{10}).next_ == at_offset(11));
}

// Guards against records after a return of the store from a copy that count as older than those before it.
TEST_CASE("records are of the era that the store states, and an odd era is none")
{
    const auto bytes = encode_offset(12) + encode_offset(3) + encode_record("a", "1");
    const auto page = platform::decode_records(bytes, record_offset{10}, log_era{7});
    CHECK(page.era_ == log_era{7});
    REQUIRE(page.records_.size() == 1);
    CHECK(page.records_[0].position_ == at_offset(10, log_era{7}));
    CHECK(page.next_ == at_offset(11, log_era{7}));
    CHECK(page.end_ == at_offset(12, log_era{7}));
    CHECK(platform::decode_store_era("7") == log_era{7});
    CHECK(platform::decode_store_era("0") == log_era{0});
    const auto odd =
        GENERATE(as<std::string>{}, "", " 7", "7 ", "+7", "-1", "7.0", "x", "1000000001", "99999999999999999999999");
    CHECK_FALSE(platform::decode_store_era(odd));
}

TEST_CASE("the key of an evacuation names the data centre, and odd names name none")
{
    using platform::decode_evacuated_data_centre;
    CHECK(decode_evacuated_data_centre("evacuate/z-a") == data_centre_id{"z-a"});
    CHECK(decode_evacuated_data_centre("evacuate/z/a b") == data_centre_id{"z/a b"});
    CHECK(decode_evacuated_data_centre("evacuate/" + std::string(256, 'z')) == data_centre_id{std::string(256, 'z')});
    const auto unusable = GENERATE(as<std::string>{}, "evacuate/", "evacuate/" + std::string(257, 'z'),
                                   "evacuate/z\xff", "evacuate/\xc3");
    const auto decoded = decode_evacuated_data_centre(unusable);
    REQUIRE(decoded);
    CHECK(decoded->empty());
    const auto other = GENERATE(as<std::string>{}, "config", "", "evacuate", "Evacuate/z", "x/evacuate/z");
    CHECK_FALSE(decode_evacuated_data_centre(other));
}

// A read of changes that does not reach the end of the log confirms nothing, and one that begins later has lost
// records.
TEST_CASE("a read of changes states which part of the log it shows")
{
    const auto bytes = encode_offset(12) + encode_offset(9) + encode_record("a", "1");
    const auto page = platform::decode_records(bytes, record_offset{4});
    CHECK(page.first_ == at_offset(9));
    CHECK(page.next_ == at_offset(10));
    CHECK(page.end_ == at_offset(12));
    CHECK(platform::decode_records(bytes, record_offset{11}).first_ == at_offset(11));
}

// Without the replacement a caller could send requests in the name of another tenant, or name engines as helpers.
TEST_CASE("fields of a caller that only the gateway may set are replaced")
{
    namespace http = boost::beast::http;
    const auto protocol = platform::platform_protocol();
    http::request<http::string_body> message(http::verb::post, "/a/b?q=1", 11);
    message.set(http::field::host, "h.example:80");
    message.set(http::field::authorization, "Bearer k1");
    message.set(http::field::connection, "X-Hop, keep-alive");
    message.set("X-Hop", "1");
    message.set("Attempt-Id", "a1");
    message.set("Tenant", "somebody-else");
    message.set("Helpers", "10.0.0.1:80/t");
    message.set("Token-Counts", "1460,80");
    message.set("Deadline-Ms", "900");
    message.set("Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,5c1e07a2:800,e4402b7d:250");
    const auto request = protocol.read_request_(message);
    REQUIRE(request.prompt_parts_.size() == 3);
    CHECK(request.prompt_parts_[0] == prompt_part_id{0x5c1e07a2});
    CHECK(request.prompt_parts_[1] == prompt_part_id{0x91bd3f06});
    CHECK(request.host_ == "h.example");
    CHECK(request.path_ == "/a/b");
    CHECK(request.key_ == "k1");
    CHECK(request.prompt_ == token_count{1460});
    CHECK(request.time_left_ == milliseconds{900});
    forward_details details;
    details.server_ = server_id{"i-1"};
    details.time_left_ = milliseconds{700};
    details.resume_after_ = 12;
    protocol.write_forward_fields_(details, message);
    CHECK(message.find(http::field::authorization) == message.end());
    CHECK(message.find("X-Hop") == message.end());
    CHECK(message.find("Tenant") == message.end());
    CHECK(message.find("Helpers") == message.end());
    CHECK(message["Attempt-Id"] == "a1");
    CHECK(message["Expect-Instance"] == "i-1");
    CHECK(message["Deadline-Ms"] == "700");
    CHECK(message["Last-Event-Id"] == "12");
    details.helpers_ = {{socket_address{"10.0.0.3:80"}, "vm-1-7-1"}, {socket_address{"10.0.0.4:80"}, ""}};
    protocol.write_forward_fields_(details, message);
    CHECK(message["Helpers"] == "10.0.0.3:80/vm-1-7-1,10.0.0.4:80");
}

TEST_CASE("memory orders and the statuses of their responses follow the platform's encoding")
{
    const auto protocol = platform::platform_protocol();
    memory_order order;
    order.server_ = server_id{"i-1"};
    order.reservation_ = "vm-1-7-1";
    order.tokens_ = token_count{60000};
    order.hold_ = milliseconds{3400};
    const auto reserve = protocol.write_memory_order_(order);
    CHECK(reserve.target() == "/order");
    CHECK(reserve["Expect-Instance"] == "i-1");
    CHECK(reserve.body() == R"({"hold_ms":3400,"id":"vm-1-7-1","operation":"reserve","tokens":60000,"wait":false})");
    order.release_ = true;
    CHECK(protocol.write_memory_order_(order).body() == R"({"id":"vm-1-7-1","operation":"release"})");
    CHECK(protocol.read_order_result_(200) == memory_order_result::done);
    CHECK(protocol.read_order_result_(409) == memory_order_result::refused);
    CHECK(protocol.write_memory_query_().target() == "/report");
    const auto use_in = [&protocol](const std::string& report, unsigned status = 200) {
        return protocol.read_memory_use_(status, report, "t");
    };
    CHECK(use_in(R"({"tickets":[{"id":"u","state":"used"},{"id":"t","state":"held"}]})") == memory_use::unused);
    CHECK(use_in(R"({"tickets":[{"id":"t","state":"waiting"}]})") == memory_use::unused);
    CHECK(use_in(R"({"tickets":[{"id":"t","state":"used"}]})") == memory_use::used);
    CHECK(use_in(R"({"tickets":[{"id":"u","state":"held"}]})") == memory_use::unknown);
    CHECK(use_in(R"({"tickets":[{"id":"t","state":"held"}]})", 503) == memory_use::unknown);
    for (const char* const odd :
         {"", "[", "[]", R"({"tickets":{}})", R"({"tickets":[1,{"id":1},{"id":"t","state":[]}]})"})
    {
        CHECK(use_in(odd) == memory_use::unknown);
    }
    CHECK(protocol.read_order_result_(421) == memory_order_result::refused);
    // The server may still execute the order when it did not respond, or while the order waits for memory.
    CHECK(protocol.read_order_result_(0) == memory_order_result::unknown);
    CHECK(protocol.read_order_result_(202) == memory_order_result::unknown);
    CHECK(protocol.read_order_result_(503) == memory_order_result::unknown);
}

TEST_CASE("only the server's own statement counts as proof that it did not run a request")
{
    namespace http = boost::beast::http;
    const auto read = platform::platform_protocol().read_answer_;
    http::response<http::string_body> response(http::status::service_unavailable, 11);
    CHECK_FALSE(read(response).did_not_run_);
    response.set("Not-Executed", "1");
    CHECK(read(response).did_not_run_);
    CHECK(read(response).responsible_server_.empty());
    response.set("At-Server", "i-7");
    CHECK(read(response).responsible_server_ == "i-7");
    http::response<http::string_body> misdirected(http::status::misdirected_request, 11);
    CHECK(read(misdirected).did_not_run_);
    CHECK(read(misdirected).wrong_server_);
}

TEST_CASE("Retry-After of a refusing server is read in whole and fractional seconds")
{
    namespace http = boost::beast::http;
    const auto read = [](http::status status, const std::string& value) {
        http::response<http::string_body> response(status, 11);
        response.set(http::field::retry_after, value);
        return platform::platform_protocol().read_answer_(response).retry_after_;
    };
    const auto refused = http::status::service_unavailable;
    CHECK(read(refused, "2") == milliseconds{2000});
    CHECK(read(refused, "0.25") == milliseconds{250});
    CHECK(read(refused, "0") == milliseconds{0});
    CHECK(read(refused, "9e300") == std::nullopt);
    CHECK(read(refused, "100000000000000000000000") == std::chrono::hours{24});
    CHECK(read(http::status::ok, "2") == std::nullopt);
    const auto malformed = GENERATE(as<std::string>{}, "", "-1", "soon", "nan", "inf", "2 s", "1e400",
                                    "Wed, 21 Oct 2026 07:28:00 GMT", "0x10");
    CHECK(read(refused, malformed) == std::nullopt);
}

TEST_CASE("a server announces with Server-Leaving in any answer that it is leaving")
{
    namespace http = boost::beast::http;
    const auto read = platform::platform_protocol().read_answer_;
    const auto status = GENERATE(http::status::ok, http::status::service_unavailable, http::status::not_found);
    http::response<http::string_body> response(status, 11);
    CHECK_FALSE(read(response).leaving_);
    response.set("Server-Leaving", "0");
    CHECK_FALSE(read(response).leaving_);
    response.set("Server-Leaving", "1");
    CHECK(read(response).leaving_);
}

TEST_CASE("a server names with Server-Limit in any answer how many requests a second it takes")
{
    namespace http = boost::beast::http;
    const auto read = platform::platform_protocol().read_answer_;
    const auto status = GENERATE(http::status::ok, http::status::service_unavailable, http::status::not_found);
    http::response<http::string_body> response(status, 11);
    CHECK_FALSE(read(response).limit_.stated_);
    const auto [text, limit] = GENERATE(table<std::string, double>(
        {{"2.5", 2.5}, {"1", 1.0}, {"0", 0.0}, {"0.05", 0.05}, {"999999999999999999", 1'000'000.0}}));
    response.set("Server-Limit", text);
    CHECK(read(response).limit_.limit_ == request_rate{limit});
    const auto malformed = GENERATE(as<std::string>{}, "", "-1", "nan", "inf", "1e3", "2 a second", "1,5", "0x10");
    response.set("Server-Limit", malformed);
    CHECK(read(response).limit_.stated_);
    CHECK(read(response).limit_.limit_ == std::nullopt);
}

// Unbounded counts overflowed the sums of the forecast.
TEST_CASE("token counts and time limits of a caller are bounded")
{
    namespace http = boost::beast::http;
    http::request<http::string_body> message(http::verb::post, "/a/", 11);
    message.set("Token-Counts", "9223372036854775807,9223372036854775807");
    message.set("Length-Hint", "9223372036854775807");
    message.set("Deadline-Ms", "9223372036854775807");
    const auto request = platform::platform_protocol().read_request_(message);
    CHECK(request.prompt_ == token_count{1'000'000'000});
    CHECK(request.max_output_tokens_ == token_count{1'000'000'000});
    CHECK(request.expected_output_tokens_ == token_count{1'000'000'000});
    CHECK(request.time_left_ == std::chrono::hours{24});
}

namespace
{

std::string entry_with(const std::string& fields)
{
    return R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready")" + fields + "}";
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

}  // namespace

// Conversions of such numbers are undefined and gave other results on x86-64 than on arm64.
TEST_CASE("a server entry with a number out of range, deep nesting or an unusable text is rejected")
{
    CHECK(platform::decode_server("i-1", entry_with("")));
    const auto odd = GENERATE(
        as<std::string>{}, R"({"service":"s1","address":"10.0.0.1:0","zone":"z","slots":16,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:65536","zone":"z","slots":16,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:-1","zone":"z","slots":16,"state":"ready"})",
        R"({"service":"s1","address":"server.example:80","zone":"z","slots":16,"state":"ready"})",
        R"({"service":"s1","address":"","zone":"z","slots":16,"state":"ready"})",
        R"({"service":"","address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready"})",
        R"({"service":["s1"],"address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:80","zone":null,"slots":16,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":1e300,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":4294967300,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":-1,"state":"ready"})",
        R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":NaN,"state":"ready"})", R"([])", R"("text")",
        "17", "null", "",
        // A later member of the same name replaces an earlier one.
        entry_with(R"(,"slots":0)"), entry_with(R"(,"cold_remaining_ms":1e300)"),
        entry_with(R"(,"cold_remaining_ms":-5)"), entry_with(R"(,"cold_remaining_ms":1e400)"),
        entry_with(R"(,"cold_remaining_ms":"soon")"), entry_with(R"(,"born":1e300)"), entry_with(R"(,"born":-1)"),
        entry_with(R"(,"born":18446744073709551616)"), entry_with(R"(,"born":18446744073709551615)"),
        entry_with(",\"x\":" + nested(100'000)), nested(100'000), std::string(100'000, '['),
        entry_with(R"(,"zone":")" + std::string(1'000'000, 'z') + "\""), entry_with(",\"zone\":\"\xff\xfe\""));
    CHECK_FALSE(platform::decode_server("i-1", odd));
    CHECK_FALSE(platform::decode_server("\xff\xfe", entry_with("")));
}

TEST_CASE("a configuration with a number out of range gives no routing table")
{
    const auto field =
        GENERATE(as<std::string>{}, "\"timeout_ms\":10000", "\"target_latency_ms\":250", "\"gap_aim_ms\":250",
                 "\"slots\":16", "\"kv_capacity_tokens\":405000", "\"stride\":34", "\"max_connections\":424",
                 "\"max_body_bytes\":4194304", "\"weight\":90", "\"max_attempts\":2", "\"priority\":0");
    const auto value = GENERATE(as<std::string>{}, "1e300", "-1", "\"x\"", "[]", "1e400");
    auto text = configuration_text;
    REQUIRE(text.find(field) != std::string::npos);
    text.replace(text.find(field), field.size(), field.substr(0, field.find(':') + 1) + value);
    CHECK(platform::decode_routing_table(text) == nullptr);
}

TEST_CASE("mutated server entries and configurations are decoded into usable values or rejected")
{
    constexpr int cases = 100'000;
    std::mt19937_64 random(20261205);
    const auto below = [&random](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    const std::vector<std::string> fragments{"1e400",
                                             "-1",
                                             "9223372036854775808",
                                             "1e300",
                                             "\"",
                                             "{",
                                             "}",
                                             "[",
                                             "]",
                                             ",",
                                             ":",
                                             "null",
                                             "\xff",
                                             R"("slots":)",
                                             R"("born":)",
                                             "\\u0000",
                                             "0",
                                             "65536",
                                             R"("address":"1.2.3.4:0")"};
    const auto mutate = [&](std::string text) {
        const auto changes = 1 + below(4);
        for (std::size_t change = 0; change < changes; ++change)
        {
            const auto at = below(text.size());
            const auto& fragment = fragments[below(fragments.size())];
            const auto removed = below(8);
            text.replace(at, std::min(removed, text.size() - at), below(3) == 0 ? "" : fragment);
            text += text.empty() ? "x" : "";
        }
        return text;
    };
    const auto entry = entry_with(R"(,"sequence":4,"cold_remaining_ms":100,"born":1700000000000)");
    int usable = 0;
    int implausible = 0;
    for (int index = 0; index < cases; ++index)
    {
        const auto server = platform::decode_server("i-1", mutate(entry));
        usable += server ? 1 : 0;
        const bool plausible =
            !server ||
            (server->slots_ >= 1 && server->slots_ <= 100'000 && server->cold_remaining_ >= milliseconds{0} &&
             server->cold_remaining_ <= std::chrono::hours{24} && parse_endpoint(server->address_.get())->port() != 0);
        implausible += plausible ? 0 : 1;
    }
    CHECK(implausible == 0);
    CHECK(usable > 0);
    CHECK(usable < cases);
    for (int index = 0; index < cases / 100; ++index)
    {
        const auto table = platform::decode_routing_table(mutate(configuration_text));
        implausible += table && table->limits_.header_bytes_.get() == 0 ? 1 : 0;
    }
    CHECK(implausible == 0);
}

TEST_CASE("a prompt that crashes servers is recognised under a new request id")
{
    // Only parts that sound requests shared with it were known, so it was sent to servers 20 times after three had
    // crashed under it.
    namespace http = boost::beast::http;
    const auto protocol = platform::platform_protocol();
    const auto prompt_of = [&protocol](const std::string& id, const std::string& model, const std::string& parts) {
        http::request<http::string_body> message(http::verb::post, "/a", 11);
        message.set("Attempt-Id", id);
        message.set("Model", model);
        message.set("Prompt-Prefix", parts);
        return protocol.read_request_(message).prompt_parts_;
    };
    const std::vector shared{prompt_part_id{0x5c1e07a2}};
    suspect_parts suspects;
    const auto guilty = prompt_of("a1", "m", "5c1e07a2:800,e4402b7d:250");
    for (int crash = 0; crash < 3; ++crash)
    {
        const auto at = time_point{std::chrono::seconds{10 + 10 * crash}};
        (void)record_begun(suspects, shared, at - std::chrono::seconds{5});
        const auto repeated = prompt_of("a" + std::to_string(crash), "m", "5c1e07a2:800,e4402b7d:250");
        (void)record_crash(suspects, repeated, {crash_id{static_cast<std::uint32_t>(crash)}, at, at});
        (void)record_begun(suspects, shared, at + std::chrono::seconds{1});
    }
    CHECK_FALSE(blocked_parts(suspects, guilty).empty());
    CHECK(blocked_parts(suspects, prompt_of("b", "m", "5c1e07a2:800,e4402b7e:250")).empty());
    CHECK(blocked_parts(suspects, prompt_of("b", "m", "5c1e07a2:800,e4402b7d:251")).empty());
    CHECK(blocked_parts(suspects, prompt_of("b", "other", "5c1e07a2:800,e4402b7d:250")).empty());
    CHECK(blocked_parts(suspects, prompt_of("b", "m", "")).empty());
}
