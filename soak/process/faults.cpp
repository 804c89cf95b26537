#include "process/faults.hpp"

#include <algorithm>
#include <array>

namespace cornelstall::soak
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr milliseconds shortest_fault{200};
constexpr milliseconds longest_fault{4000};
/// Mean time between the begins of two faults.
constexpr milliseconds fault_interval{1000};
/// One fault in this many is followed by the same one shortly after.
constexpr int series_share = 3;
constexpr milliseconds series_gap{600};
constexpr milliseconds exit_check{20};
/// Between the end of a stopped process and the start of the next one.
constexpr milliseconds restart_pause{300};
/// Of planned work: mean times between two waves of stops, and between the other kinds.
constexpr milliseconds stop_interval{5000};
constexpr milliseconds planned_interval{4000};
/// Servers that stand still do so for this long at least.
constexpr milliseconds shortest_silence{1500};
constexpr milliseconds slow_link{80};
/// A killed server's entry lapses after this time.
constexpr milliseconds entry_lapse{800};
/// Servers go on for this long after they said that they leave.
constexpr milliseconds server_drain{2500};

using fault_action = task<> (*)(deployment&, const planned_fault&);

struct fault_kind
{
    const char* name_;
    fault_action play_;
};

std::size_t vm_of(const deployment& all, const planned_fault& fault)
{
    return fault.target_ % all.vms_.size();
}

std::size_t server_of(const deployment& all, const planned_fault& fault)
{
    return fault.target_ % all.servers_.size();
}

task<> kill_vm(deployment& all, const planned_fault& fault)
{
    const auto index = vm_of(all, fault);
    const auto begun = begin_disruption(all, disrupted_part::vm, index);
    all.vms_[index].process_.reset();
    co_await sleep_for(fault.length_ / 4);
    if (!all.vms_[index].process_)
    {
        start_vm(all, index);
    }
    end_disruption(all, begun);
}

task<> pause_vm(deployment& all, const planned_fault& fault)
{
    const auto index = vm_of(all, fault);
    const auto begun = begin_disruption(all, disrupted_part::vm, index);
    if (all.vms_[index].process_)
    {
        all.vms_[index].process_->send(SIGSTOP);
    }
    co_await sleep_for(fault.length_);
    if (all.vms_[index].process_)
    {
        all.vms_[index].process_->send(SIGCONT);
    }
    end_disruption(all, begun);
}

task<> stop_vm(deployment& all, const planned_fault& fault)
{
    const auto index = vm_of(all, fault);
    auto& process = all.vms_[index].process_;
    if (!process)
    {
        co_return;
    }
    planned_stop stop;
    stop.vm_ = index;
    stop.begun_at_ = clock::now();
    const auto give_up = stop.begun_at_ + 2 * promise_bounds{}.stop_;
    process->send(SIGTERM);
    const int started = all.vms_[index].starts_;
    std::optional<int> code;
    // Another fault may kill the process meanwhile, or stop it too, and start it again.
    const auto is_same = [&] {
        return process && all.vms_[index].starts_ == started;
    };
    while (is_same() && !code && clock::now() < give_up)
    {
        co_await sleep_for(exit_check);
        code = is_same() ? process->ended() : std::nullopt;
    }
    if (!is_same())
    {
        co_return;
    }
    if (code)
    {
        stop.ended_at_ = clock::now();
        stop.exit_code_ = *code;
    }
    all.seen_.stops_.push_back(stop);
    process.reset();
    start_vm(all, index);
}

task<> reload_vm(deployment& all, const planned_fault& fault)
{
    if (auto& process = all.vms_[vm_of(all, fault)].process_)
    {
        process->send(SIGHUP);
        all.seen_.reloads_.push_back({vm_of(all, fault), clock::now()});
    }
    co_return;
}

task<> disrupt_front(deployment& all, const planned_fault& fault)
{
    const auto index = vm_of(all, fault);
    const auto begun = begin_disruption(all, disrupted_part::vm, index);
    auto& link = all.vms_[index].front_->link_;
    link.delay_ = fault.target_ % 2 == 0 ? slow_link : milliseconds{0};
    link.hold_answers_ = fault.target_ % 3 == 0;
    ++link.silenced_;
    co_await sleep_for(fault.length_);
    link.delay_ = milliseconds{0};
    link.hold_answers_ = false;
    ++link.reset_;
    end_disruption(all, begun);
}

