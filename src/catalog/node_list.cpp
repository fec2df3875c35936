#include "catalog/node_list.h"

#include <xxhash.h>

namespace pearspar::catalog {

std::optional<Node> parse_heartbeat(std::string_view id, std::string_view body, Time now, Fault& fault) {
  fault = {};
  Json json = parse_json(body, fault);
  if (!json) return std::nullopt;
  if (!cJSON_IsObject(json.get())) {
    fault = {{}, "is no object"};
    return std::nullopt;
  }
  JsonReader in(json.get(), {}, fault);
  Node node;
  node.id = id;
  node.service = in.text("depot");
  node.address = in.text("address");
  node.zone = in.text_or("zoneName", {});
  node.software_version = in.text_or("edition", {});
  node.slots = static_cast<int>(in.number_or("slotCount", 1, 0, 1e6));
  std::string state = in.text("nodeState");
  if (in.good() && state != "at_post" && state != "closing_out")
    in.fail("nodeState", "is neither at_post nor closing_out");
  node.closing = state == "closing_out";
  node.sequence = static_cast<std::uint64_t>(in.number("callSeq", 0, 9e15));
  node.cold_until = now + Duration(in.number_or("coldLeftMs", 0, 0, 86'400'000) / 1000);
  if (id.empty()) in.fail("id", "is empty");
  if (!in.good()) return std::nullopt;
  return node;
}

std::uint64_t digest_of(const Node& node) {
  std::string all;
  for (const std::string* each : {&node.id, &node.service, &node.address, &node.zone, &node.software_version})
    all.append(*each).push_back('\0');
  all += std::to_string(node.slots);
  all += node.closing ? 'c' : 'o';
  return XXH3_64bits(all.data(), all.size());
}

NodeList::PutResult NodeList::put(const Node& update, std::string* displaced) {
  if (is_retired(update.id)) return PutResult::stale;
  Node node = update;
  if (is_closing(node.id)) node.closing = true;
  auto found = nodes_.find(node.id);
  if (found != nodes_.end() && node.sequence < found->second.sequence) return PutResult::stale;
  if (found != nodes_.end() && found->second.closing && !node.closing) return PutResult::stale;
  if (found != nodes_.end() && found->second.same_description(node)) {
    found->second.sequence = node.sequence;
    found->second.cold_until = node.cold_until;
    return PutResult::unchanged;
  }
  if (auto other = by_address_.find(node.address); other != by_address_.end() && other->second != node.id) {
    std::string before = other->second;
    remove(before);
    if (displaced) *displaced = before;
  }
  if (found != nodes_.end()) {
    by_address_.erase(found->second.address);
    digest_ ^= digest_of(found->second);
  }
  by_address_[node.address] = node.id;
  nodes_[node.id] = node;
  digest_ ^= digest_of(node);
  return PutResult::changed;
}

bool NodeList::remove(std::string_view id) {
  auto found = nodes_.find(id);
  if (found == nodes_.end()) return false;
  by_address_.erase(found->second.address);
  digest_ ^= digest_of(found->second);
  // A delayed heartbeat must not reopen a closing node.
  if (found->second.closing) retired_.insert(found->first);
  nodes_.erase(found);
  return true;
}

bool NodeList::close(std::string_view id) {
  closing_.insert(std::string(id));
  auto found = nodes_.find(id);
  if (found == nodes_.end() || found->second.closing) return false;
  digest_ ^= digest_of(found->second);
  found->second.closing = true;
  digest_ ^= digest_of(found->second);
  return true;
}

bool NodeList::retire(std::string_view id) {
  std::string name(id);
  bool fresh = !is_retired(name);
  retired_.insert(name);
  remove(id);
  return fresh;
}

const Node* NodeList::find(std::string_view id) const {
  auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

}  // namespace pearspar::catalog
