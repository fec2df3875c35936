// Seeds from the registry: a broker keeps the address at which the fleet finds it under a key of its own, by
// lease, and takes those of the others as seeds. The registry may be gone, stale or wrong; the view lives on
// without it.
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
  RegistrySeeds(net::Loop& loop, log::Logger& log, const options::RegistrationOptions& where,
                const std::string& prefix, const std::string& name, std::uint64_t seed, Fleet& fleet);

  void withdraw();
  bool done() const { return own_.done(); }

 private:
  void members_told(const membership::MemberList& list) override;
  void members_failed() override {}

  Fleet& fleet_;
  registry::Registration own_;
  registry::RegistrySource others_;
  std::map<std::string, net::Address> found_;  // by name
};

}  // namespace pearspar::peerlink
