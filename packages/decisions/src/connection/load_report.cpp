#include "cornelstall/decisions/connection/load_report.hpp"

#include <algorithm>
#include <ranges>
#include <set>

#include <xxhash.h>

namespace cornelstall
{

namespace
{

/// Longer than a datagram can be delayed, so that a report of an earlier process is not taken for one of a later one.
constexpr milliseconds restart_silence{1500};

engine_work* find_work(fleet_load& load, const reported_work& wanted)
{
    const auto engine = load.engines_.find(wanted.server_);
    if (engine == load.engines_.end())
    {
        return nullptr;
    }
    const auto found = std::ranges::find(engine->second.work_, wanted.work_.key_, &engine_work::key_);
    return found == engine->second.work_.end() ? nullptr : &*found;
}

void remove_reported(fleet_load& load, const reported_work& removed)
{
    const auto engine = load.engines_.find(removed.server_);
    if (engine != load.engines_.end())
    {
        remove_work(engine->second, removed.work_.key_);
    }
}

bool contains(const std::vector<reported_work>& work, const reported_work& wanted)
{
    return std::ranges::any_of(work, [&wanted](const reported_work& entry) {
        return entry.work_.key_ == wanted.work_.key_ && entry.server_ == wanted.server_;
    });
}

void merge_work(fleet_load& load, const reported_work& entry, time_point now)
{
    engine_work* const known = find_work(load, entry);
    if (known == nullptr)
    {
        add_work(load.engines_[entry.server_], entry.work_, now);
        return;
    }
    known->late_ = entry.work_.late_;
    if (entry.work_.joint_prompt_.get() > 0 && entry.work_.prefill_left_.get() == 0)
    {
        known->prefill_left_ = token_count{0};
    }
    if (entry.work_.generating_)
    {
        if (!known->generating_)
        {
            record_first_token(load.engines_[entry.server_], entry.work_.key_, now);
        }
        known->answer_left_ = entry.work_.answer_left_;
    }
}

/// Applies the work of @a report, which is newer than the last one of @a peer.
void apply_work(vm_peer& peer, fleet_load& load, const load_report& report, time_point now)
{
    std::ranges::for_each(report.work_, [&](const reported_work& entry) { merge_work(load, entry, now); });
    auto arrived = report.continues_ ? std::move(peer.arrived_work_) : std::vector<reported_work>{};
    std::ranges::copy(report.work_, std::back_inserter(arrived));
    if (report.parts_left_ == 0)
    {
        std::ranges::for_each(peer.work_, [&](const reported_work& previous) {
            if (!contains(arrived, previous))
            {
                remove_reported(load, previous);
            }
        });
        peer.work_ = std::move(arrived);
        peer.arrived_work_.clear();
    }
    else
    {
        std::ranges::copy_if(report.work_, std::back_inserter(peer.work_),
                             [&peer](const reported_work& entry) { return !contains(peer.work_, entry); });
        peer.arrived_work_ = std::move(arrived);
    }
    peer.parts_awaited_ = report.parts_left_;
    peer.sequence_ = report.sequence_;
}

}  // namespace

std::size_t known_vms(const vm_peers& peers)
{
    return std::max(peers.peers_.size() + 1, peers.max_vms_reported_);
}

milliseconds time_in_transit(vm_peers& peers, const load_report& report, std::chrono::nanoseconds clock)
{
    auto& peer = peers.peers_[report.vm_];
    if (report.incarnation_ < peer.incarnation_)
    {
        // A late report of an earlier process, perhaps of another VM of the name, says nothing about this one's clock.
        return milliseconds{0};
    }
    if (peer.incarnation_ != report.incarnation_)
    {
        peer.transit_ = transit_clock{};
    }
    return record_transit(peer.transit_, report.sent_at_, clock);
}

void drop_superseded(std::vector<load_report>& reports)
{
    std::set<std::pair<vm_id, incarnation>> later;
    std::vector<load_report> kept;
    std::ranges::for_each(reports | std::views::reverse, [&](load_report& report) {
        const bool stays = report.log_update_only_ || report.continues_;
        if (stays || later.emplace(report.vm_, report.incarnation_).second)
        {
            kept.push_back(std::move(report));
        }
    });
    std::ranges::reverse(kept);
    reports = std::move(kept);
}

void add_delay(load_report& report, milliseconds delay)
{
    const auto add = [delay](std::optional<milliseconds>& age) {
        age = age ? std::optional(*age + delay) : std::nullopt;
    };
    add(report.log_update_.routing_table_age_);
    add(report.log_update_.server_list_age_);
    if (auto& reads = report.log_update_.reads_)
    {
        reads->since_age_ += delay;
        reads->until_age_ += delay;
    }
    auto& grace = report.log_update_.removal_grace_;
    grace = std::max(milliseconds{0}, grace - delay);
    std::ranges::for_each(report.leaving_servers_, [delay](leaving_server& server) { server.age_ += delay; });
}

std::vector<load_report> split_work(load_report report, std::size_t work_per_part)
{
    auto rest = std::move(report.work_);
    report.work_.clear();
    report.parts_left_ = rest.empty() ? 0 : (rest.size() - 1) / work_per_part;
    std::vector<load_report> parts;
    auto next = rest.begin();
    do
    {
        const auto count = std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(work_per_part), rest.end() - next);
        auto part = report;
        part.work_.assign(next, next + count);
        next += count;
        parts.push_back(std::move(part));
        report.continues_ = true;
        report.log_update_ = {};
        report.leaving_servers_.clear();
        ++report.sequence_;
        --report.parts_left_;
    } while (next != rest.end());
    return parts;
}

