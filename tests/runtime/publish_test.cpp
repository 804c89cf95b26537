#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/declarations.hpp"
#include "cornelstall/wire/version/configuration_codec.hpp"
#include "runtime/fake_configuration_log.hpp"

using namespace cornelstall;

namespace
{

const std::string fleet_text = "[ranks.urgent]\n[models.atlas]\nversion = \"1\"\n";

std::string service_text(const std::string& model, char key = 'a')
{
    return "service = \"a\"\nmodels = [\"" + model + "\"]\nranks = [\"urgent\"]\n[[callers]]\nname = \"c\"\n" +
           "organisation = \"o\"\nkey_sha256 = \"" + std::string(64, key) + "\"\n";
}

publication publication_of(const std::string& id, std::map<service_id, std::string> texts)
{
    publication wanted{publication_id{id}, std::move(texts)};
    wanted.time_limit_ = milliseconds{500};
    wanted.backoff_ = milliseconds{2};
    return wanted;
}

publish_result run_publish(fake_configuration_log& log, publication wanted)
{
    return run_to_end(publish(log.access(), parse_declaration, std::move(wanted)));
}

std::string rival_record(std::uint64_t base)
{
    return encode(change_record{publication_id{"rival"}, {{service_id{"a"}, log_offset{base}, service_text("atlas")}}});
}

}  // namespace

TEST_CASE("a publisher is told what became of its publication")
{
    fake_configuration_log log;
    const std::map<service_id, std::string> texts{{fleet_service, fleet_text},
                                                  {service_id{"a"}, service_text("atlas")}};
    const auto mine = publication_of("mine", texts);

    SECTION("accepted; the same texts again are nothing to publish")
    {
        const auto first = run_publish(log, mine);
        REQUIRE(first.status_ == publish_status::accepted);
        REQUIRE(first.version_ == configuration_version{1});
        REQUIRE(first.services_.size() == 2);
        REQUIRE(run_publish(log, publication_of("again", texts)).status_ == publish_status::unchanged);
        REQUIRE(log.records_.size() == 1);
    }
    SECTION("a lost acknowledgement is resolved by reading, without a second record")
    {
        log.lost_acknowledgements_ = 1;
        const auto result = run_publish(log, mine);
        REQUIRE(result.status_ == publish_status::accepted);
        REQUIRE(log.records_.size() == 1);
    }
    SECTION("an append that was cut before it took effect is repeated")
    {
        log.lost_appends_ = 2;
        REQUIRE(run_publish(log, mine).status_ == publish_status::accepted);
        REQUIRE(log.records_.size() == 1);
    }
    SECTION("a rival that comes first wins, and its version is named")
    {
        log.before_append_ = [&log, done = false]() mutable {
            if (!done)
            {
                log.put({rival_record(0)});
            }
            done = true;
        };
        const auto result = run_publish(log, mine);
        REQUIRE(result.status_ == publish_status::lost);
        REQUIRE(result.version_ == configuration_version{1});
    }
    SECTION("a publisher that cannot append any more and lost its bases has lost for certain")
    {
        log.lost_appends_ = 1000;
        log.before_append_ = [&log] {
            if (log.records_.empty())
            {
                log.put({rival_record(0)});
            }
        };
        REQUIRE(run_publish(log, mine).status_ == publish_status::lost);
    }
    SECTION("an outage ends as not appended, an outage after a cut as unknown; neither claims success")
    {
        log.refused_appends_ = 100'000;
        auto short_limit = mine;
        short_limit.time_limit_ = milliseconds{60};
        REQUIRE(run_publish(log, short_limit).status_ == publish_status::not_appended);
        log.lost_appends_ = 1;
        log.refused_appends_ = 0;
        log.before_append_ = [&log] {
            log.refused_appends_ = log.lost_appends_ == 0 ? 100'000 : 0;
        };
        REQUIRE(run_publish(log, short_limit).status_ == publish_status::unknown);
        REQUIRE(log.records_.empty());
    }
    SECTION("declarations that do not agree with those in force are not appended")
    {
        REQUIRE(run_publish(log, publication_of("p", {{service_id{"a"}, service_text("folio")}})).status_ ==
                publish_status::invalid);
        REQUIRE(log.records_.empty());
    }
    SECTION("a fault of somebody else's declaration does not block a publication")
    {
        log.put({rival_record(0)});
        const auto result = run_publish(log, publication_of("p", {{service_id{"b"},
                                                                   "service = \"b\"\n[[plain_services]]\n"
                                                                   "name = \"p\"\n[[plain_services.calls]]\n"
                                                                   "method = \"GET\"\npath = \"/\"\n"}}));
        REQUIRE(result.status_ == publish_status::accepted);
    }
}
