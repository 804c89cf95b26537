#include <catch2/catch.hpp>

#include "standins/http_calls.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

std::string keyed(const std::string& key, const std::string& value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
    return std::string(3, '\0') + std::string(1, static_cast<char>(content.size())) + content;
}

/// Calls with a raw body.
class raw_caller
{
  public:
    explicit raw_caller(const standins::running_standin& standin) : client_("http://" + standin.address().get()) {}

    answer call(const std::string& method, const std::string& target, const std::string& body = {},
                const std::map<std::string, std::string>& headers = {})
    {
        web::http::http_request request{method};
        request.set_request_uri(target);
        request.set_body(std::vector<unsigned char>(body.begin(), body.end()));
        std::ranges::for_each(headers,
                              [&request](const auto& field) { request.headers().add(field.first, field.second); });
        const auto response = client_.request(request).get();
        const auto bytes = response.extract_vector().get();
        return {response.status_code(), std::string(bytes.begin(), bytes.end())};
    }

  private:
    web::http::client::http_client client_;
};

}  // namespace

TEST_CASE("the store keeps the newest record of each key and gives records in their order")
{
    const auto store = standins::start_store({}, any_port);
    raw_caller operator_call(store);
    const std::string append = "/log-append?topic=keyed.t&part=0";
    CHECK(json::parse(operator_call.call("POST", append, keyed("a", "1") + keyed("b", "2")).text_)["end"] == 2);
    CHECK(operator_call.call("POST", append + "&at=1", keyed("a", "3")).status_ == 412);
    CHECK(operator_call.call("POST", append + "&at=2", keyed("a", "3")).status_ == 200);
    CHECK(operator_call.call("POST", append, keyed("b", "")).status_ == 200);
    const auto newest = json::parse(operator_call.call("GET", "/log-newest?topic=keyed.t&part=0").text_);
    REQUIRE(newest["items"].size() == 1);
    CHECK(newest["items"][0]["key"] == "a");
    CHECK(newest["items"][0]["value"] == "Mw==");
    CHECK(newest["end"] == 4);
    const auto read = operator_call.call("GET", "/log-read?topic=keyed.t&part=0&from=3&wait_ms=0").text_;
    REQUIRE(read.size() == 16 + 4 + 2);
    CHECK(read[7] == 4);
    CHECK(read[15] == 3);
    CHECK(operator_call.call("POST", append, std::string(3, '\0') + "\x09").status_ == 400);
}

TEST_CASE("the store says when records have expired")
{
    const auto store = standins::start_store({.kept_records_ = 1}, any_port);
    raw_caller operator_call(store);
    operator_call.call("POST", "/log-append?topic=keyed.t&part=0", keyed("a", "1") + keyed("b", "2"));
    const auto expired = operator_call.call("GET", "/log-read?topic=keyed.t&part=0&from=0&wait_ms=0");
    CHECK(expired.status_ == 410);
    CHECK(json::parse(expired.text_)["first"] == 1);
}

TEST_CASE("a server runs only requests that are meant for it and says what it did not run")
{
    const auto server = standins::start_server({.id_ = server_id{"s-1"}, .duration_ = milliseconds{1}}, any_port);
    raw_caller call(server);
    CHECK(call.call("POST", "/r/", "text", {{"Attempt-Id", "q"}, {"Expect-Instance", "s-2"}}).status_ == 421);
    CHECK(call.call("POST", "/r/", "text").status_ == 400);
    const auto plain = call.call("POST", "/r/", "text", {{"Attempt-Id", "q"}, {"Expect-Instance", "s-1"}});
    CHECK(plain.status_ == 200);
    CHECK(plain.text_ == "TEXT");
    const auto stream =
        call.call("POST", "/r/", "text", {{"Attempt-Id", "q"}, {"Token-Counts", "9,9"}, {"Last-Event-Id", "8"}});
    CHECK(stream.text_ == standins::event_of("text", 9) + standins::event_of("text", 10));
}

TEST_CASE("memory of a server is reserved, refused and released")
{
    const auto server = standins::start_server({.memory_ = token_count{100}}, any_port);
    raw_caller call(server);
    const auto reserve = [&call](const std::string& id, int tokens) {
        const json order{{"operation", "reserve"}, {"id", id}, {"tokens", tokens}, {"hold_ms", 10'000}};
        return call.call("POST", "/order", order.dump()).status_;
    };
    CHECK(reserve("a", 60) == 200);
    CHECK(reserve("a", 60) == 200);
    CHECK(reserve("b", 60) == 409);
    CHECK(json::parse(call.call("GET", "/report").text_)["tickets"].size() == 1);
    CHECK(call.call("POST", "/order", R"({"operation":"release","id":"a"})").status_ == 200);
    CHECK(reserve("b", 60) == 200);
}