task<> cut_store_link(deployment& all, const planned_fault& fault)
{
    const auto index = vm_of(all, fault);
    const auto begun = begin_disruption(all, disrupted_part::store, index);
    auto& link = all.vms_[index].store_->link_;
    link.hold_requests_ = fault.target_ % 2 == 0;
    link.hold_answers_ = fault.target_ % 2 == 1;
    link.refuse_ = fault.target_ % 3 == 0;
    co_await sleep_for(fault.length_);
    link.hold_requests_ = link.hold_answers_ = link.refuse_ = false;
    ++link.silenced_;
    end_disruption(all, begun);
}

task<> pause_store(deployment& all, const planned_fault& fault)
{
    const auto begun = begin_disruption(all, disrupted_part::store, std::nullopt);
    all.store_->send(SIGSTOP);
    co_await sleep_for(fault.length_);
    all.store_->send(SIGCONT);
    end_disruption(all, begun);
}

task<> disrupt_store(deployment& all, const planned_fault& fault)
{
    const auto begun = begin_disruption(all, disrupted_part::store, std::nullopt);
    constexpr std::array<const char*, 3> faults{R"({"outage":true})", R"({"delay_ms":400})",
                                                R"({"lose_acknowledgement":20,"match":"POST /log-append"})"};
    co_await set_faults(all, all.store_address_, faults.at(fault.target_ % faults.size()));
    co_await sleep_for(fault.length_);
    co_await set_faults(all, all.store_address_,
                        R"({"outage":false,"delay_ms":0,"lose_acknowledgement":0,"match":""})");
    end_disruption(all, begun);
}

task<> kill_server(deployment& all, const planned_fault& fault)
{
    const auto index = server_of(all, fault);
    if (!all.servers_[index].process_)
    {
        co_return;
    }
    const auto begun = begin_disruption(all, disrupted_part::server, std::nullopt);
    all.servers_[index].process_.reset();
    co_await sleep_for(entry_lapse);
    co_await list_server_process(all, index, "");
    co_await sleep_for(fault.length_ / 4);
    co_await start_server_process(all, index);
    end_disruption(all, begun);
}

task<> pause_server(deployment& all, const planned_fault& fault)
{
    const auto index = server_of(all, fault);
    const auto begun = begin_disruption(all, disrupted_part::server, std::nullopt);
    if (all.servers_[index].process_)
    {
        all.servers_[index].process_->send(SIGSTOP);
    }
    co_await sleep_for(fault.length_);
    if (all.servers_[index].process_)
    {
        all.servers_[index].process_->send(SIGCONT);
    }
    end_disruption(all, begun);
}

task<> replace_server(deployment& all, const planned_fault& fault)
{
    const auto index = server_of(all, fault);
    if (!all.servers_[index].process_)
    {
        co_return;
    }
    const auto id = all.servers_[index].id_;
    co_await list_server_process(all, index, "draining");
    co_await sleep_for(server_drain);
    if (all.servers_[index].id_ != id || !all.servers_[index].process_)
    {
        co_return;
    }
    const auto begun = begin_disruption(all, disrupted_part::server, std::nullopt);
    all.servers_[index].process_.reset();
    co_await list_server_process(all, index, "");
    co_await start_server_process(all, index);
    end_disruption(all, begun);
}

task<> disrupt_server(deployment& all, const planned_fault& fault)
{
    const auto& server = all.servers_[server_of(all, fault)];
    const auto begun = begin_disruption(all, disrupted_part::server, std::nullopt);
    constexpr std::array<const char*, 4> faults{R"({"streams":{"count":6,"cut_after_part":4}})",
                                                R"({"streams":{"count":4,"silent_after_part":3}})",
                                                R"({"lose_acknowledgement":4})", R"({"silent":4})"};
    const auto address = server.link_->target_;
    co_await set_faults(all, address, faults.at(fault.target_ % faults.size()));
    co_await sleep_for(fault.length_);
    // Fault counts that are not used up would last beyond the disruption.
    co_await set_faults(all, address, R"({"streams":{"count":0},"lose_acknowledgement":0,"silent":0})");
    end_disruption(all, begun);
}

task<> disrupt_server_link(deployment& all, const planned_fault& fault)
{
    const auto begun = begin_disruption(all, disrupted_part::server, std::nullopt);
    const auto index = server_of(all, fault);
    auto& link = all.servers_[index].link_->link_;
    link.delay_ = fault.target_ % 2 == 0 ? slow_link : milliseconds{0};
    link.hold_requests_ = fault.target_ % 3 == 0;
    link.hold_answers_ = fault.target_ % 5 == 0;
    ++link.reset_;
    co_await sleep_for(fault.length_);
    link.delay_ = milliseconds{0};
    link.hold_requests_ = link.hold_answers_ = false;
    ++link.silenced_;
    end_disruption(all, begun);
}

