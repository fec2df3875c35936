#include "peerlink/seeds.h"

#include "registry/records.h"

namespace pearspar::peerlink {
namespace {

registry::RegistryOptions under(registry::RegistryOptions options, const std::string& prefix) {
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

RegistrySeeds::RegistrySeeds(net::Loop& loop, log::Logger& log, const options::RegistrationOptions& where,
                             const std::string& prefix, const std::string& name, std::uint64_t seed,
                             Fleet& fleet)
    : fleet_(fleet),
      own_(loop, log, where.registry, prefix + name, record_of(name, fleet, where.zone), where.lease, seed),
      others_(loop, log, under(where.registry, prefix), seed, *this) {
  own_.start();
  others_.start();
}

void RegistrySeeds::withdraw() {
  others_.stop();
  own_.withdraw();
}

void RegistrySeeds::members_told(const membership::MemberList& list) {
  if (list.complete) found_.clear();
  for (const membership::Entry& entry : list.entries) {
    if (entry.phase == membership::Phase::gone)
      found_.erase(entry.id);
    else
      found_[entry.id] = entry.address;
  }
  std::vector<net::Address> seeds;
  for (const auto& [name, address] : found_) seeds.push_back(address);
  fleet_.set_discovered_seeds(std::move(seeds));
}

}  // namespace pearspar::peerlink
