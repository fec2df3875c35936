// Schedules of trials: read from text, drawn from a seed, named ones, and made shorter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trial/trial.pb.h"

namespace pearspar::trial {

// Throws std::runtime_error with file, line and field.
plan::Schedule read_schedule(const std::string& path);
std::string text_of(const plan::Schedule& schedule);
// What is wrong with it; empty where nothing is.
std::string fault_of(const plan::Schedule& schedule);

// One to three troubles by chance, each ended by a calm.
plan::Schedule draw_schedule(std::uint64_t seed, int brokers, int period_ms);

// The hard cases by name.
std::vector<std::string> case_names();
std::optional<plan::Schedule> make_case(const std::string& name, int brokers, int period_ms,
                                        std::uint64_t seed);

// The schedule without one of its troubles, for each: what is between two calms.
std::vector<plan::Schedule> shorter(const plan::Schedule& schedule);

}  // namespace pearspar::trial