task<> revoke_key(deployment& all, const planned_fault& fault)
{
    const auto old = all.keys_[fault.target_ % all.keys_.size()];
    const auto added = old + "x";
    all.keys_[fault.target_ % all.keys_.size()] = added;
    co_await publish_configuration(all);
    note_change(all, acknowledged_change::kind::key_revoked, old);
    note_change(all, acknowledged_change::kind::key_added, added);
}

task<> change_routes(deployment& all, const planned_fault& fault)
{
    using kind = acknowledged_change::kind;
    if (!all.added_routes_.empty() && fault.target_ % 2 == 0)
    {
        const auto removed = all.added_routes_.back();
        all.added_routes_.pop_back();
        co_await publish_configuration(all);
        note_change(all, kind::route_removed, removed);
        co_return;
    }
    const std::string added = "/added-" + std::to_string(all.version_) + "/";
    all.added_routes_.push_back(added);
    co_await publish_configuration(all);
    note_change(all, kind::route_added, added);
}

/// The VMs that a wave of stops may end: ready ones, of which one stays.
std::vector<std::size_t> draw_stopped(deployment& all, std::size_t wanted)
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < all.vms_.size(); ++index)
    {
        if (all.vms_[index].process_ && all.vms_[index].in_rotation_ && !all.vms_[index].stopping_)
        {
            ready.push_back(index);
        }
    }
    std::ranges::shuffle(ready, all.random_);
    ready.resize(std::min(wanted, ready.empty() ? 0 : ready.size() - 1));
    return ready;
}

/// SIGTERM, SIGKILL after the grace period as the platform does, and a new process.
task<> stop_in_grace(deployment& all, std::size_t index)
{
    auto& vm = all.vms_[index];
    vm.stopping_ = true;
    const auto recorded = all.seen_.stops_.size();
    const auto begun_at = clock::now();
    all.seen_.stops_.push_back({index, begun_at, std::nullopt, 0});
    vm.process_->send(SIGTERM);
    std::optional<int> code;
    while (!code)
    {
        if (clock::now() >= begun_at + all.settings_.bounds_.stop_)
        {
            vm.process_->send(SIGKILL);
        }
        co_await sleep_for(exit_check);
        code = vm.process_->ended();
    }
    all.seen_.stops_[recorded].ended_at_ = clock::now();
    all.seen_.stops_[recorded].exit_code_ = *code;
    vm.process_.reset();
    co_await sleep_for(restart_pause);
    start_vm(all, index);
}

/// Stops a third or half of the VMs, at the same moment or with gaps.
task<> stop_several(deployment& all, const planned_fault& fault)
{
    const auto wanted = all.vms_.size() / (fault.target_ % 2 == 0 ? 2 : 3);
    const auto stopped = draw_stopped(all, wanted);
    const auto gap = fault.target_ % 3 == 0 ? milliseconds{0} : fault.length_ / 4;
    for (const auto index : stopped)
    {
        spawn(all.executor_, "stop_in_grace", stop_in_grace(all, index));
        co_await sleep_for(gap);
    }
}

/// Gives VMs little processor time: each runs for a part of short spans only.
task<> starve_vms(deployment& all, const planned_fault& fault)
{
    const auto end = clock::now() + fault.length_;
    while (clock::now() < end)
    {
        const auto signal_all = [&all](int signal) {
            std::ranges::for_each(all.vms_, [signal](const vm_process& vm) {
                if (vm.process_)
                {
                    vm.process_->send(signal);
                }
            });
        };
        signal_all(SIGSTOP);
        co_await sleep_for(milliseconds{20 + all.draw(50)});
        signal_all(SIGCONT);
        co_await sleep_for(milliseconds{10 + all.draw(40)});
    }
}

