#include <catch2/catch.hpp>

#include "runtime/fake_world.hpp"

using namespace cornelstall;
using namespace std::chrono_literals;
using testing::append_fate;

namespace
{

/// What one call came to: an answer or a refusal.
struct call_result
{
    std::shared_ptr<http_answer> answer_;
    std::shared_ptr<request_error> refusal_;
};

task<call_result> call(std::shared_ptr<plain_call_context> context, plain_request request)
{
    call_result result;
    try
    {
        result.answer_ = std::make_shared<http_answer>(co_await call_plain_service(context, std::move(request)));
    }
    catch (const request_error& refusal)
    {
        result.refusal_ = std::make_shared<request_error>(refusal);
    }
    co_return result;
}

/// Two VMs in front of one plain service with two servers, on one log.
struct world
{
    testing::fake_clock clock_;
    testing::fake_log log_{clock_};
    metrics metrics_;
    std::vector<retry_budget> budgets_{3};
    std::vector<std::shared_ptr<plain_call_context>> vms_;
    int runs_ = 0;                           ///< calls that reached a server
    std::deque<connection_error> failures_;  ///< of the next calls
    bool draining_ = false;
    milliseconds service_time_{50};

    world()
    {
        add_vm("a");
        add_vm("b");
        clock_.advance(100ms);
    }

    void add_vm(const char* name)
    {
        auto context = std::make_shared<plain_call_context>(
            plain_call_context{clock_.where(), clock_.clock(), {}, nullptr, nullptr, {}, {}, {}});
        context->claims_ = std::make_shared<claim_keeper>();
        context->claims_->self_ = vm_id{name};
        context->claims_->log_ = log_.stream();
        context->claims_->clock_ = clock_.clock();
        context->claims_->metrics_ = &metrics_;
        context->budget_ = &budgets_[vms_.size()];
        context->metrics_ = &metrics_;
        context->servers_ = [](const std::string&) {
            return std::vector{plain_server{server_id{"1"}, socket_address{"127.0.0.1:1"}},
                               plain_server{server_id{"2"}, socket_address{"127.0.0.1:2"}}};
        };
        context->send_ = [this](const http_call&) {
            return serve();
        };
        context->note_draining_ = [](const server_id&) {
        };
        clock_.start(follow_claims(context->claims_));
        clock_.start(append_claims(context->claims_));
        vms_.push_back(std::move(context));
    }

    task<http_answer> serve()
    {
        if (!failures_.empty())
        {
            const connection_error failure = failures_.front();
            failures_.pop_front();
            runs_ += failure.id() == http_connect_failed ? 0 : 1;
            throw failure;
        }
        if (draining_)
        {
            co_return http_answer{503, "", {{"x-draining", "true"}}};
        }
        ++runs_;
        co_await cornelstall::sleep_for(clock_.clock(), service_time_);
        co_return http_answer{201, "booked " + std::to_string(runs_), {{"content-type", "text/plain"}}};
    }

    auto start(std::size_t vm, const char* key = "k", const char* body = "parcel", bool idempotent = false)
    {
        plain_request request{caller_id{"driver"},  "pickups",        {"POST", "/book", idempotent, 2000ms}, {},
                              idempotency_key{key}, clock_.now() + 5s};
        request.call_.method_ = "POST";
        request.call_.path_ = "/book";
        request.call_.body_ = body;
        return clock_.start(call(vms_[vm], std::move(request)));
    }

    call_result finish(std::size_t vm, const char* key = "k", const char* body = "parcel", bool idempotent = false)
    {
        const auto result = start(vm, key, body, idempotent);
        clock_.advance(6s);
        return result->at(0);
    }
};

}  // namespace

TEST_CASE("a repeated booking gets the first answer, on the same and on another VM")
{
    world all;
    REQUIRE(all.finish(0).answer_->body_ == "booked 1");
    REQUIRE(all.finish(0).answer_->body_ == "booked 1");
    const call_result repeated = all.finish(1);
    REQUIRE(repeated.answer_->body_ == "booked 1");
    REQUIRE(repeated.answer_->status_ == 201);
    REQUIRE(repeated.answer_->headers_.at("content-type") == "text/plain");
    REQUIRE(all.runs_ == 1);
    REQUIRE(all.finish(0, "other").answer_->body_ == "booked 2");
}

TEST_CASE("of two VMs that get the same booking at once, one sends it and the other replays the answer")
{
    world all;
    const auto first = all.start(0);
    const auto second = all.start(1);
    all.clock_.advance(6s);
    REQUIRE(first->at(0).answer_->body_ == "booked 1");
    REQUIRE(second->at(0).answer_->body_ == "booked 1");
    REQUIRE(all.runs_ == 1);
}

