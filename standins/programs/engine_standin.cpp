#include <algorithm>
#include <ranges>

#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"
#include "program.hpp"

namespace
{

using namespace cornelstall;

std::vector<standins::model_release> parse_models(const std::vector<std::string>& texts)
{
    std::vector<standins::model_release> models;
    std::ranges::transform(texts, std::back_inserter(models), [](const std::string& text) {
        const std::size_t mark = text.find('@');
        return standins::model_release{model_id{text.substr(0, mark)},
                                       model_version{mark == std::string::npos ? "1" : text.substr(mark + 1)}};
    });
    return models;
}

milliseconds duration_in(const cxxopts::ParseResult& flags, const char* name)
{
    return milliseconds{flags[name].as<int>()};
}

standins::engine_settings parse_settings(const cxxopts::ParseResult& flags)
{
    standins::engine_settings settings;
    settings.slots_ = flags["slots"].as<int>();
    settings.waiting_limit_ = flags["waiting-limit"].as<int>();
    settings.kv_tokens_ = token_count{flags["kv-tokens"].as<std::int64_t>()};
    settings.cache_tokens_ = token_count{flags["cache-tokens"].as<std::int64_t>()};
    settings.prefill_rate_ = token_rate{flags["prefill-rate"].as<double>()};
    settings.decode_rate_ = token_rate{flags["decode-rate"].as<double>()};
    settings.models_ = parse_models(flags["models"].as<std::vector<std::string>>());
    if (flags.count("answer-tokens") > 0)
    {
        settings.answer_tokens_ = token_count{flags["answer-tokens"].as<std::int64_t>()};
    }
    settings.checks_fencing_ = flags["checks-fencing"].as<bool>();
    settings.time_scale_ = flags["time-scale"].as<double>();
    settings.report_lag_ = duration_in(flags, "report-lag-ms");
    settings.cache_event_lag_ = duration_in(flags, "cache-event-lag-ms");
    settings.load_duration_ = duration_in(flags, "load-ms");
    settings.kept_after_cut_ = duration_in(flags, "kept-after-cut-ms");
    if (flags.count("weight-store") > 0)
    {
        settings.weight_store_ = socket_address{flags["weight-store"].as<std::string>()};
    }
    return settings;
}

}  // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"engine_standin", "Stand-in of a model engine"};
    auto add = options.add_options();
    add("listen", "address to listen on, ip:port", cxxopts::value<std::string>());
    add("slots", "sequences batched at once", cxxopts::value<int>()->default_value("8"));
    add("waiting-limit", "sequences that may wait for a slot", cxxopts::value<int>()->default_value("64"));
    add("kv-tokens", "KV memory", cxxopts::value<std::int64_t>()->default_value("200000"));
    add("cache-tokens", "memory of the prefix cache", cxxopts::value<std::int64_t>()->default_value("100000"));
    add("prefill-rate", "prompt tokens a second", cxxopts::value<double>()->default_value("20000"));
    add("decode-rate", "tokens a second of one sequence", cxxopts::value<double>()->default_value("50"));
    add("models", "name@version, comma-separated",
        cxxopts::value<std::vector<std::string>>()->default_value("small@1"));
    add("answer-tokens", "length of answers that max_tokens does not end", cxxopts::value<std::int64_t>());
    add("checks-fencing", "refuse orders with an old fencing number", cxxopts::value<bool>()->default_value("true"));
    add("time-scale", "the hardware is faster by this factor", cxxopts::value<double>()->default_value("1"));
    add("report-lag-ms", "age of the load report", cxxopts::value<int>()->default_value("0"));
    add("cache-event-lag-ms", "age of cache events", cxxopts::value<int>()->default_value("0"));
    add("load-ms", "duration of loading a model", cxxopts::value<int>()->default_value("2000"));
    add("kept-after-cut-ms", "how long a cut stream can be resumed", cxxopts::value<int>()->default_value("10000"));
    add("weight-store", "fetch models from here first, ip:port", cxxopts::value<std::string>());
    return standins::run_program(options, argc, argv, [](const cxxopts::ParseResult& flags) {
        return start_engine(parse_settings(flags), socket_address{flags["listen"].as<std::string>()});
    });
}
