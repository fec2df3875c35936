// Seeds from the registry: a broker registers its protocol address under a leased key and uses those of the
// others as seeds. The registry is needed for discovery only: the membership works on if it is down or
// stale.
#pragma once

#include <string>

#include "membership/members.h"
#include "options/options.h"
#include "peerlink/fleet.h"
#include "registry/registration.h"
#include "registry/source.h"

namespace pearspar::peerlink {

class RegistrySeeds : membership::MembersHandler {
 public:
  RegistrySeeds(net::Loop& loop, log::Logger& log, const options::RegistrationOptions& registration,
                const std::string& prefix, const std::string& name, std::uint64_t seed, Fleet& fleet);

  void withdraw();
  bool done() const { return registration_.done(); }

 private:
  void members_told(const membership::MemberList& list) override;
  void members_failed() override {}

  Fleet& fleet_;
  registry::Registration registration_;
  registry::RegistrySource source_;
  std::map<std::string, net::Address> addresses_by_name_;
};

}  // namespace pearspar::peerlink
