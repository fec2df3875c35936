#include "control_plane/neighbour_ring.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

constexpr Duration reconnect_grace = 60s;
constexpr Duration check_interval = 1s;
constexpr std::size_t max_edges = 16384;
constexpr std::size_t max_address_bytes = 64;
constexpr std::size_t max_lookups = 64;  // ring entries examined per edge

std::uint64_t digest(const std::string& address) { return XXH3_64bits(address.data(), address.size()); }

}  // namespace

void NeighbourRing::add(std::uint64_t link, const std::string& address, const std::string& zone) {
  if (address.empty() || address.size() > max_address_bytes) return;
  auto known = ring_.find(digest(address));
  if (known == ring_.end() && ring_.size() >= max_edges) return;
  if (known == ring_.end() || known->second.address != address || known->second.zone != zone) ++version_;
  ring_[digest(address)] = {address, zone, link, Time::max()};
}

void NeighbourRing::disconnect(std::uint64_t link, const std::string& address) {
  auto known = ring_.find(digest(address));
  if (known != ring_.end() && known->second.link == link) known->second.link = 0;
}

void NeighbourRing::remove_expired(Time now) {
  if (now < next_check_) return;
  next_check_ = now + check_interval;
  for (auto it = ring_.begin(); it != ring_.end();) {
    Entry& entry = (it++)->second;
    if (entry.link != 0) continue;
    entry.gone = std::min(entry.gone, now);
    if (now - entry.gone <= reconnect_grace) continue;
    ring_.erase(std::prev(it));
    ++version_;
  }
}

std::vector<std::string> NeighbourRing::neighbours_of(const std::string& address,
                                                      const std::string& zone) const {
  std::vector<std::string> zones{zone}, chosen, others;
  auto at = ring_.upper_bound(digest(address));
  for (std::size_t step = 0;
       step < std::min(max_lookups, ring_.size()) && chosen.size() < neighbours_per_edge; ++step) {
    if (at == ring_.end()) at = ring_.begin();
    const Entry& entry = (at++)->second;
    if (entry.address == address) continue;
    bool new_zone = std::find(zones.begin(), zones.end(), entry.zone) == zones.end();
    if (new_zone) zones.push_back(entry.zone);
    (new_zone ? chosen : others).push_back(entry.address);
  }
  for (std::size_t i = 0; i < others.size() && chosen.size() < neighbours_per_edge; ++i)
    chosen.push_back(others[i]);
  return chosen;
}

}  // namespace pearspar::control_plane
