#include "process/deployment.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <ranges>
#include <sstream>

#include <nlohmann/json.hpp>

#include "cornelstall/gateway/connection/http_client.hpp"
#include "free_port.hpp"

namespace cornelstall::soak
{

namespace
{

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr milliseconds call_limit{1000};
constexpr milliseconds retry_pause{50};
constexpr milliseconds balancer_interval{300};
/// The balancer takes a VM out after this many misses.
constexpr int most_misses = 2;
constexpr unsigned ok = 200;
constexpr std::size_t length_bytes = 4;
constexpr byte_count max_answer_bytes{4ULL * 1024 * 1024};
constexpr std::array<call_kind, 4> kinds{call_kind::once, call_kind::repeatable, call_kind::stream,
                                         call_kind::resumable};

task<client_response> call_once(deployment& all, socket_address address, std::string method, std::string target,
                                std::string body)
{
    const http_client client{all.executor_, address.get(), max_answer_bytes};
    auto answer = co_await call(client, std::move(method), std::move(target), std::move(body),
                                "application/octet-stream", call_limit);
    co_return answer;
}

std::string keyed_record_of(const std::string& key, const std::string& value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
    std::string length(length_bytes, '\0');
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        length[length_bytes - 1 - index] = static_cast<char>((content.size() >> (8U * index)) & 0xFFU);
    }
    return length + content;
}

/// Appends until the store acknowledges; a repeat only writes the same value again.
task<> append(deployment& all, std::string topic, std::string key, std::string value)
{
    while (true)
    {
        const auto answer = co_await call_once(all, all.store_address_, "POST",
                                               "/log-append?topic=" + topic + "&part=0", keyed_record_of(key, value));
        if (answer.status_ == ok)
        {
            co_return;
        }
        co_await sleep_for(retry_pause);
    }
}

json route_json(const deployment& all, const std::string& prefix, call_kind kind)
{
    const bool streams = kind == call_kind::stream || kind == call_kind::resumable;
    const char* const name = streams ? "streaming" : kind == call_kind::once ? "non_idempotent" : "idempotent";
    return {{"name", prefix},
            {"host", "soak.example"},
            {"path_prefix", prefix},
            {"kind", name},
            {"timeout_ms", all.settings_.bounds_.route_limit_.count()},
            {"target_latency_ms", streams ? all.settings_.stream_target_.count() : 100},
            {"gap_aim_ms", 250},
            {"priority", streams ? 1 : 0},
            {"service", streams ? "generations" : "calls"},
            {"max_attempts", 3},
            {"public", false},
            {"resumable", kind == call_kind::resumable},
            {"session_affinity", streams},
            {"events", all.settings_.events_}};
}

json configuration_json(const deployment& all)
{
    json routes = json::array();
    std::ranges::for_each(kinds, [&](call_kind kind) { routes.push_back(route_json(all, path_of(kind), kind)); });
    std::ranges::for_each(all.added_routes_, [&](const std::string& prefix) {
        routes.push_back(route_json(all, prefix, call_kind::repeatable));
    });
    const json engine{{"slots", 8},          {"kv_capacity_tokens", 400000},
                      {"stride", 1},         {"step_ms", static_cast<double>(all.settings_.duration_.count())},
                      {"per_seq_ms", 0.01},  {"context_per_k", 0.01},
                      {"read_per_s", 1.0e6}, {"pairs_per_m", 0.0},
                      {"chunk", 8192},       {"usual", {{"prompt", 1000}, {"answer", all.settings_.events_}}}};
    return {{"version", all.version_},
            {"routes", std::move(routes)},
            {"services",
             {{{"name", "calls"}, {"health_path", "/health"}, {"max_connections", 400}},
              {{"name", "generations"}, {"health_path", "/health"}, {"max_connections", 400}, {"engine", engine}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", all.settings_.idle_limit_.count()}}},
            {"tenants", {{{"name", "organisation"}, {"api_keys", all.keys_}}}}};
}

std::string port_of(const socket_address& address)
{
    return address.get().substr(address.get().rfind(':') + 1);
}

std::filesystem::path settings_file(const deployment& all, const vm_process& vm)
{
    return all.settings_.folder_ / (vm.name_ + ".toml");
}

void write_settings(const deployment& all, const vm_process& vm)
{
    const auto& bounds = all.settings_.bounds_;
    std::ofstream file(settings_file(all, vm));
    file << "node_name = \"" << vm.name_ << "\"\nip = \"127.0.0.1\"\nzone = \"z\"\ninternal_ports = ["
         << port_of(tests::free_address()) << ", " << port_of(tests::free_address()) << "]\n[listen_addrs]\nfront = \""
         << vm.listen_ << "\"\nready_addr = \"" << vm.ready_
         << "\"\n[bounds]\ngrace_period_s = " << bounds.stop_.count() / 1000
         << "\nstrict_revoke = true\nrevoke_ms = " << bounds.revocation_.count()
         << "\nretry_budget_ratio = " << bounds.repeat_ratio_ << "\nretry_budget_extra = " << bounds.repeat_extra_
         << "\nbudget_window_s = " << bounds.repeat_window_.count() / 1000 << "\n[platform]\naddress = \""
         << vm.store_->address() << "\"\n"
         << all.settings_.added_tables_;
}

std::filesystem::path journal_of(const deployment& all, std::size_t index)
{
    return all.settings_.folder_ / ("server-" + std::to_string(index) + ".jsonl");
}

testing::child_surroundings output_to(const deployment& all, const std::string& name)
{
    return {{}, (all.settings_.folder_ / (name + ".log")).string()};
}

server_note note_of(const json& line)
{
    server_note note;
    note.at_ = time_point{milliseconds{line.at("at_ms").get<std::int64_t>()}};
    note.server_ = line.at("server").get<std::string>();
    note.request_ = line.at("request").get<std::string>();
    note.what_ = line.at("what").get<std::string>();
    note.path_ = line.at("path").get<std::string>();
    note.organisation_ = line.at("organisation").get<std::string>();
    note.has_key_ = line.at("has_key").get<bool>();
    return note;
}

task<> ask_vm(deployment& all, vm_process& vm)
{
    const auto answer = co_await call_once(all, vm.ready_, "GET", "/ready", "");
    vm.misses_ = answer.status_ == ok ? 0 : vm.misses_ + 1;
    vm.in_rotation_ = vm.misses_ < most_misses && (vm.in_rotation_ || vm.misses_ == 0);
}

std::string entry_of(const server_process& server, const std::string& state)
{
    const json entry{{"service", server.service_},
                     {"address", server.link_->address().get()},
                     {"zone", "z"},
                     {"version", "1"},
                     {"slots", 8},
                     {"state", state},
                     {"cold_remaining_ms", 0},
                     {"sequence", 1},
                     {"born", 1}};
    return entry.dump();
}

// Lists with destructors stay out of coroutines: g++ 12 destroys them twice there.

void launch_store(deployment& all)
{
    std::filesystem::create_directories(all.settings_.folder_);
    all.store_.emplace((all.settings_.programs_ / "standins/store_standin").string(),
                       std::vector<std::string>{"--listen", all.store_address_.get()}, output_to(all, "store"));
}

/// Starts the process of a server with a new id and directs its link there.
socket_address launch_server(deployment& all, std::size_t index)
{
    auto& server = all.servers_[index];
    auto address = tests::free_address();
    server.id_ = "s-" + std::to_string(++all.next_server_);
    server.link_->target_ = address;
    const std::vector<std::string> arguments{"--listen",      address.get(),
                                             "--id",          server.id_,
                                             "--events",      std::to_string(all.settings_.events_),
                                             "--journal",     journal_of(all, index).string(),
                                             "--duration-ms", std::to_string(all.settings_.duration_.count())};
    server.process_.emplace((all.settings_.programs_ / "standins/server_standin").string(), arguments,
                            output_to(all, "server-" + std::to_string(index)));
    return address;
}

void add_server(deployment& all, std::size_t index)
{
    server_process server;
    server.service_ = index % 2 == 0 ? "calls" : "generations";
    server.link_ = start_proxy(all.executor_, socket_address{});
    all.servers_.push_back(std::move(server));
}

void add_vm(deployment& all, std::size_t index)
{
    vm_process vm;
    vm.name_ = "vm-" + std::to_string(index);
    vm.listen_ = tests::free_address();
    vm.ready_ = tests::free_address();
    vm.front_ = start_proxy(all.executor_, vm.listen_);
    vm.store_ = start_proxy(all.executor_, all.store_address_);
    write_settings(all, vm);
    all.vms_.push_back(std::move(vm));
}

}  // namespace

deployment::deployment(executor where, soak_settings settings)
    : executor_(std::move(where)),
      settings_(std::move(settings)),
      random_(settings_.seed_),
      store_address_(tests::free_address())
{}

std::size_t deployment::draw(std::size_t end)
{
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
}

std::string path_of(call_kind kind)
{
    constexpr std::array<const char*, 4> paths{"/once/", "/repeatable/", "/stream/", "/resumable/"};
    return paths.at(static_cast<std::size_t>(kind));
}

void start_vm(deployment& all, std::size_t index)
{
    auto& vm = all.vms_[index];
    ++vm.starts_;
    vm.stopping_ = false;
    auto surroundings = output_to(all, vm.name_);
    surroundings.variables_ = {"CORNELSTALL_NODE_FILE=" + settings_file(all, vm).string()};
    vm.process_.emplace((all.settings_.programs_ / "apps/cornelstall/cornelstall").string(), std::vector<std::string>{},
                        surroundings);
}

task<> list_server_process(deployment& all, std::size_t index, std::string state)
{
    const auto id = all.servers_[index].id_;
    const auto entry = state.empty() ? std::string() : entry_of(all.servers_[index], state);
    co_await append(all, "keyed.servers", id, entry);
    if (state != "ready")
    {
        note_change(all, acknowledged_change::kind::server_leaving, id);
    }
}

task<> start_server_process(deployment& all, std::size_t index)
{
    const auto address = launch_server(all, index);
    auto answer = client_response{};
    while (answer.status_ != ok)
    {
        co_await sleep_for(retry_pause);
        answer = co_await call_once(all, address, "GET", "/report", "");
    }
    co_await list_server_process(all, index, "ready");
}

task<> publish_configuration(deployment& all)
{
    // One version after the other: a repeated append of an older one must not come after a newer one.
    while (all.publishing_)
    {
        co_await sleep_for(retry_pause);
    }
    all.publishing_ = true;
    all.version_ += 1 + all.draw(3);
    const auto text = configuration_json(all).dump();
    co_await append(all, "keyed.op", "config", text);
    all.publishing_ = false;
}

task<> start_deployment(deployment& all)
{
    launch_store(all);
    co_await publish_configuration(all);
    for (std::size_t index = 0; index < 2 * all.settings_.servers_; ++index)
    {
        add_server(all, index);
        co_await start_server_process(all, index);
    }
    for (std::size_t index = 0; index < all.settings_.vms_; ++index)
    {
        add_vm(all, index);
        start_vm(all, index);
    }
    spawn(all.executor_, "balance", balance(all));
    while (!std::ranges::all_of(all.vms_, &vm_process::in_rotation_))
    {
        co_await sleep_for(retry_pause);
    }
}

task<> balance(deployment& all)
{
    while (true)
    {
        for (auto& vm : all.vms_)
        {
            spawn(all.executor_, "ask_vm", ask_vm(all, vm));
        }
        co_await sleep_for(balancer_interval);
    }
}

task<> set_faults(deployment& all, socket_address address, std::string body)
{
    (void)co_await call_once(all, std::move(address), "POST", "/control/faults", std::move(body));
}

void read_journals(deployment& all)
{
    all.seen_.notes_.clear();
    for (std::size_t index = 0; index < all.servers_.size(); ++index)
    {
        std::ifstream file(journal_of(all, index));
        for (std::string line; std::getline(file, line);)
        {
            const auto parsed = json::parse(line, nullptr, false);
            // The last line of a killed server may be cut.
            if (parsed.is_object())
            {
                all.seen_.notes_.push_back(note_of(parsed));
            }
        }
    }
}

task<std::vector<finding>> check_memory_is_free(deployment& all)
{
    std::vector<finding> found;
    for (const auto& server : all.servers_)
    {
        const auto answer = co_await call_once(all, server.link_->target_, "GET", "/report", "");
        const auto report = json::parse(answer.body_, nullptr, false);
        if (!report.is_object() || !report.at("tickets").empty())
        {
            found.push_back({"memory_is_free", server.id_, answer.body_});
        }
    }
    co_return found;
}

void note_change(deployment& all, acknowledged_change::kind kind, const std::string& name)
{
    all.seen_.changes_.push_back({kind, name, clock::now()});
}

std::size_t begin_disruption(deployment& all, disrupted_part part, std::optional<std::size_t> vm)
{
    all.seen_.disruptions_.push_back({clock::now(), time_point::max(), part, vm});
    return all.seen_.disruptions_.size() - 1;
}

void end_disruption(deployment& all, std::size_t begun)
{
    all.seen_.disruptions_[begun].until_ = clock::now();
}

}  // namespace cornelstall::soak
