#include "cornelstall/declarations/parse.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>

#include "field_reader.hpp"

namespace cornelstall
{

namespace
{

using namespace detail;

constexpr std::int64_t day_ms = 86'400'000;
constexpr std::int64_t max_tokens = 100'000'000;
constexpr std::int64_t max_body = 1'073'741'824;
constexpr std::int64_t max_queued = 100'000;
constexpr std::int64_t max_engines = 10'000;
constexpr double max_weight = 1000.0;
constexpr double max_floor_percent = 90.0;
constexpr double percent = 100.0;
constexpr std::size_t key_hash_length = 64;
// Each dot of a key nests one table deeper, and the library bounds the nesting of values only.
constexpr std::ptrdiff_t max_dots_in_line = 64;

milliseconds read_milliseconds(const table_view& table, std::string_view field, milliseconds fallback,
                               std::int64_t lowest = 1)
{
    return milliseconds{read_integer(table, field, fallback.count(), {lowest, day_ms})};
}

token_count read_tokens(const table_view& table, std::string_view field, token_count fallback)
{
    return token_count{read_integer(table, field, fallback.get(), {1, max_tokens})};
}

key_hash read_key_hash(const table_view& table)
{
    const auto text = read_text(table, "key_sha256", true);
    const auto is_digit = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    if (text && (text->size() != key_hash_length || !std::ranges::all_of(*text, is_digit)))
    {
        // The value is not shown, since it may be the key itself.
        report(table, "key_sha256", declaration_fault_id::bad_value, "not a SHA-256 in 64 lower-case hex digits",
               "run 'cornelctl hash-key'");
    }
    return key_hash{text.value_or("")};
}

std::vector<caller_policy> read_callers(const table_view& root)
{
    std::vector<caller_policy> callers;
    std::set<std::string> names;
    for (const auto& table : read_tables(root, "callers"))
    {
        check_known(table, {"name", "organisation", "weight", "key_sha256"});
        caller_policy caller;
        caller.name_ = caller_id{read_name(table, "name")};
        caller.organisation_ = organisation_id{read_name(table, "organisation")};
        caller.weight_ = caller_weight{read_number(table, "weight", caller.weight_.get(), {0.01, max_weight})};
        caller.key_ = read_key_hash(table);
        check_distinct(table, "name", names, caller.name_.get());
        callers.push_back(std::move(caller));
    }
    return callers;
}

service_limits read_limits(const table_view& root)
{
    service_limits limits;
    if (const auto table = read_table(root, "limits"))
    {
        check_known(*table, {"max_body_bytes", "max_prompt_tokens", "max_output_tokens", "max_queued_per_caller",
                             "body_timeout_ms"});
        limits.max_body_ = byte_count{static_cast<std::uint64_t>(
            read_integer(*table, "max_body_bytes", static_cast<std::int64_t>(limits.max_body_.get()), {1, max_body}))};
        limits.max_prompt_ = read_tokens(*table, "max_prompt_tokens", limits.max_prompt_);
        limits.max_output_ = read_tokens(*table, "max_output_tokens", limits.max_output_);
        limits.max_queued_per_caller_ = static_cast<int>(
            read_integer(*table, "max_queued_per_caller", limits.max_queued_per_caller_, {1, max_queued}));
        limits.body_timeout_ = read_milliseconds(*table, "body_timeout_ms", limits.body_timeout_);
    }
    return limits;
}

std::string read_method(const table_view& table)
{
    constexpr std::array methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    const auto text = read_text(table, "method", true);
    if (text && std::ranges::find(methods, *text) == methods.end())
    {
        report(table, "method", declaration_fault_id::bad_value, "'" + *text + "' is not a method",
               "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
    }
    return text.value_or("");
}

std::string read_path(const table_view& table)
{
    const auto text = read_text(table, "path", true);
    if (text && (!text->starts_with('/') || text->find_first_of(" ?#") != std::string::npos))
    {
        report(table, "path", declaration_fault_id::bad_value, "not a path",
               "start it with '/' and leave out blanks, '?' and '#'");
    }
    return text.value_or("");
}

std::vector<plain_call_policy> read_calls(const table_view& service)
{
    std::vector<plain_call_policy> calls;
    std::set<std::string> seen;
    for (const auto& table : read_tables(service, "calls"))
    {
        check_known(table, {"method", "path", "idempotent", "timeout_ms"});
        plain_call_policy call;
        call.method_ = read_method(table);
        call.path_prefix_ = read_path(table);
        call.idempotent_ = read_flag(table, "idempotent", call.idempotent_);
        call.timeout_ = read_milliseconds(table, "timeout_ms", call.timeout_);
        check_distinct(table, "path", seen, call.method_ + " " + call.path_prefix_);
        calls.push_back(std::move(call));
    }
    return calls;
}

std::vector<plain_service_policy> read_plain_services(const table_view& root)
{
    std::vector<plain_service_policy> services;
    std::ranges::transform(read_tables(root, "plain_services"), std::back_inserter(services),
                           [](const table_view& table) {
                               check_known(table, {"name", "calls"});
                               plain_service_policy service{read_name(table, "name"), read_calls(table)};
                               if (service.calls_.empty())
                               {
                                   report(table, "calls", declaration_fault_id::missing_field, "no call is declared",
                                          "add [[plain_services.calls]]");
                               }
                               return service;
                           });
    return services;
}

std::vector<rank> read_ranks(const table_view& root)
{
    std::vector<rank> ranks;
    for (const auto& name : read_names(root, "ranks"))
    {
        if (const auto* const found = std::ranges::find(all_ranks, name, [](rank one) { return to_string(one); });
            found != all_ranks.end())
        {
            ranks.push_back(*found);
            continue;
        }
        report(root, "ranks", declaration_fault_id::bad_value, "'" + name + "' is not a rank",
               "use urgent, standard or deferred");
    }
    return ranks;
}

parsed_policy read_service(const table_view& root)
{
    check_known(root, {"service", "models", "ranks", "callers", "limits", "plain_services"});
    service_policy service;
    service.name_ = service_id{read_name(root, "service")};
    if (service.name_ == fleet_service)
    {
        report(root, "service", declaration_fault_id::bad_value, "'fleet' is the name of fleet.toml",
               "choose another name");
    }
    std::ranges::transform(read_names(root, "models"), std::back_inserter(service.models_),
                           [](std::string& name) { return model_id{std::move(name)}; });
    service.ranks_ = read_ranks(root);
    service.callers_ = read_callers(root);
    service.limits_ = read_limits(root);
    service.plain_services_ = read_plain_services(root);
    if (service.models_.empty() && service.plain_services_.empty())
    {
        report(root, "models", declaration_fault_id::missing_field, "the service has neither models nor plain services",
               "add models or [[plain_services]]");
    }
    if (!service.models_.empty() && service.ranks_.empty() && root.table_->get("ranks") == nullptr)
    {
        report(root, "ranks", declaration_fault_id::missing_field, "a service with models needs a rank",
               "add ranks; the first one is the default");
    }
    return service;
}

rank_policy read_rank(const table_view& table)
{
    check_known(table,
                {"first_token_target_ms", "time_limit_ms", "time_per_1k_prompt_tokens_ms", "floor_percent", "worth"});
    rank_policy policy;
    policy.first_token_target_ = read_milliseconds(table, "first_token_target_ms", policy.first_token_target_);
    policy.time_limit_ = read_milliseconds(table, "time_limit_ms", policy.time_limit_);
    policy.time_per_1k_prompt_tokens_ =
        read_milliseconds(table, "time_per_1k_prompt_tokens_ms", policy.time_per_1k_prompt_tokens_, 0);
    policy.floor_ = read_number(table, "floor_percent", policy.floor_ * percent, {0.0, max_floor_percent}) / percent;
    policy.worth_ = read_number(table, "worth", policy.worth_, {0.0, max_weight});
    return policy;
}

model_policy read_model(const table_view& table, const std::string& name)
{
    check_known(table, {"version", "adapters", "context_tokens", "min_ready"});
    model_policy policy;
    policy.name_ = model_id{name};
    policy.version_ = model_version{read_name(table, "version")};
    std::ranges::transform(read_names(table, "adapters"), std::back_inserter(policy.adapters_),
                           [](std::string& adapter) { return adapter_id{std::move(adapter)}; });
    policy.context_limit_ = read_tokens(table, "context_tokens", policy.context_limit_);
    policy.min_ready_ = static_cast<int>(read_integer(table, "min_ready", policy.min_ready_, {0, max_engines}));
    return policy;
}

parsed_policy read_fleet(const table_view& root)
{
    check_known(root, {"ranks", "models"});
    fleet_policy fleet;
    if (const auto ranks = read_table(root, "ranks"))
    {
        check_known(*ranks, {"urgent", "standard", "deferred"});
        for (const auto which : all_ranks)
        {
            if (const auto table = read_table(*ranks, to_string(which)))
            {
                fleet.ranks_.emplace(which, read_rank(*table));
            }
        }
    }
    if (const auto models = read_table(root, "models"))
    {
        for (const auto& [key, node] : *models->table_)
        {
            if (!is_name(key.str()))
            {
                report(*models, key.str(), declaration_fault_id::bad_value, "not a valid name",
                       "use 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit");
            }
            else if (const auto table = read_table(*models, key.str()))
            {
                const std::string name{key.str()};
                fleet.models_.emplace(model_id{name}, read_model(*table, name));
            }
        }
    }
    return fleet;
}

/// Faults that must be excluded before the library may parse the text.
std::optional<declaration_fault> check_bounds(const std::string& file, std::string_view text)
{
    if (text.size() > max_declaration_size.get())
    {
        return declaration_fault{static_cast<int>(declaration_fault_id::too_large),
                                 file,
                                 0,
                                 "",
                                 "the file has more than " + std::to_string(max_declaration_size.get()) + " bytes",
                                 "split the service"};
    }
    int number = 0;
    for (const auto line : text | std::views::split('\n'))
    {
        ++number;
        if (std::ranges::count(line, '.') > max_dots_in_line)
        {
            return declaration_fault{static_cast<int>(declaration_fault_id::too_large),
                                     file,
                                     number,
                                     "",
                                     "more than " + std::to_string(max_dots_in_line) + " dots in one line",
                                     "use shorter keys or break the list over several lines"};
        }
    }
    return std::nullopt;
}

template <class Read>
declaration_parse parse_bounded(const std::string& file, std::string_view text, Read read)
{
    reading current{file, {}};
    if (auto fault = check_bounds(file, text))
    {
        current.result_.faults_.push_back(std::move(*fault));
        return std::move(current.result_);
    }
    try
    {
        const auto table = toml::parse(text, file);
        auto policy = read(table_view{&current, &table, ""});
        if (current.result_.faults_.empty())
        {
            current.result_.policy_ = std::move(policy);
        }
    }
    catch (const toml::parse_error& problem)
    {
        current.result_.faults_.push_back({static_cast<int>(declaration_fault_id::syntax), file,
                                           static_cast<int>(problem.source().begin.line), "",
                                           std::string(problem.description()), "correct the TOML syntax"});
    }
    std::ranges::stable_sort(current.result_.faults_, {}, &declaration_fault::line_);
    return std::move(current.result_);
}

}  // namespace

std::string to_string(const declaration_fault& fault)
{
    return fault.file_ + (fault.line_ > 0 ? ":" + std::to_string(fault.line_) : "") + ": " +
           (fault.field_.empty() ? "" : fault.field_ + ": ") + fault.problem_ + "; " + fault.remedy_;
}

version_error to_error(const declaration_fault& fault)
{
    return {fault.id_, to_string(fault)};
}

declaration_parse parse_service(const std::string& file, std::string_view text)
{
    return parse_bounded(file, text, read_service);
}

declaration_parse parse_fleet(const std::string& file, std::string_view text)
{
    return parse_bounded(file, text, read_fleet);
}

parsed_policy parse_declaration(const service_id& service, const std::string& text)
{
    auto parsed = service == fleet_service ? parse_fleet("fleet.toml", text)
                                           : parse_service(service.get() + ".cornelstall.toml", text);
    if (!parsed.policy_)
    {
        throw to_error(parsed.faults_.front());
    }
    if (const auto* const policy = std::get_if<service_policy>(&*parsed.policy_);
        policy != nullptr && policy->name_ != service)
    {
        throw version_error(static_cast<int>(declaration_fault_id::wrong_service),
                            "the declaration published for service '" + service.get() + "' declares '" +
                                policy->name_.get() + "'; publish it with cornelctl");
    }
    return std::move(*parsed.policy_);
}

}  // namespace cornelstall