/// Some generation servers stand still and go on; the others reject everything meanwhile, or serve on.
task<> pause_generations(deployment& all, const planned_fault& fault)
{
    const auto pause = std::max(fault.length_, shortest_silence);
    const std::size_t services = 2;
    const auto paused = fault.target_ % all.settings_.servers_;
    const bool others_full = fault.target_ % 2 == 0;
    for (std::size_t number = 0; number < all.settings_.servers_; ++number)
    {
        const auto distance = (number + all.settings_.servers_ - paused) % all.settings_.servers_;
        const auto address = all.servers_[services * number + 1].link_->target_;
        if (distance < all.settings_.servers_ / 2)
        {
            co_await set_faults(all, address, R"({"pause_ms":)" + std::to_string(pause.count()) + "}");
        }
        else if (others_full)
        {
            co_await set_faults(all, address, R"({"full":true})");
        }
    }
    co_await sleep_for(pause);
    for (std::size_t number = 0; number < all.settings_.servers_; ++number)
    {
        const auto address = all.servers_[services * number + 1].link_->target_;
        co_await set_faults(all, address, R"({"full":false})");
    }
}

constexpr std::array<fault_kind, 4> planned_kinds{{{"stop_several", stop_several},
                                                   {"reload_vm", reload_vm},
                                                   {"starve_vms", starve_vms},
                                                   {"pause_generations", pause_generations}}};

constexpr std::array<fault_kind, 14> fault_kinds{{{"kill_vm", kill_vm},
                                                  {"pause_vm", pause_vm},
                                                  {"stop_vm", stop_vm},
                                                  {"reload_vm", reload_vm},
                                                  {"disrupt_front", disrupt_front},
                                                  {"cut_store_link", cut_store_link},
                                                  {"pause_store", pause_store},
                                                  {"disrupt_store", disrupt_store},
                                                  {"kill_server", kill_server},
                                                  {"pause_server", pause_server},
                                                  {"replace_server", replace_server},
                                                  {"disrupt_server", disrupt_server},
                                                  {"disrupt_server_link", disrupt_server_link},
                                                  {"revoke_key", revoke_key}}};
/// Changes of routes come with every soak, beside what is drawn.
constexpr fault_kind change_kind{"change_routes", change_routes};

const fault_kind& kind_named(const std::string& name)
{
    const auto* const planned = std::ranges::find(planned_kinds, name, &fault_kind::name_);
    if (planned != planned_kinds.end())
    {
        return *planned;
    }
    const auto* const found = std::ranges::find(fault_kinds, name, &fault_kind::name_);
    return found == fault_kinds.end() ? change_kind : *found;
}

}  // namespace

std::vector<planned_fault> draw_faults(std::mt19937_64& random, std::chrono::seconds length)
{
    const auto draw = [&random](std::int64_t from, std::int64_t end) {
        return std::uniform_int_distribution<std::int64_t>(from, end - 1)(random);
    };
    std::vector<planned_fault> faults;
    for (milliseconds at{0}; at < length; at += milliseconds{draw(0, 2 * fault_interval.count())})
    {
        const bool changes = draw(0, 6) == 0;
        planned_fault fault;
        fault.kind_ =
            changes ? change_kind.name_ : fault_kinds.at(static_cast<std::size_t>(draw(0, fault_kinds.size()))).name_;
        fault.at_ = at;
        fault.length_ = milliseconds{draw(shortest_fault.count(), longest_fault.count())};
        fault.target_ = static_cast<std::size_t>(draw(0, 1000));
        faults.push_back(fault);
        if (draw(0, series_share) == 0)
        {
            fault.at_ += series_gap;
            faults.push_back(fault);
        }
    }
    return faults;
}

std::vector<planned_fault> draw_planned_work(std::mt19937_64& random, std::chrono::seconds length)
{
    const auto draw = [&random](std::int64_t from, std::int64_t end) {
        return std::uniform_int_distribution<std::int64_t>(from, end - 1)(random);
    };
    std::vector<planned_fault> faults;
    std::ranges::for_each(planned_kinds, [&](const fault_kind& kind) {
        const bool stops = kind.name_ == std::string("stop_several");
        const std::int64_t interval = stops ? stop_interval.count() : planned_interval.count();
        for (milliseconds at{draw(0, interval)}; at < length; at += milliseconds{draw(interval / 2, interval * 3 / 2)})
        {
            planned_fault fault;
            fault.kind_ = kind.name_;
            fault.at_ = at;
            fault.length_ = milliseconds{draw(shortest_silence.count(), longest_fault.count())};
            fault.target_ = static_cast<std::size_t>(draw(0, 1000));
            faults.push_back(fault);
        }
    });
    std::ranges::sort(faults, {}, &planned_fault::at_);
    return faults;
}

task<> play_fault(deployment& all, planned_fault fault)
{
    co_await sleep_for(fault.at_);
    co_await kind_named(fault.kind_).play_(all, fault);
}

}  // namespace cornelstall::soak
