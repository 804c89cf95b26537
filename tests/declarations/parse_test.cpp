#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/declarations.hpp"

using namespace cornelstall;

namespace
{

const std::string hash(64, 'a');

const std::string service_text = "service = \"dispatch\"\nmodels = [\"atlas\"]\nranks = [\"urgent\", \"standard\"]\n";

std::string caller_text(const std::string& name, const std::string& key)
{
    return "[[callers]]\nname = \"" + name + "\"\norganisation = \"north\"\nkey_sha256 = \"" + key + "\"\n";
}

std::vector<std::string> reports(const declaration_parse& parsed)
{
    std::vector<std::string> lines;
    std::ranges::transform(parsed.faults_, std::back_inserter(lines),
                           [](const declaration_fault& fault) { return to_string(fault); });
    return lines;
}

/// The policy of `parsed`, which must have no faults.
template <class Policy>
Policy policy_in(const declaration_parse& parsed)
{
    CAPTURE(reports(parsed));
    REQUIRE(parsed.policy_.has_value());
    const auto* const policy = parsed.policy_ ? std::get_if<Policy>(&*parsed.policy_) : nullptr;
    REQUIRE(policy != nullptr);
    return *policy;
}

/// The only fault in `text`.
declaration_fault fault_of(const std::string& text)
{
    const auto parsed = parse_service("a.cornelstall.toml", text);
    CAPTURE(reports(parsed));
    REQUIRE(parsed.faults_.size() == 1);
    REQUIRE_FALSE(parsed.policy_);
    return parsed.faults_.front();
}

}  // namespace

TEST_CASE("a service declaration becomes the policy that it describes")
{
    const auto parsed =
        parse_service("a.cornelstall.toml", service_text + caller_text("driver", hash) +
                                                "[limits]\nmax_prompt_tokens = 5000\nbody_timeout_ms = 7\n"
                                                "[[plain_services]]\nname = \"pickups\"\n"
                                                "[[plain_services.calls]]\nmethod = \"POST\"\npath = \"/p\"\n"
                                                "idempotent = false\ntimeout_ms = 9\n");
    const auto policy = policy_in<service_policy>(parsed);
    REQUIRE(policy.name_ == service_id{"dispatch"});
    REQUIRE(policy.ranks_ == std::vector{rank::urgent, rank::standard});
    REQUIRE(policy.callers_.at(0).key_ == key_hash{hash});
    REQUIRE(policy.limits_.max_prompt_ == token_count{5000});
    REQUIRE(policy.limits_.body_timeout_ == milliseconds{7});
    // A call read as idempotent would be sent again after a failure and book a pickup twice.
    REQUIRE_FALSE(policy.plain_services_.at(0).calls_.at(0).idempotent_);
    REQUIRE(policy.plain_services_.at(0).calls_.at(0).timeout_ == milliseconds{9});
}

TEST_CASE("a fleet declaration becomes ranks and models")
{
    const auto parsed = parse_fleet("fleet.toml",
                                    "[ranks.deferred]\nfloor_percent = 12.5\ntime_limit_ms = 9000\nworth = 3\n"
                                    "[models.atlas]\nversion = \"2\"\nadapters = [\"x\"]\nmin_ready = 0\n");
    const auto fleet = policy_in<fleet_policy>(parsed);
    REQUIRE(fleet.ranks_.at(rank::deferred).floor_ == 0.125);
    REQUIRE(fleet.ranks_.at(rank::deferred).time_limit_ == milliseconds{9000});
    REQUIRE(fleet.models_.at(model_id{"atlas"}).adapters_ == std::vector{adapter_id{"x"}});
    REQUIRE(fleet.models_.at(model_id{"atlas"}).min_ready_ == 0);
}

