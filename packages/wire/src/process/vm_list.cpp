#include "cornelstall/wire/process/vm_list.hpp"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

namespace cornelstall
{

namespace
{

using nlohmann::json;

constexpr int list_malformed = 245;

std::optional<vm_role> role_of(const std::string& name)
{
    if (name == "entry")
    {
        return vm_role::entry;
    }
    if (name == "engine")
    {
        return vm_role::engine;
    }
    return name == "plain" ? std::optional(vm_role::plain) : std::nullopt;
}

void append_vm(std::vector<listed_vm>& vms, const json& value)
{
    const auto role = role_of(value.at("role").get<std::string>());
    if (!role)
    {
        return;
    }
    listed_vm vm;
    vm.id_ = value.at("id").get<std::string>();
    vm.address_ = socket_address{value.value("address", std::string{})};
    vm.peer_address_ = socket_address{value.value("peer_address", std::string{})};
    vm.data_centre_ = data_centre_id{value.at("data_centre").get<std::string>()};
    vm.role_ = *role;
    vm.service_ = value.value("service", std::string{});
    vm.leaving_ = value.value("state", std::string("live")) != "live";
    vm.checks_fencing_ = value.value("fencing", false);
    vms.push_back(std::move(vm));
}

}  // namespace

vm_list decode_vm_list(std::string_view body)
{
    try
    {
        const auto parsed = json::parse(body);
        vm_list list;
        list.generation_ = parsed.at("generation").get<std::uint64_t>();
        std::ranges::for_each(parsed.at("vms"), [&list](const json& value) { append_vm(list.vms_, value); });
        return list;
    }
    catch (const json::exception& problem)
    {
        throw connection_error(list_malformed,
                               std::string("the VM list is malformed; check --vm-list: ") + problem.what());
    }
}

}  // namespace cornelstall
