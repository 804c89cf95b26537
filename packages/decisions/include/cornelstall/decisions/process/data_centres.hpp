#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/decisions/process/membership.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief What the ready engines of one data centre can do for one model.
struct model_capacity
{
    model_id model_;
    int engines_ = 0;
    int slots_ = 0;       ///< sequences that the engines batch at once
    int free_slots_ = 0;  ///< slots without a running or waiting sequence
    token_rate prefill_rate_;

    friend bool operator==(const model_capacity&, const model_capacity&) = default;
};

/// @brief A member that other data centres may contact.
struct contact_point
{
    vm_id id_;
    socket_address peer_address_;

    friend bool operator==(const contact_point&, const contact_point&) = default;
};

/// @brief All that other data centres know about a data centre.
struct data_centre_summary
{
    data_centre_id id_;
    vm_id author_;                ///< member that wrote this revision
    std::uint64_t revision_ = 0;  ///< grows over all authors: an author continues from the newest revision it has seen
    configuration_version version_;
    std::vector<contact_point> contacts_;
    std::vector<model_capacity> capacity_;  ///< ordered by model
};

/// @brief A summary and this VM's own bookkeeping about it.
struct data_centre_record
{
    data_centre_summary summary_;
    std::uint64_t change_sequence_ = 0;  ///< table sequence of the last change to pass on
    time_point received_at_;
    vm_id source_peer_;
};

/// @brief The summaries of all data centres, the own one included.
using data_centre_table = std::map<data_centre_id, data_centre_record>;

/// @brief Members of each data centre that keep contact with one other data centre.
inline constexpr std::size_t contacts_per_data_centre = 3;
/// @brief Members of the other data centre with which each of them keeps contact.
inline constexpr std::size_t remote_contacts = 2;
/// @brief An unchanged summary is written again after this time, so that its age says whether contact is lost.
inline constexpr milliseconds summary_refresh{5000};
/// @brief Least time between two revisions that differ in capacity only; bounds the bytes spent on summaries.
inline constexpr milliseconds summary_interval{1000};
/// @brief A data centre is out of contact when its summary is older than this: six lost refreshes.
inline constexpr milliseconds summary_lifetime{30'000};

/// @brief The members that keep contact with @a other, best first.
[[nodiscard]] std::vector<member> members_exchanging_with(const std::vector<member>& live, const data_centre_id& other);

/// @brief The members of @a other with which @a self keeps contact; empty unless it is one of the keepers.
[[nodiscard]] std::vector<contact_point> select_remote_contacts(const vm_id& self, const std::vector<member>& live,
                                                                const data_centre_summary& other);

/// @brief The member that writes the summary of @a own; nothing when @a live is empty.
[[nodiscard]] std::optional<vm_id> summary_author(const data_centre_id& own, const std::vector<member>& live);

/// @brief Capacity by model over the ready engines of @a engines. Linear in the loaded models.
[[nodiscard]] std::vector<model_capacity> capacity_by_model(const std::vector<const engine_state*>& engines);

/// @brief Writes the next revision of the own summary when the contacts or the version changed, when the capacity
/// changed coarsely and summary_interval has passed, or when summary_refresh has passed.
/// @param table the member table, whose sequence counts the change
/// @return true when a revision was written
bool update_own_summary(data_centre_table& summaries, membership_table& table, configuration_version version,
                        std::vector<model_capacity> capacity, time_point now);

/// @brief Keeps @a update when it is newer than the known summary of the same data centre: the higher revision wins,
/// and the larger author among equal revisions.
/// @param pass_on whether the news is for the other members too; a first summary always is
/// @return true when the summary was kept
bool apply(data_centre_table& summaries, membership_table& table, const data_centre_summary& update, time_point now,
           const vm_id& source, bool pass_on);

/// @brief True when the summary of @a which is not older than summary_lifetime.
[[nodiscard]] bool has_recent_summary(const data_centre_table& summaries, const data_centre_id& which, time_point now);

/// @brief The other data centres in contact that have capacity for @a model, most free slots first.
[[nodiscard]] std::vector<const data_centre_summary*> data_centres_with(const data_centre_table& summaries,
                                                                        const data_centre_id& own,
                                                                        const model_id& model, time_point now);

}  // namespace cornelstall