TEST_CASE("a fault names file, line, field and remedy")
{
    SECTION("a misspelt field would silently leave the default in force")
    {
        const auto fault = fault_of(service_text + "[limits]\nmax_promt_tokens = 5\n");
        REQUIRE(to_string(fault) ==
                "a.cornelstall.toml:5: limits.max_promt_tokens: unknown field; use one of "
                "max_body_bytes, max_prompt_tokens, max_output_tokens, max_queued_per_caller, "
                "body_timeout_ms");
        REQUIRE(fault.id_ == 304);
    }
    SECTION("a wrong type")
    {
        REQUIRE(fault_of(service_text + "[limits]\nmax_prompt_tokens = \"5\"\n").id_ == 306);
        REQUIRE(fault_of("callers = 3\n" + service_text).id_ == 306);
    }
    SECTION("a value out of range")
    {
        REQUIRE(fault_of(service_text + "[limits]\nmax_queued_per_caller = 0\n").id_ == 307);
        REQUIRE(fault_of(service_text + "[limits]\nmax_output_tokens = 9223372036854775807\n").id_ == 307);
        REQUIRE(fault_of(service_text + caller_text("a", hash) + "weight = nan\n").id_ == 307);
        REQUIRE(fault_of("service = \"a b\"\nmodels = [\"m\"]\nranks = [\"urgent\"]\n").id_ == 307);
        REQUIRE(fault_of("service = \"fleet\"\nmodels = [\"m\"]\nranks = [\"urgent\"]\n").id_ == 307);
        REQUIRE(fault_of("service = \"a\"\nmodels = [\"m\"]\nranks = [\"soon\"]\n").id_ == 307);
    }
    SECTION("a bearer key in place of its hash is not repeated in the message")
    {
        const auto fault = fault_of(service_text + caller_text("a", "secret-key"));
        REQUIRE(fault.id_ == 307);
        REQUIRE(to_string(fault).find("secret-key") == std::string::npos);
    }
    SECTION("a missing field")
    {
        REQUIRE(fault_of("models = [\"m\"]\nranks = [\"urgent\"]\n").field_ == "service");
        REQUIRE(fault_of("service = \"a\"\n").id_ == 305);
        REQUIRE(fault_of("service = \"a\"\nmodels = [\"m\"]\n").field_ == "ranks");
    }
    SECTION("a duplicate")
    {
        const auto fault = fault_of(service_text + caller_text("a", hash) + caller_text("a", std::string(64, 'b')));
        REQUIRE(fault.id_ == 308);
        REQUIRE(fault.field_ == "callers[1].name");
        REQUIRE(fault.line_ == 9);
        REQUIRE(fault_of("service = \"a\"\nmodels = [\"m\", \"m\"]\nranks = [\"urgent\"]\n").id_ == 308);
    }
    SECTION("broken syntax")
    {
        const auto fault = fault_of(service_text + "x = \n");
        REQUIRE(fault.id_ == 303);
        REQUIRE(fault.line_ == 4);
    }
}

TEST_CASE("all faults of a file are found in one pass, so that an operator corrects them together")
{
    const auto parsed = parse_service("a", service_text + "colour = 1\n[limits]\nmax_body_bytes = 0\nx = 1\n");
    REQUIRE(parsed.faults_.size() == 3);
    REQUIRE(std::ranges::is_sorted(parsed.faults_, {}, &declaration_fault::line_));
}

TEST_CASE("a hostile text is refused before its nesting exhausts the stack")
{
    std::string dotted = "a";
    for (int depth = 0; depth < 100'000; ++depth)
    {
        dotted += ".a";
    }
    REQUIRE(fault_of(dotted + " = 1\n").id_ == 302);
    REQUIRE(fault_of("[" + dotted + "]\n").id_ == 302);
    REQUIRE(fault_of("a = " + std::string(100'000, '[')).id_ == 303);
    REQUIRE(fault_of("#" + std::string(max_declaration_size.get(), ' ')).id_ == 302);
}

TEST_CASE("a published declaration is read for the service that it is published for")
{
    REQUIRE(std::holds_alternative<service_policy>(parse_declaration(service_id{"dispatch"}, service_text)));
    REQUIRE(std::holds_alternative<fleet_policy>(parse_declaration(fleet_service, "")));
    SECTION("a text of another service would replace that service's callers")
    {
        REQUIRE_THROWS_AS(parse_declaration(service_id{"other"}, service_text), version_error);
    }
    SECTION("a text that cannot be read")
    {
        REQUIRE_THROWS_WITH(parse_declaration(service_id{"dispatch"}, "x = 1\n" + service_text),
                            Catch::Contains("dispatch.cornelstall.toml:1: x: unknown field"));
    }
}

TEST_CASE("a key's hash is that of other SHA-256 tools")
{
    REQUIRE(hash_key("abc") == key_hash{"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"});
}