bool apply_report(vm_peers& peers, fleet_load& load, const load_report& report, time_point now)
{
    auto& peer = peers.peers_[report.vm_];
    // A process whose clock was set back before its restart has a lower incarnation than the one before it.
    const bool clock_set_back = report.incarnation_ < peer.incarnation_ && now - peer.heard_at_ > restart_silence;
    if (clock_set_back)
    {
        peer.incarnation_ = report.incarnation_;
        peer.sequence_ = 0;
    }
    if (report.incarnation_ < peer.incarnation_ ||
        (report.incarnation_ == peer.incarnation_ && report.sequence_ <= peer.sequence_))
    {
        return false;
    }
    peers.max_vms_reported_ = std::max(peers.max_vms_reported_, report.vms_known_);
    if (report.continues_)
    {
        const bool fits = report.incarnation_ == peer.incarnation_ && report.sequence_ == peer.sequence_ + 1 &&
                          report.parts_left_ + 1 == peer.parts_awaited_;
        if (fits)
        {
            apply_work(peer, load, report, now);
        }
        return fits;
    }
    if (report.log_update_only_)
    {
        peer.sequence_ = report.sequence_;
        peer.incarnation_ = report.incarnation_;
        return true;
    }
    peer.address_ = report.address_;
    peer.incarnation_ = report.incarnation_;
    peer.heard_at_ = now;
    peer.version_ = report.version_;
    peer.log_reachable_ = report.log_update_.log_reachable_;
    peer.server_list_end_ = report.log_update_.server_list_end_;
    peer.data_centre_ = report.data_centre_;
    apply_work(peer, load, report, now);
    if (report.leaving_ && report.work_.empty())
    {
        peers.peers_.erase(report.vm_);
    }
    return true;
}

void add_peer(vm_peers& peers, const vm_id& id, const socket_address& address, time_point now)
{
    const auto [peer, inserted] = peers.peers_.try_emplace(id);
    if (inserted || peer->second.sequence_ == 0)
    {
        peer->second.address_ = address;
        peer->second.heard_at_ = now;
    }
}

std::size_t log_reader_position(const vm_peers& peers, const vm_id& self, bool reachable, milliseconds limit,
                                time_point now)
{
    const auto position_hash = [](const vm_id& id) {
        return XXH64(id.get().data(), id.get().size(), 0);
    };
    return static_cast<std::size_t>(std::ranges::count_if(peers.peers_, [&](const auto& entry) {
        const auto& peer = entry.second;
        const bool comes_first =
            peer.log_reachable_ == reachable ? position_hash(entry.first) < position_hash(self) : peer.log_reachable_;
        return now - peer.heard_at_ < limit && comes_first;
    }));
}

log_position oldest_missing_position(const vm_peers& peers, log_position own_next, milliseconds limit, time_point now)
{
    auto oldest = own_next;
    std::ranges::for_each(peers.peers_ | std::views::values, [&](const vm_peer& peer) {
        const bool is_eligible = peer.server_list_end_ > log_position{} && now - peer.heard_at_ < limit;
        oldest = is_eligible ? std::min(oldest, peer.server_list_end_) : oldest;
    });
    return oldest;
}

configuration_version newest_peer_version(const vm_peers& peers)
{
    configuration_version newest;
    std::ranges::for_each(peers.peers_,
                          [&newest](const auto& entry) { newest = std::max(newest, entry.second.version_); });
    return newest;
}

std::vector<vm_id> drop_load_of_silent_peers(vm_peers& peers, fleet_load& load, milliseconds limit, time_point now)
{
    std::vector<vm_id> dropped;
    std::ranges::for_each(peers.peers_, [&](auto& entry) {
        if (entry.second.work_.empty() || now - entry.second.heard_at_ < limit)
        {
            return;
        }
        std::ranges::for_each(entry.second.work_,
                              [&load](const reported_work& removed) { remove_reported(load, removed); });
        entry.second.work_.clear();
        dropped.push_back(entry.first);
    });
    return dropped;
}

}  // namespace cornelstall