TEST_CASE("faults of the log never make a booking run twice or get lost")
{
    world all;
    SECTION("a lost acknowledgement is resolved by reading")
    {
        all.log_.fates_ = {append_fate::acknowledgement_lost};
        REQUIRE(all.finish(0).answer_->status_ == 201);
    }
    SECTION("a claim that arrives after the caller was refused does not block the key")
    {
        all.log_.fates_ = {append_fate::late};
        const call_result refused = all.finish(0);
        REQUIRE(refused.refusal_->reason() == refusal_reason::log_unavailable);
        REQUIRE(refused.refusal_->execution_outcome() == outcome::did_not_run);
        all.log_.arrive();
        all.clock_.advance(1s);
        REQUIRE(all.finish(1).answer_->body_ == "booked 1");
    }
    SECTION("without the log the call is refused and not sent")
    {
        all.log_.down_ = true;
        const call_result refused = all.finish(0);
        REQUIRE(refused.refusal_->reason() == refusal_reason::log_unavailable);
        REQUIRE(refused.refusal_->execution_outcome() == outcome::did_not_run);
        REQUIRE(all.runs_ == 0);
        all.log_.down_ = false;
        all.clock_.advance(1s);
        REQUIRE(all.finish(0).answer_->status_ == 201);
    }
    SECTION("an outcome is recorded although the log fails several times after the call")
    {
        all.log_.fates_ = {append_fate::acknowledged, append_fate::refused, append_fate::acknowledgement_lost};
        REQUIRE(all.finish(0).answer_->status_ == 201);
        REQUIRE(all.finish(1).answer_->body_ == "booked 1");
    }
    SECTION("a VM that has not read the stream cannot know earlier claims")
    {
        all.log_.down_ = true;
        all.add_vm("c");
        all.clock_.advance(100ms);
        REQUIRE(all.finish(2).refusal_->reason() == refusal_reason::log_unavailable);
        REQUIRE(all.runs_ == 0);
        all.log_.down_ = false;
    }
    REQUIRE(all.runs_ <= 1);
}

TEST_CASE("a booking whose answer was lost is told to be unknown and is not sent again")
{
    world all;
    all.failures_ = {connection_error(http_cut, "the connection broke")};
    REQUIRE(all.finish(0).refusal_->execution_outcome() == outcome::unknown);
    REQUIRE(all.finish(1).refusal_->execution_outcome() == outcome::unknown);
    REQUIRE(all.runs_ == 1);
}

TEST_CASE("a claim whose VM went silent is answered unknown at the caller's limit")
{
    world all;
    all.service_time_ = std::chrono::hours{1};
    const auto first = all.start(0);
    all.clock_.advance(1s);
    const call_result second = all.finish(1);
    REQUIRE(second.refusal_->reason() == refusal_reason::duplicate_in_progress);
    REQUIRE(second.refusal_->execution_outcome() == outcome::unknown);
    REQUIRE(all.runs_ == 1);
}

TEST_CASE("a booking that surely did not run frees its key")
{
    world all;
    SECTION("all servers drain")
    {
        all.draining_ = true;
        const call_result refused = all.finish(0);
        REQUIRE(refused.refusal_->reason() == refusal_reason::no_server_ready);
        REQUIRE(refused.refusal_->execution_outcome() == outcome::did_not_run);
        all.draining_ = false;
    }
    SECTION("a server cannot be reached: the call goes to the other one under the same claim")
    {
        all.failures_ = {connection_error(http_connect_failed, "refused")};
        REQUIRE(all.finish(0).answer_->status_ == 201);
    }
    REQUIRE(all.finish(1).answer_->body_ == "booked 1");
    REQUIRE(all.runs_ == 1);
}

TEST_CASE("a key that is missing or stands for another request is refused")
{
    world all;
    REQUIRE(all.finish(0, "").refusal_->reason() == refusal_reason::idempotency_key_missing);
    REQUIRE(all.finish(0).answer_->status_ == 201);
    REQUIRE(all.finish(1, "k", "another parcel").refusal_->reason() == refusal_reason::malformed_request);
    REQUIRE(all.runs_ == 1);
}

TEST_CASE("an idempotent call is retried on the other server and needs no log")
{
    world all;
    all.log_.down_ = true;
    all.failures_ = {connection_error(http_cut, "the connection broke")};
    REQUIRE(all.finish(0, "", "parcel", true).answer_->status_ == 201);
    REQUIRE(all.metrics_.counter("retries_total", {{"reason", "stream_cut"}}) == 1);
    all.log_.down_ = false;
}

TEST_CASE("a call that may have run in its first attempt is not told to have not run because a retry failed early")
{
    world all;
    all.failures_ = {connection_error(http_cut, "the connection broke")};
    all.failures_.insert(all.failures_.end(), 4, connection_error(http_connect_failed, "refused"));
    REQUIRE(all.finish(0, "", "parcel", true).refusal_->execution_outcome() == outcome::unknown);
}

TEST_CASE("claims of many calls share appends, because the log takes only some hundred a second")
{
    world all;
    const int before = all.log_.appends_;
    std::vector<std::shared_ptr<std::vector<call_result>>> results;
    results.reserve(200);
    for (int number = 0; number < 200; ++number)
    {
        results.push_back(all.start(0, ("k" + std::to_string(number)).c_str()));
    }
    all.clock_.advance(6s);
    REQUIRE(std::ranges::all_of(results, [](const auto& result) { return result->at(0).answer_ != nullptr; }));
    REQUIRE(all.runs_ == 200);
    REQUIRE(all.log_.appends_ - before <= 10);
}

TEST_CASE("malformed records on the stream are counted and do not stop its readers")
{
    world all;
    all.log_.records_.emplace_back("not json");
    REQUIRE(all.finish(0).answer_->status_ == 201);
    REQUIRE(all.metrics_.counter("claims_records_skipped_total") == 2);
}
