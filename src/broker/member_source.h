// Creates the membership source that the configuration and the options file select.
#pragma once

#include "config/config.h"
#include "membership/source_switch.h"
#include "net/loop.h"
#include "options/options.h"

namespace pearspar::broker {

// Returns a factory for the source: registry, fixed list or the platform's discovery agent.
membership::MakeSource make_member_source(net::Loop& loop, log::Logger& log, const config::Config& config,
                                          const options::Options& options);

}  // namespace pearspar::broker
