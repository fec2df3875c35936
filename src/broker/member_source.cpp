#include "broker/member_source.h"

#include "discovery/client.h"
#include "membership/fixed_source.h"
#include "registry/source.h"

namespace pearspar::broker {

membership::MakeSource make_member_source(net::Loop& loop, log::Logger& log, const config::Config& config,
                                          const options::Options& options) {
  switch (options.membership) {
    case options::MembershipKind::registry:
      return
          [&loop, &log, registry = *options.registry, seed = config.seed](membership::MembersHandler& user) {
            return std::make_unique<registry::RegistrySource>(loop, log, registry, seed, user);
          };
    case options::MembershipKind::fixed:
      return [list = options.fixed](membership::MembersHandler& user) {
        return std::make_unique<membership::FixedSource>(list, user);
      };
    case options::MembershipKind::agent:
      break;
  }
  return [&loop, &log, address = config.discovery](membership::MembersHandler& user) {
    return std::make_unique<discovery::Client>(loop, log, address, user);
  };
}

}  // namespace pearspar::broker
