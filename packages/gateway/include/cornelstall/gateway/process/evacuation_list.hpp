#pragma once

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Applies a record about the evacuation of a data centre that this VM read itself. Requests that wait are
/// planned anew.
void apply_evacuation_record(gateway_state& state, const evacuation_entry& entry);

/// @brief Applies this VM's whole read of the newest records.
/// @param read the records about evacuations; data centres without one are not evacuated
void apply_evacuation_read(gateway_state& state, const evacuation_snapshot& read);

/// @brief Applies the evacuation requests that @a source reported.
void apply_reported_evacuations(gateway_state& state, const evacuation_snapshot& reported, const vm_id& source);

/// @brief Puts the requests in force that the log still has some time after it came back from a copy, although their
/// removal was known before.
void apply_doubted_evacuations(gateway_state& state);

}  // namespace cornelstall
