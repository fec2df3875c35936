// Which source of membership a broker's configuration and its operator's file name together.
#pragma once

#include "config/config.h"
#include "membership/switch.h"
#include "net/loop.h"
#include "options/options.h"

namespace pearspar::broker {

membership::MakeSource make_member_source(net::Loop& loop, log::Logger& log, const config::Config& config,
                                          const options::Options& options);

}  // namespace pearspar::broker
