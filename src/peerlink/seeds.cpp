#include "peerlink/seeds.h"

#include "registry/records.h"

namespace pearspar::peerlink {
namespace {

registry::RegistryOptions with_prefix(registry::RegistryOptions options, const std::string& prefix) {
  options.prefix = prefix;
  return options;
}

std::string record_of(const std::string& name, const Fleet& fleet, const std::string& zone) {
  membership::Entry entry;
  entry.id = name;
  entry.address = fleet.address();
  entry.zone = zone;
  entry.kind = "broker";
  return registry::write_record(entry);
}

}  // namespace

RegistrySeeds::RegistrySeeds(net::Loop& loop, log::Logger& log,
                             const options::RegistrationOptions& registration, const std::string& prefix,
                             const std::string& name, std::uint64_t seed, Fleet& fleet)
    : fleet_(fleet),
      registration_(loop, log, registration.registry, prefix + name,
                    record_of(name, fleet, registration.zone), registration.lease, seed),
      source_(loop, log, with_prefix(registration.registry, prefix), seed, *this) {
  registration_.start();
  source_.start();
}

void RegistrySeeds::withdraw() {
  source_.stop();
  registration_.withdraw();
}

void RegistrySeeds::members_told(const membership::MemberList& list) {
  if (list.complete) addresses_by_name_.clear();
  for (const membership::Entry& entry : list.entries) {
    if (entry.phase == membership::Phase::gone)
      addresses_by_name_.erase(entry.id);
    else
      addresses_by_name_[entry.id] = entry.address;
  }
  std::vector<net::Address> seeds;
  for (const auto& [name, address] : addresses_by_name_) seeds.push_back(address);
  fleet_.set_discovered_seeds(std::move(seeds));
}

}  // namespace pearspar::peerlink
