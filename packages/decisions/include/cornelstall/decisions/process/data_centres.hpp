#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cornelstall/decisions/process/engine_state.hpp"
#include "cornelstall/decisions/process/membership.hpp"
#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief Total capacity of the ready engines of one data centre for one model.
struct model_capacity
{
    model_id model_;
    int engines_ = 0;
    int slots_ = 0;       ///< sequences that the engines can batch at the same time
    int free_slots_ = 0;  ///< slots without a running or waiting sequence
    token_rate prefill_rate_;

    friend bool operator==(const model_capacity&, const model_capacity&) = default;
};

/// @brief A member that other data centres connect to.
struct contact_point
{
    vm_id id_;
    socket_address peer_address_;

    friend bool operator==(const contact_point&, const contact_point&) = default;
};

/// @brief The information about a data centre that is sent to other data centres.
struct data_centre_summary
{
    data_centre_id id_;
    vm_id author_;                ///< member that wrote this revision
    std::uint64_t revision_ = 0;  ///< shared by all authors: an author increments the newest revision it has seen
    configuration_version version_;
    std::vector<contact_point> contacts_;
    std::vector<model_capacity> capacity_;  ///< ordered by model
};

/// @brief A summary, with data that only this VM keeps about it.
struct data_centre_record
{
    data_centre_summary summary_;
    std::uint64_t change_sequence_ = 0;  ///< table sequence of the last change that is forwarded to peers
    time_point received_at_;
    vm_id source_peer_;
};

/// @brief The summaries of all known data centres, including the local one.
using data_centre_table = std::map<data_centre_id, data_centre_record>;

/// @brief Number of members in each data centre that exchange messages with a given other data centre.
inline constexpr std::size_t contacts_per_data_centre = 3;
/// @brief Number of contact points of another data centre with which a member selected for it exchanges messages.
inline constexpr std::size_t remote_contacts_per_member = 2;
/// @brief Time after which an unchanged summary is written again, so that an old summary shows a lost connection.
inline constexpr milliseconds summary_refresh_interval{5000};
/// @brief Minimum time between two revisions that differ only in capacity; limits the bandwidth used by summaries.
inline constexpr milliseconds min_capacity_update_interval{1000};
/// @brief Age above which a summary is no longer used; allows for six lost refreshes.
inline constexpr milliseconds max_summary_age{30'000};

/// @brief Returns the members of @a live that exchange messages with data centre @a other, highest score first.
[[nodiscard]] std::vector<member> members_exchanging_with(const std::vector<member>& live, const data_centre_id& other);

/// @brief Returns the contact points of @a other with which @a self exchanges messages. Empty if @a self is not among
/// members_exchanging_with.
[[nodiscard]] std::vector<contact_point> select_remote_contacts(const vm_id& self, const std::vector<member>& live,
                                                                const data_centre_summary& other);

/// @brief Returns the member that writes the summary of @a own, or nothing if @a live is empty.
[[nodiscard]] std::optional<vm_id> summary_author(const data_centre_id& own, const std::vector<member>& live);

/// @brief Sums the capacity of the ready engines for each model.
/// @note Linear in the number of loaded models.
[[nodiscard]] std::vector<model_capacity> capacity_by_model(const std::vector<const engine_state*>& engines);

/// @brief Writes a new revision of the local data centre's summary if this VM is the author and an update is due.
///
/// An update is due if the author, the contact points or the version changed, if the capacity changed significantly
/// and min_capacity_update_interval has passed, or if summary_refresh_interval has passed.
/// @param table the member table; its sequence is incremented by a new revision
/// @return true if a revision was written
bool update_own_summary(data_centre_table& summaries, membership_table& table, configuration_version version,
                        std::vector<model_capacity> capacity, time_point now);

/// @brief Stores @a update if it is newer than the known summary of the same data centre. The higher revision wins;
/// at equal revisions, the larger author id wins.
/// @param forward whether to send the summary on to other members; the first summary of a data centre always is
/// @return true if the summary was stored
bool apply(data_centre_table& summaries, membership_table& table, const data_centre_summary& update, time_point now,
           const vm_id& source, bool forward);

/// @brief Returns whether the summary of data centre @a id is known and not older than max_summary_age.
[[nodiscard]] bool has_recent_summary(const data_centre_table& summaries, const data_centre_id& id, time_point now);

/// @brief Returns the other data centres that have a recent summary and capacity for @a model, most free slots first.
[[nodiscard]] std::vector<const data_centre_summary*> data_centres_with_capacity(const data_centre_table& summaries,
                                                                                 const data_centre_id& own,
                                                                                 const model_id& model, time_point now);

}  // namespace cornelstall
